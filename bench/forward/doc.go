// Command forward plays a small platform on loopback: leaves that pause, differ in
// speed, start cold, refuse, lose answers, answer twice, fall silent and leave their
// addresses to others; a list of them that lags and comes in pages; callers that keep
// address lists and ask again; an operator. The tier is real pearmoor-entry processes,
// so that a change of a policy can be tried and plotted within a minute:
//
//	make build && go run ./bench/forward --duration=20s
//	go run ./bench/forward --faults=none --rate=200
//
// It prints one row for each kind of request and one for the leaves, and writes the
// rows as JSON and plots of latency and of what leaves have in flight.
//
// The processes run on this machine's processors, not on a fifth of one: times here say
// what a policy does, not what it does on small VMs.
package main
