// Package quorum keeps a replicated log over 1 to 8 control VMs.
//
// The Machine is pure: it does no I/O, reads no clock and starts no goroutine.
// A driver feeds it ticks, messages and proposals, and carries out what Ready
// returns:
//
//	for m.HasReady() {
//		rd := m.Ready()
//		send(rd.Early)                          // safe before the sync
//		journal(rd.Snapshot, rd.HardState, rd.Entries) // in this order; sync if rd.MustSync
//		send(rd.Messages)                       // only after the sync
//		restore(rd.Snapshot); apply(rd.Committed)
//		release(rd.Reads)                       // each once applied >= its Index
//		m.Advance()
//	}
//
// A failed sync ends the process: nothing may be sent or advanced after it.
//
// A Machine is not safe for concurrent use.
package quorum
