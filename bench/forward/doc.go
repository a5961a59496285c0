// Command forward load-tests a tier of real pearmoor-entry processes on loopback. It
// simulates the platform around them: leaves that pause, differ in speed, are slow after
// their start, reject requests, lose or repeat answers, stop responding, and have their
// addresses reused; a paginated leaf list that lags; callers that cache address lists and
// retry; and an operator. A change of a policy can be evaluated within a minute:
//
//	make build && go run ./bench/forward --duration=20s
//	go run ./bench/forward --faults=none --rate=200
//
// It prints one row for each kind of request and one for the leaves. It writes the rows
// as JSON, and plots of the latency and of the requests in flight at the leaves.
//
// Each process may use a whole processor core, while the VMs of a deployment have a fifth
// of one, so the times compare policies but do not predict latency on such VMs.
package main
