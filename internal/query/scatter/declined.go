package scatter

import (
	"sync"
	"sync/atomic"
	"time"

	"pearmoor/internal/vm"
)

// notHeldTTL is how long a leaf's statement that it does not hold a shard overrides its
// older status report. Health probes have delivered a newer report by then.
const declineLife = 2 * time.Second

// shardKey identifies a shard of an index version at a leaf.
type held struct {
	addr    string
	version uint64
	shard   uint32
}

// notHeldCache remembers the shards that leaves have stated not to hold.
//
// Status reports lag by up to a probe interval. Without the cache, a query that is restarted
// because a leaf has dropped the version would be sent to that leaf again until the next
// probe.
type declines struct {
	n  atomic.Int32
	mu sync.Mutex
	m  map[held]vm.Instant
}

func (d *declines) add(h held, now vm.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.m == nil {
		d.m = make(map[held]vm.Instant)
	}
	for old, at := range d.m {
		if now.Sub(at) >= declineLife {
			delete(d.m, old)
		}
	}
	d.m[h] = now
	d.n.Store(int32(len(d.m)))
}

// AnyNotHeld reports whether leaves of the group have stated not to hold a shard that they
// were expected to hold. Expired statements may be included.
func (g *Group) Declined() bool { return g.declines.n.Load() > 0 }

// Holds reports whether the leaf at addr can be expected to hold the shard: it has not
// denied this within notHeldTTL.
func (g *Group) Holds(addr string, version uint64, shard uint32) bool {
	now := g.clock()
	g.declines.mu.Lock()
	defer g.declines.mu.Unlock()
	at, ok := g.declines.m[held{addr, version, shard}]
	return !ok || now.Sub(at) >= declineLife
}
