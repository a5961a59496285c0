package relay

import (
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/vm"
)

// maxRetake is how long a heartbeat that could not be passed up is tried again.
// An older one would make the leader believe that a lost daemon lives.
const maxRetake = 2 * time.Second

// forget is after how long without a heartbeat a child is dropped.
const forget = 30 * time.Second

// maxChildren bounds what a relay takes on; a daemon that is refused asks the
// next relay, or control.
const maxChildren = 256

var childCount = metrics.GetOrRegisterGauge("relay.children", nil)

// run identifies one run of a daemon.
type run struct {
	name        string
	incarnation uint64
}

// child is a snapshot of one daemon below this relay.
type child struct {
	run
	heartbeat *wire.Heartbeat
	arrived   vm.Instant
	seq       uint64 // counts heartbeats
	passed    uint64 // seq of the newest heartbeat that the leader has answered
	grant     grant
}

// grant is the leader's newest confirmation of a child.
type grant struct {
	base  vm.Instant // send instant of the exchange that carried the heartbeat, less its age
	lease time.Duration
}

// left is how long the grant goes on for one who counts it from now on.
func (g grant) left(now vm.Instant) time.Duration {
	if g.lease == 0 {
		return 0
	}
	return g.base.Add(g.lease).Sub(now)
}

// children are the daemons that sync with this one.
type children struct {
	mu      sync.Mutex
	byRun   map[run]*child
	granted chan struct{} // closed at the next grant
}

func newChildren() *children {
	return &children{byRun: make(map[run]*child), granted: make(chan struct{})}
}

// heard records a heartbeat. It reports whether it has to be passed up at once:
// it says something new, or the child's grant is getting old. It is false for ok
// when there are too many children.
func (cs *children) heard(hb *wire.Heartbeat, now vm.Instant) (urgent, ok bool) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	key := run{name: hb.GetVm().GetName(), incarnation: hb.GetVm().GetIncarnation()}
	k := cs.byRun[key]
	if k == nil {
		if len(cs.byRun) >= maxChildren {
			return false, false
		}
		k = &child{run: key}
		cs.byRun[key] = k
		childCount.Update(int64(len(cs.byRun)))
	}
	newest := newestOf(k.heartbeat, hb)
	news := k.heartbeat == nil || saysNew(k.heartbeat, newest)
	k.heartbeat, k.arrived = newest, now
	k.seq++
	return news || k.grant.left(now) < k.grant.lease/2, true
}

// newestOf joins two heartbeats of one run. A held call and a push of one daemon
// may arrive crossed, the older word after the newer one: were it to replace
// that, an ack would be unheard until the next call, an interval later. What a
// run has confirmed never shrinks, and its phase only advances.
func newestOf(old, hb *wire.Heartbeat) *wire.Heartbeat {
	if old == nil || !saysNew(hb, old) {
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

func saysNew(old, hb *wire.Heartbeat) bool {
	return old.GetConfigVersion() != hb.GetConfigVersion() || old.GetAckedEpoch() != hb.GetAckedEpoch() ||
		old.GetVm().GetPhase() != hb.GetVm().GetPhase()
}

// take returns the children whose newest heartbeat the leader has not answered,
// and drops those not heard of for long.
func (cs *children) take(now vm.Instant) []*child {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	var out []*child
	for key, k := range cs.byRun {
		if now.Sub(k.arrived) > forget {
			delete(cs.byRun, key)
			childCount.Update(int64(len(cs.byRun)))
		}
		if k.toPass(now) {
			snapshot := *k
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

func (k *child) toPass(now vm.Instant) bool {
	return k.seq > k.passed && now.Sub(k.arrived) <= maxRetake
}

// waiting reports whether take would return any.
func (cs *children) waiting(now vm.Instant) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for _, k := range cs.byRun {
		if k.toPass(now) {
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

// grant records the leader's answer to an exchange that carried these children
// and was sent at that instant.
func (cs *children) grant(kids []*child, r *wire.SyncReply, sent vm.Instant) {
	if len(kids) == 0 {
		return
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	base := sent.Add(-time.Duration(r.GetAgeMs()) * time.Millisecond)
	for _, kid := range kids {
		k := cs.byRun[kid.run]
		if k == nil || slices.Contains(r.GetRefused(), kid.name) {
			continue
		}
		k.passed = max(k.passed, kid.seq)
		if base > k.grant.base || k.grant.lease == 0 {
			k.grant = grant{base: base, lease: time.Duration(r.GetLeaseMs()) * time.Millisecond}
		}
	}
	close(cs.granted)
	cs.granted = make(chan struct{})
}

// grantsOf returns the grants of the given heartbeats and a channel closed at the
// next grant to any child.
func (cs *children) grantsOf(hbs []*wire.Heartbeat) ([]grant, <-chan struct{}) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	out := make([]grant, len(hbs))
	for i, hb := range hbs {
		if k := cs.byRun[run{name: hb.GetVm().GetName(), incarnation: hb.GetVm().GetIncarnation()}]; k != nil {
			out[i] = k.grant
		}
	}
	return out, cs.granted
}
