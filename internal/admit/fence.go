package admit

import (
	"sync"
	"sync/atomic"

	"pearmoor/internal/vm"
)

// fence is the end of the daemon's lease with a generation that grows each time
// the lease had lapsed before it was renewed.
//
// The failure: a daemon is paused holding a permit, its lease runs out, another
// daemon is given the slot, and the first resumes and is granted a new lease.
// Its old permit would send a request beyond the leaf's slots. The generation
// makes such a permit void although the new lease covers the present.
type fence struct {
	mu    sync.Mutex
	until atomic.Int64
	gen   atomic.Uint64
}

func (f *fence) set(until, now vm.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now >= vm.Instant(f.until.Load()) {
		f.gen.Add(1)
	}
	f.until.Store(int64(until))
}

func (f *fence) end() vm.Instant { return vm.Instant(f.until.Load()) }

// open reports whether the lease of generation gen covers now. The generation
// is read after the instant, so a renewal in between can't revive an old permit.
func (f *fence) open(gen uint64, now vm.Instant) bool {
	return now < f.end() && f.gen.Load() == gen
}
