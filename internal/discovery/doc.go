// Package discovery provides the list of leaves: the service and address of each, and
// whether it is draining.
//
// The list comes from a Source outside the tier, which lags, limits calls and charges
// for each call. Only the daemon that leads the control group reads it. The other
// daemons watch a daemon that has it (Watch), so the number of calls does not grow with
// the tier. A daemon that has received no recent reading reads the list itself: it may
// be partitioned from the reader, and draining leaves must get no new requests.
//
// A leaf is one run of a process and is identified by its id and start time. If its
// address is used again, that is another leaf.
package discovery
