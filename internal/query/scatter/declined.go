package scatter

import (
	"sync"
	"sync/atomic"
	"time"

	"pearmoor/internal/vm"
)

// declineLife is how long a target's word that it does not hold a shard goes
// before its older status report. Probes have brought a newer one by then.
const declineLife = 2 * time.Second

// held names a shard of an index version at a leaf.
type held struct {
	addr    string
	version uint64
	shard   uint32
}

// declines remembers what leaves have said they don't hold.
//
// Status reports lag by a probe interval. Without this, a query that starts over
// because a leaf dropped the version would be sent there again until the next probe.
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

// Declined reports whether any leaf of the group has lately said that it does not
// hold a shard it was believed to hold.
func (g *Group) Declined() bool { return g.declines.n.Load() > 0 }

// Holds reports whether the leaf at addr has not lately said that it lacks shard.
func (g *Group) Holds(addr string, version uint64, shard uint32) bool {
	now := g.clock()
	g.declines.mu.Lock()
	defer g.declines.mu.Unlock()
	at, ok := g.declines.m[held{addr, version, shard}]
	return !ok || now.Sub(at) >= declineLife
}
