package relay

import (
	"sync"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/vm"
)

// Expander looks up short heartbeats. The zero value is ready; it may be used by
// several goroutines.
type Expander struct {
	mu      sync.Mutex
	indexes [2]digestIndex // of the memberships asked for last
}

// digestIndex finds the members of one membership by Member.Digest.
type digestIndex struct {
	of       *vm.Membership
	byDigest map[uint64]int
}

// Expand returns every heartbeat of a request in full, the short ones looked up
// in the pending membership, then in the settled one (each may be nil). Unknown
// reports that a short one was not found; the reply then has to ask for full
// ones (resend).
func (x *Expander) Expand(req *wire.SyncRequest, settled, pending *vm.Membership) (hbs []*wire.Heartbeat, unknown bool) {
	hbs = req.GetHeartbeats()
	if len(req.GetSteady()) == 0 {
		return hbs, false
	}
	indexes := x.indexesOf(pending, settled)
	hbs = append(make([]*wire.Heartbeat, 0, len(hbs)+len(req.GetSteady())), hbs...)
	epoch := max(req.GetHaveSettled(), req.GetHavePending())
	for _, digest := range req.GetSteady() {
		m, ok := lookUp(indexes, digest)
		if !ok {
			unknown = true
			continue
		}
		hbs = append(hbs, &wire.Heartbeat{Vm: vm.ToWire(m), ConfigVersion: req.GetHaveConfig(), AckedEpoch: epoch})
	}
	return hbs, unknown
}

// Sender returns the sender's own among the heartbeats that Expand returned: the
// first short one, or, as a sender whose own is in full sends none short, the
// first. It is nil when there is none, or when short ones were unknown.
func Sender(req *wire.SyncRequest, hbs []*wire.Heartbeat) *wire.Heartbeat {
	short := len(hbs) - len(req.GetHeartbeats())
	switch {
	case len(hbs) == 0 || short != len(req.GetSteady()):
		return nil
	case short > 0:
		return hbs[len(req.GetHeartbeats())]
	}
	return hbs[0]
}

func (x *Expander) indexesOf(ms ...*vm.Membership) [2]digestIndex {
	x.mu.Lock()
	defer x.mu.Unlock()
	var next [2]digestIndex
	for i, m := range ms {
		next[i] = x.indexOf(m)
	}
	x.indexes = next
	return next
}

func (x *Expander) indexOf(m *vm.Membership) digestIndex {
	for _, index := range x.indexes {
		if index.of == m {
			return index
		}
	}
	index := digestIndex{of: m}
	if m != nil {
		index.byDigest = make(map[uint64]int, len(m.Members))
		for i := range m.Members {
			index.byDigest[m.Members[i].Digest()] = i
		}
	}
	return index
}

func lookUp(indexes [2]digestIndex, digest uint64) (vm.Member, bool) {
	for _, index := range indexes {
		if i, ok := index.byDigest[digest]; ok {
			return index.of.Members[i], true
		}
	}
	return vm.Member{}, false
}

// addHeartbeat puts hb into req, in the short form where it says no more than
// that the daemon is as agreed and has confirmed what the request states.
func addHeartbeat(req *wire.SyncRequest, hb *wire.Heartbeat, agreed *vm.Membership, full bool) {
	member := vm.FromWire(hb.GetVm())
	confirmed := hb.GetConfigVersion() == req.GetHaveConfig() &&
		hb.GetAckedEpoch() == max(req.GetHaveSettled(), req.GetHavePending())
	if !full && confirmed && agreed != nil {
		if m, ok := agreed.Find(member.Name); ok && m == member {
			req.Steady = append(req.Steady, member.Digest())
			return
		}
	}
	req.Heartbeats = append(req.Heartbeats, hb)
}
