package relay

import (
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/vm"
)

// heartbeatRetryPeriod is how long a relay tries to forward a heartbeat. Forwarding an
// older one would make the leader treat a lost daemon as alive.
const heartbeatRetryPeriod = 2 * time.Second

// childTimeout is the time without a heartbeat after which a child is removed.
const childTimeout = 30 * time.Second

// maxChildren limits the daemons that a relay accepts. A daemon that is refused
// contacts the next relay or a control VM.
const maxChildren = 256

var childrenGauge = metrics.GetOrRegisterGauge("relay.children", nil)

// runID identifies one run of a daemon.
type runID struct {
	name        string
	incarnation uint64
}

// child is the state of one daemon that syncs through this relay.
type child struct {
	runID
	heartbeat   *wire.Heartbeat
	receivedAt  vm.Instant
	seq         uint64 // number of heartbeats received
	answeredSeq uint64 // seq of the newest heartbeat that the leader has answered
	grant       grant
}

// grant is the newest lease that the leader has granted to a child.
type grant struct {
	start vm.Instant // when the exchange with the heartbeat was sent, minus the age of the grant
	lease time.Duration
}

// remaining returns how long the lease of the grant lasts from now on.
func (g grant) remaining(now vm.Instant) time.Duration {
	if g.lease == 0 {
		return 0
	}
	return g.start.Add(g.lease).Sub(now)
}

// children holds the daemons that sync through this one.
type children struct {
	mu           sync.Mutex
	byRun        map[runID]*child
	grantChanged chan struct{} // closed at the next grant
}

func newChildren() *children {
	return &children{byRun: make(map[runID]*child), grantChanged: make(chan struct{})}
}

// recordHeartbeat records a heartbeat. Urgent reports whether it must be forwarded
// immediately, because it has changed or because less than half of the child's lease
// is left. Ok is false if there are too many children.
func (cs *children) recordHeartbeat(hb *wire.Heartbeat, now vm.Instant) (urgent, ok bool) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	key := runID{name: hb.GetVm().GetName(), incarnation: hb.GetVm().GetIncarnation()}
	c := cs.byRun[key]
	if c == nil {
		if len(cs.byRun) >= maxChildren {
			return false, false
		}
		c = &child{runID: key}
		cs.byRun[key] = c
		childrenGauge.Update(int64(len(cs.byRun)))
	}
	newest := mergeHeartbeats(c.heartbeat, hb)
	changed := c.heartbeat == nil || heartbeatChanged(c.heartbeat, newest)
	c.heartbeat, c.receivedAt = newest, now
	c.seq++
	return changed || c.grant.remaining(now) < c.grant.lease/2, true
}

// mergeHeartbeats merges two heartbeats of one run. A held call and a push of one
// daemon may arrive out of order. If the older heartbeat replaced the newer one, an
// acknowledgement would be lost until the next call, one interval later. The version
// and epoch that a run has confirmed never decrease, and its phase only advances.
func mergeHeartbeats(old, hb *wire.Heartbeat) *wire.Heartbeat {
	if old == nil || !heartbeatChanged(hb, old) {
		return hb
	}
	newest := hb.GetVm()
	if old.GetVm().GetPhase() > newest.GetPhase() {
		newest = old.GetVm()
	}
	return &wire.Heartbeat{
		Vm:            newest,
		ConfigVersion: max(old.GetConfigVersion(), hb.GetConfigVersion()),
		AckedEpoch:    max(old.GetAckedEpoch(), hb.GetAckedEpoch()),
	}
}

func heartbeatChanged(old, hb *wire.Heartbeat) bool {
	return old.GetConfigVersion() != hb.GetConfigVersion() || old.GetAckedEpoch() != hb.GetAckedEpoch() ||
		old.GetVm().GetPhase() != hb.GetVm().GetPhase()
}

// pending returns copies of the children whose newest heartbeat the leader has not
// answered, and removes those that have sent no heartbeat for childTimeout.
func (cs *children) pending(now vm.Instant) []*child {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	var out []*child
	for key, c := range cs.byRun {
		if now.Sub(c.receivedAt) > childTimeout {
			delete(cs.byRun, key)
			childrenGauge.Update(int64(len(cs.byRun)))
		}
		if c.needsForwarding(now) {
			snapshot := *c
			out = append(out, &snapshot)
		}
	}
	slices.SortFunc(out, func(a, b *child) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return out
}

func (c *child) needsForwarding(now vm.Instant) bool {
	return c.seq > c.answeredSeq && now.Sub(c.receivedAt) <= heartbeatRetryPeriod
}

// hasPending reports whether pending would return any child.
func (cs *children) hasPending(now vm.Instant) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for _, c := range cs.byRun {
		if c.needsForwarding(now) {
			return true
		}
	}
	return false
}

func (cs *children) empty() bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return len(cs.byRun) == 0
}

// recordGrant records the leader's answer to an exchange that carried the heartbeats
// of the forwarded children. Sent is when the exchange was sent.
func (cs *children) recordGrant(forwarded []*child, r *wire.SyncReply, sent vm.Instant) {
	if len(forwarded) == 0 {
		return
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	start := sent.Add(-time.Duration(r.GetAgeMs()) * time.Millisecond)
	for _, fwd := range forwarded {
		c := cs.byRun[fwd.runID]
		if c == nil || slices.Contains(r.GetRefused(), fwd.name) {
			continue
		}
		c.answeredSeq = max(c.answeredSeq, fwd.seq)
		if start > c.grant.start || c.grant.lease == 0 {
			c.grant = grant{start: start, lease: time.Duration(r.GetLeaseMs()) * time.Millisecond}
		}
	}
	close(cs.grantChanged)
	cs.grantChanged = make(chan struct{})
}

// grantsOf returns the grants for the given heartbeats and a channel that is closed at
// the next grant to any child.
func (cs *children) grantsOf(hbs []*wire.Heartbeat) ([]grant, <-chan struct{}) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	out := make([]grant, len(hbs))
	for i, hb := range hbs {
		if c := cs.byRun[runID{name: hb.GetVm().GetName(), incarnation: hb.GetVm().GetIncarnation()}]; c != nil {
			out[i] = c.grant
		}
	}
	return out, cs.grantChanged
}
