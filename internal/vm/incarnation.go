package vm

import "time"

// NewIncarnation returns the incarnation of a daemon that starts now: the wall
// clock in nanoseconds, and more than known, the greatest incarnation of this VM
// that is known (0 for none), in case the wall clock was set back.
func NewIncarnation(known uint64) uint64 {
	return max(uint64(time.Now().UnixNano()), known+1)
}
