package relay

import (
	"sync"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

// Limits of a History. They let a daemon that syncs only now and then avoid a full
// snapshot: at 1,900 changes a day they cover several days of changes.
const (
	maxDeltas      = 10_000
	maxMemberships = 64
	// maxDeltaBytes limits the total encoded size of the deltas. A change that adds
	// thousands of routes is a megabyte, on every daemon.
	maxDeltaBytes = 1 << 20
)

// State is the agreed state as far as it is known locally.
type State struct {
	ConfigVersion uint64
	ConfigDigest  uint64
	Tree          *settings.Tree
	InForce       uint64
	Settled       *vm.Membership
	Pending       *vm.Membership
}

// History keeps the newest state and the recent deltas and memberships, and fills
// replies with what the requester does not have. It is safe for concurrent use.
type History struct {
	mu          sync.Mutex
	state       State
	deltas      []*wire.TreeDelta // consecutive; the last leads to state.ConfigVersion
	memberships []*vm.Membership  // settled and pending ones, oldest first
	deltaBytes  int
	snapshot    []byte            // encoded state.Tree; nil until requested
	compressed  map[uint64][]byte // compressed state by the requester's version; 0: the snapshot
	changed     chan struct{}
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{changed: make(chan struct{})} }

// Update replaces the state. Deltas are the changes that lead to it; those that are
// already kept are ignored, and a gap discards the ones kept before it. A state with a
// lower version or epoch is ignored.
func (h *History) Update(s State, deltas []*wire.TreeDelta) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.ConfigVersion < h.state.ConfigVersion || epochOf(s.Settled) < epochOf(h.state.Settled) {
		return
	}
	if s.ConfigVersion != h.state.ConfigVersion || s.ConfigDigest != h.state.ConfigDigest {
		h.snapshot, h.compressed = nil, nil
	}
	h.addDeltas(s.ConfigVersion, deltas)
	h.addMembership(s.Settled)
	h.addMembership(s.Pending)
	h.state = s
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *History) addDeltas(version uint64, deltas []*wire.TreeDelta) {
	for _, d := range deltas {
		if d.GetVersion() > version || d.GetVersion() <= h.lastDeltaVersion() {
			continue
		}
		if len(h.deltas) > 0 && d.GetVersion() != h.lastDeltaVersion()+1 {
			h.deltas, h.deltaBytes = nil, 0
		}
		h.deltas = append(h.deltas, d)
		h.deltaBytes += proto.Size(d)
	}
	if h.lastDeltaVersion() != version {
		h.deltas, h.deltaBytes = nil, 0
	}
	// The newest delta is kept whatever its size, as every daemon requests it.
	for len(h.deltas) > 1 && (len(h.deltas) > maxDeltas || h.deltaBytes > maxDeltaBytes) {
		h.deltaBytes -= proto.Size(h.deltas[0])
		h.deltas[0] = nil
		h.deltas = h.deltas[1:]
	}
}

func (h *History) lastDeltaVersion() uint64 {
	if len(h.deltas) == 0 {
		return 0
	}
	return h.deltas[len(h.deltas)-1].GetVersion()
}

func (h *History) addMembership(m *vm.Membership) {
	if m == nil || h.findMembership(m.Epoch) != nil {
		return
	}
	h.memberships = append(h.memberships, m)
	if len(h.memberships) > maxMemberships {
		h.memberships = append([]*vm.Membership(nil), h.memberships[1:]...)
	}
}

func (h *History) findMembership(epoch uint64) *vm.Membership {
	for i := len(h.memberships) - 1; i >= 0; i-- {
		if h.memberships[i].Epoch == epoch {
			return h.memberships[i]
		}
	}
	return nil
}

// State returns the newest state and a channel that is closed at the next Update.
func (h *History) State() (State, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state, h.changed
}

// NewerThan reports whether the state contains anything that the sender of req does
// not have.
func (s *State) NewerThan(req *wire.SyncRequest) bool {
	return s.configNewerThan(req) ||
		epochOf(s.Settled) > req.GetHaveSettled() ||
		epochOf(s.Pending) > max(req.GetHavePending(), req.GetHaveSettled()) ||
		s.InForce > req.GetHaveInForce()
}

func (s *State) configNewerThan(req *wire.SyncRequest) bool {
	if s.Tree == nil || s.ConfigVersion < req.GetHaveConfig() {
		return false
	}
	return s.ConfigVersion > req.GetHaveConfig() || s.ConfigDigest != req.GetHaveDigest()
}

// FillReply writes the newest state into reply, except for what the requester already
// has according to req.
func (h *History) FillReply(req *wire.SyncRequest, reply *wire.SyncReply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := &h.state
	reply.InForce = s.InForce
	reply.SettledEpoch = epochOf(s.Settled)
	reply.PendingEpoch = epochOf(s.Pending)
	h.fillConfig(req, reply)
	if s.Settled != nil && s.Settled.Epoch > req.GetHaveSettled() {
		reply.Settled = vm.MembershipDelta(h.findMembership(req.GetHaveSettled()), s.Settled)
	}
	if s.Pending != nil && s.Pending.Epoch > req.GetHavePending() {
		reply.Pending = vm.MembershipDelta(s.Settled, s.Pending)
	}
}

func (h *History) fillConfig(req *wire.SyncRequest, reply *wire.SyncReply) {
	s := &h.state
	reply.ConfigVersion, reply.ConfigDigest = s.ConfigVersion, s.ConfigDigest
	if !s.configNewerThan(req) {
		return
	}
	key := uint64(0)
	if deltas, ok := h.deltasAfter(req.GetHaveConfig(), req.GetHaveDigest()); ok {
		reply.Deltas, key = deltas, req.GetHaveConfig()
	} else {
		if h.snapshot == nil {
			h.snapshot = s.Tree.Encode()
		}
		reply.Snapshot = h.snapshot
	}
	if req.GetUnpacks() {
		h.compress(key, reply)
	}
}

// compress replaces large state in reply by its compressed form, which is cached until
// the state changes, as all daemons request the same state at the same time.
func (h *History) compress(key uint64, reply *wire.SyncReply) {
	state := &wire.SyncReply{Deltas: reply.Deltas, Snapshot: reply.Snapshot}
	compressed, cached := h.compressed[key]
	if !cached {
		if proto.Size(state) < compressThreshold {
			return
		}
		var err error
		if compressed, err = compressState(state); err != nil {
			klog.Errorf("relay: compressing state failed, sending it uncompressed: %v", err)
			return
		}
		if h.compressed == nil {
			h.compressed = make(map[uint64][]byte)
		}
		h.compressed[key] = compressed
	}
	reply.Deltas, reply.Snapshot, reply.Packed = nil, nil, compressed
}

// deltasAfter returns the changes after version. It reports false if they are not kept
// or were made on another tree than the requester's tree of that version.
func (h *History) deltasAfter(version, digest uint64) ([]*wire.TreeDelta, bool) {
	if version == 0 || len(h.deltas) == 0 {
		return nil, false
	}
	first := h.deltas[0].GetVersion()
	if version+1 < first || version >= h.lastDeltaVersion() {
		return nil, false
	}
	if version >= first && h.deltas[version-first].GetDigest() != digest {
		return nil, false
	}
	return h.deltas[version+1-first:], true
}
