package scatter

import (
	"sync"
	"sync/atomic"
	"time"

	"pearmoor/internal/vm"
)

// notHeldTTL is how long a leaf's statement that it does not hold a shard overrides its
// older status report. Health probes have delivered a newer report by then.
const notHeldTTL = 2 * time.Second

// shardKey identifies a shard of an index version at a leaf.
type shardKey struct {
	addr    string
	version uint64
	shard   uint32
}

// notHeldCache remembers the shards that leaves have stated not to hold.
//
// Status reports lag by up to a probe interval. Without the cache, a query that is restarted
// because a leaf has dropped the version would be sent to that leaf again until the next
// probe.
type notHeldCache struct {
	size     atomic.Int32
	mu       sync.Mutex
	statedAt map[shardKey]vm.Instant
}

func (d *notHeldCache) add(key shardKey, now vm.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.statedAt == nil {
		d.statedAt = make(map[shardKey]vm.Instant)
	}
	for old, at := range d.statedAt {
		if now.Sub(at) >= notHeldTTL {
			delete(d.statedAt, old)
		}
	}
	d.statedAt[key] = now
	d.size.Store(int32(len(d.statedAt)))
}

// AnyNotHeld reports whether leaves of the group have stated not to hold a shard that they
// were expected to hold. Expired statements may be included.
func (g *Group) AnyNotHeld() bool { return g.notHeld.size.Load() > 0 }

// Holds reports whether the leaf at addr can be expected to hold the shard: it has not
// denied this within notHeldTTL.
func (g *Group) Holds(addr string, version uint64, shard uint32) bool {
	now := g.clock()
	g.notHeld.mu.Lock()
	defer g.notHeld.mu.Unlock()
	at, ok := g.notHeld.statedAt[shardKey{addr, version, shard}]
	return !ok || now.Sub(at) >= notHeldTTL
}
