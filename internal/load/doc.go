// Package load runs open-loop load against a tier: requests start on a schedule
// that does not wait for answers, and latency counts from the scheduled start,
// so that a stalled tier can't hide the requests that would have come meanwhile.
//
// Callers act as the published interface asks: they ask for addresses, keep the
// answer for its lifetime, fail over to the next address, and resend a request
// that is not repeatable only under its key. Answers are checked against the
// documents of package standin.
package load
