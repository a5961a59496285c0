// Package control implements a control VM. It runs this VM's member of the control
// group's replicated log and serves operators' tools and daemons. On the leader it also
// grants leases to daemons, updates the daemon membership and advances the version that
// is in force everywhere, that is, confirmed by every daemon.
//
// One goroutine, the driver, owns the quorum machine and the journal. RPC handlers read
// the replicated state under a lock and pass proposals to the driver. A VM that is not
// the leader answers leader-only calls with the leader's address.
package control
