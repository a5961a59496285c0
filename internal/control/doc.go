// Package control runs a control VM: it drives the control group's log, answers
// operators' tools and daemons, and, while it leads, grants leases and moves the
// daemon membership and the "in force everywhere" mark onwards.
//
// One goroutine, the driver, owns the quorum machine and the journal. Remote
// calls read the replicated state, and hand proposals to the driver. Every call
// that is for the leader only is answered elsewhere with the leader's address.
package control
