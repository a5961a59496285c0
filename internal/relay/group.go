package relay

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"pearmoor/internal/vm"
)

// groupLogInterval is the minimum time between two log lines about one peer of another
// control group.
const groupLogInterval = 10 * time.Second

// maxGroupPeers bounds the number of peers whose last log line is remembered.
const maxGroupPeers = 64

var otherGroupCounter = metrics.GetOrRegisterCounter("control.group.refused", metrics.DefaultRegistry)

// GroupGuard refuses messages of other control groups. It counts each one and logs one per
// peer and groupLogInterval. It is safe for concurrent use.
type GroupGuard struct {
	clock vm.Clock

	mu     sync.Mutex
	logged map[string]vm.Instant // last log line by peer
}

// NewGroupGuard returns a guard.
func NewGroupGuard(clock vm.Clock) *GroupGuard {
	return &GroupGuard{clock: clock, logged: make(map[string]vm.Instant)}
}

// Refuses reports whether a message of kind what from peer must be refused, because its
// group is known not to be own.
func (g *GroupGuard) Refuses(own, group vm.GroupID, what, peer string) bool {
	if !own.Excludes(group) {
		return false
	}
	otherGroupCounter.Inc(1)
	if g.logDue(peer) {
		klog.Errorf("control: refused %s from %s of another control group: group=%s own=%s", what, peer, group, own)
	}
	return true
}

func (g *GroupGuard) logDue(peer string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	last, known := g.logged[peer]
	if known && now.Sub(last) < groupLogInterval {
		return false
	}
	if !known && len(g.logged) >= maxGroupPeers {
		clear(g.logged)
	}
	g.logged[peer] = now
	return true
}
