package relay

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

const modelLease = 6 * time.Second

// modelLeader is a leader as daemons see it. It agrees on state without other control
// VMs, and it hands shares on only under the conditions that package relay relies on.
type modelLeader struct {
	clock    vm.Clock
	history  *History
	expander HeartbeatExpander

	mu        sync.Mutex
	state     State
	runs      map[runID]*reportedRun
	electedAt vm.Instant // a run without a heartbeat since the election counts as heard from at this time
	quorum    bool
}

type reportedRun struct {
	member  vm.Member
	heardAt vm.Instant
	config  uint64
	epoch   uint64
}

func newModelLeader(clock vm.Clock) *modelLeader {
	l := &modelLeader{clock: clock, history: NewHistory(), runs: make(map[runID]*reportedRun), quorum: true}
	l.state.Tree = settings.New()
	l.state.ConfigDigest = l.state.Tree.Digest()
	return l
}

// edit accepts a change of the tree.
func (l *modelLeader) edit(edits ...settings.Edit) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, err := l.state.Tree.Apply(l.state.ConfigVersion+1, edits)
	if err != nil {
		return err
	}
	l.state.ConfigVersion++
	l.state.Tree, l.state.ConfigDigest = t, t.Digest()
	l.history.Update(l.state, []*wire.TreeDelta{{
		Version: l.state.ConfigVersion, Edits: settings.EditsToWire(edits), Digest: t.Digest(),
	}})
	return nil
}

// restart simulates the election of another control VM with the same agreed state.
func (l *modelLeader) restart() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = make(map[runID]*reportedRun)
	l.electedAt = l.clock()
}

func (l *modelLeader) setQuorum(q bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quorum = q
}

func (l *modelLeader) Sync(ctx context.Context, req *wire.SyncRequest) (*wire.SyncReply, error) {
	unknown := l.recordHeartbeats(req)
	timer := time.NewTimer(time.Duration(req.GetWaitMs()) * time.Millisecond)
	defer timer.Stop()
	for held := !unknown; held; {
		state, news := l.history.State()
		if !l.hasQuorum() || state.NewerThan(req) {
			break
		}
		select {
		case <-news:
		case <-timer.C:
			held = false
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	reply := &wire.SyncReply{Granted: l.quorum, LeaseMs: uint32(modelLease.Milliseconds()), Resend: unknown}
	if l.quorum {
		l.history.FillReply(req, reply)
	}
	return reply, nil
}

func (l *modelLeader) hasQuorum() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.quorum
}

func (l *modelLeader) recordHeartbeats(req *wire.SyncRequest) (unknown bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.quorum {
		return false
	}
	hbs, unknown := l.expander.Expand(req, l.state.Settled, l.state.Pending)
	for _, hb := range hbs {
		m := vm.MemberFromWire(hb.GetVm())
		key := runID{name: m.Name, incarnation: m.Incarnation}
		if l.runs[key] == nil {
			l.runs[key] = &reportedRun{}
		}
		h := l.runs[key]
		h.member, h.heardAt = m, l.clock()
		h.config, h.epoch = max(h.config, hb.GetConfigVersion()), max(h.epoch, hb.GetAckedEpoch())
	}
	return unknown
}

// run runs the leader's periodic work until ctx is done.
func (l *modelLeader) run(ctx context.Context) {
	for vm.Sleep(ctx, 50*time.Millisecond) {
		l.mu.Lock()
		before := l.state
		l.settlePending()
		l.proposeMembership()
		l.updateInForce()
		if l.state != before {
			l.history.Update(l.state, nil)
		}
		l.mu.Unlock()
	}
}

// mayHoldLease reports whether a run may still hold a lease.
func (l *modelLeader) mayHoldLease(key runID) (*reportedRun, bool) {
	h, ok := l.runs[key]
	if !ok {
		h = &reportedRun{heardAt: l.electedAt}
	}
	return h, l.clock().Sub(h.heardAt) < modelLease
}

func (l *modelLeader) leaseEnd(key runID) vm.Instant {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, _ := l.mayHoldLease(key)
	return max(h.heardAt, l.electedAt).Add(modelLease)
}

func (l *modelLeader) members() map[runID]bool {
	out := make(map[runID]bool)
	for _, m := range []*vm.Membership{l.state.Settled, l.state.Pending} {
		if m == nil {
			continue
		}
		for _, member := range m.Members {
			out[runID{name: member.Name, incarnation: member.Incarnation}] = true
		}
	}
	return out
}

func (l *modelLeader) settlePending() {
	if l.state.Pending == nil {
		return
	}
	for key := range l.members() {
		if h, alive := l.mayHoldLease(key); alive && h.epoch < l.state.Pending.Epoch {
			return
		}
	}
	l.state.Settled, l.state.Pending = l.state.Pending, nil
}

// proposeMembership makes a membership of the daemons that sent a heartbeat recently
// the pending one.
func (l *modelLeader) proposeMembership() {
	if l.state.Pending != nil {
		return
	}
	desired := make(map[string]vm.Member)
	if l.state.Settled != nil {
		for _, m := range l.state.Settled.Members {
			if _, alive := l.mayHoldLease(runID{name: m.Name, incarnation: m.Incarnation}); alive {
				desired[m.Name] = m
			}
		}
	}
	for key, h := range l.runs {
		if _, alive := l.mayHoldLease(key); alive && h.member.Incarnation >= desired[key.name].Incarnation {
			desired[key.name] = h.member
		}
	}
	next := &vm.Membership{Epoch: epochOf(l.state.Settled) + 1}
	for _, m := range desired {
		next.Members = append(next.Members, m)
	}
	slices.SortFunc(next.Members, func(a, b vm.Member) int { return strings.Compare(a.Name, b.Name) })
	if l.state.Settled == nil || !slices.Equal(next.Members, l.state.Settled.Members) {
		l.state.Pending = next
	}
}

// updateInForce raises the version in force.
func (l *modelLeader) updateInForce() {
	lowest := l.state.ConfigVersion
	for key := range l.members() {
		if h, alive := l.mayHoldLease(key); alive {
			lowest = min(lowest, h.config)
		}
	}
	l.state.InForce = max(l.state.InForce, lowest)
}
