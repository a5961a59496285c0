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
type lease struct {
	mu         sync.Mutex
	expiry     atomic.Int64
	generation atomic.Uint64
}

func (l *lease) renew(until, now vm.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now >= vm.Instant(l.expiry.Load()) {
		l.generation.Add(1)
	}
	l.expiry.Store(int64(until))
}

func (l *lease) end() vm.Instant { return vm.Instant(l.expiry.Load()) }

// valid reports whether the lease of the given generation covers now. The caller
// reads the clock before the generation is loaded, so a renewal in between can't
// make an old permit valid.
func (l *lease) valid(generation uint64, now vm.Instant) bool {
	return now < l.end() && l.generation.Load() == generation
}
