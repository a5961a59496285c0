// Package load generates open-loop load against a tier. Requests start on a schedule that
// does not wait for answers, and latency is measured from the scheduled start, so that
// a stalled tier does not hide the latency of the requests scheduled during the stall
// (coordinated omission).
//
// Callers follow the published interface: they request an address list, cache it for its
// lifetime, fail over to the next address, and resend a non-repeatable request only under
// its key. Answers are checked against the documents of package standin.
package load
