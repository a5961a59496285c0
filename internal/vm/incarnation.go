package vm

import "time"

// NewIncarnation returns the incarnation of a daemon that starts now: the wall clock in
// nanoseconds, but at least known+1 in case the wall clock was set back. known is the
// highest known incarnation of this VM, 0 for none.
func NewIncarnation(known uint64) uint64 {
	return max(uint64(time.Now().UnixNano()), known+1)
}
