package relay

import (
	"sync"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/vm"
)

// HeartbeatExpander expands short heartbeats. The zero value is ready for use. It is
// safe for concurrent use.
type HeartbeatExpander struct {
	mu      sync.Mutex
	indexes [2]digestIndex // of the two memberships used last
}

// digestIndex finds the members of one membership by Member.Digest.
type digestIndex struct {
	membership *vm.Membership
	byDigest   map[uint64]int
}

// Expand returns every heartbeat of a request in full. The short ones are looked up in
// the pending membership, then in the settled one; each may be nil. Unknown reports
// that a short one was not found; the reply must then request full heartbeats
// (resend).
func (x *HeartbeatExpander) Expand(req *wire.SyncRequest, settled, pending *vm.Membership) (hbs []*wire.Heartbeat, unknown bool) {
	hbs = req.GetHeartbeats()
	if len(req.GetSteady()) == 0 {
		return hbs, false
	}
	indexes := x.indexesOf(pending, settled)
	hbs = append(make([]*wire.Heartbeat, 0, len(hbs)+len(req.GetSteady())), hbs...)
	epoch := max(req.GetHaveSettled(), req.GetHavePending())
	for _, digest := range req.GetSteady() {
		m, ok := findByDigest(indexes, digest)
		if !ok {
			unknown = true
			continue
		}
		hbs = append(hbs, &wire.Heartbeat{Vm: vm.MemberToWire(m), ConfigVersion: req.GetHaveConfig(), AckedEpoch: epoch})
	}
	return hbs, unknown
}

// SenderHeartbeat returns the sender's own heartbeat among those that Expand returned.
// It is the first short one. If there is no short one, it is the first of all, because
// a sender that sends its own heartbeat in full sends all others in full as well. The
// result is nil if there is no heartbeat or a short one was unknown.
func SenderHeartbeat(req *wire.SyncRequest, hbs []*wire.Heartbeat) *wire.Heartbeat {
	short := len(hbs) - len(req.GetHeartbeats())
	switch {
	case len(hbs) == 0 || short != len(req.GetSteady()):
		return nil
	case short > 0:
		return hbs[len(req.GetHeartbeats())]
	}
	return hbs[0]
}

func (x *HeartbeatExpander) indexesOf(ms ...*vm.Membership) [2]digestIndex {
	x.mu.Lock()
	defer x.mu.Unlock()
	var next [2]digestIndex
	for i, m := range ms {
		next[i] = x.indexOf(m)
	}
	x.indexes = next
	return next
}

func (x *HeartbeatExpander) indexOf(m *vm.Membership) digestIndex {
	for _, index := range x.indexes {
		if index.membership == m {
			return index
		}
	}
	index := digestIndex{membership: m}
	if m != nil {
		index.byDigest = make(map[uint64]int, len(m.Members))
		for i := range m.Members {
			index.byDigest[m.Members[i].Digest()] = i
		}
	}
	return index
}

func findByDigest(indexes [2]digestIndex, digest uint64) (vm.Member, bool) {
	for _, index := range indexes {
		if i, ok := index.byDigest[digest]; ok {
			return index.membership.Members[i], true
		}
	}
	return vm.Member{}, false
}

// addHeartbeat adds hb to req. It uses the short form, a digest of the member, if the
// daemon is unchanged from the agreed membership and has confirmed exactly the version
// and epoch that the request states.
func addHeartbeat(req *wire.SyncRequest, hb *wire.Heartbeat, agreed *vm.Membership, full bool) {
	member := vm.MemberFromWire(hb.GetVm())
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
