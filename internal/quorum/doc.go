// Package quorum replicates a log over 1 to 8 control VMs with the Raft protocol.
//
// A Machine is deterministic: it does no I/O, reads no clock and starts no
// goroutine. A driver passes it ticks, messages and proposals, and does the work
// that Ready returns:
//
//	for m.HasReady() {
//		rd := m.Ready()
//		send(rd.EarlyMessages)                  // safe before the sync
//		journal(rd.Snapshot, rd.HardState, rd.Entries) // in this order; sync if rd.MustSync
//		send(rd.Messages)                       // only after the sync
//		restore(rd.Snapshot); apply(rd.Committed)
//		release(rd.Reads)                       // each once applied >= its Index
//		m.Advance()
//	}
//
// After a failed sync the driver must end the process without sending Messages or
// calling Advance.
//
// A Machine is not safe for concurrent use.
package quorum
