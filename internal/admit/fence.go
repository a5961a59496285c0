package admit

import (
	"sync"
	"sync/atomic"

	"pearmoor/internal/vm"
)

// lease is the end of the daemon's configuration lease and a generation, which is
// incremented when the lease is renewed after it had expired.
//
// The generation guards against this failure: a daemon is paused while it holds a
// permit, its lease expires, another daemon is given the slot, and the first daemon
// resumes and gets a new lease. Its old permit would send one request more than the
// leaf has slots. The old generation makes the permit invalid under the new lease.
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

// valid reports whether the lease of the given generation covers now. The caller
// reads the clock before the generation is loaded, so a renewal in between can't
// make an old permit valid.
func (f *fence) open(gen uint64, now vm.Instant) bool {
	return now < f.end() && f.gen.Load() == gen
}
