package control

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/relay"
	"pearmoor/internal/vm"
)

// maxSyncWait is the maximum time that a Sync call is held, so that relays and daemons
// detect a lost connection early.
const maxSyncWait = 5 * time.Second

// maxInitialSyncWait is the maximum time that a Sync call of a daemon without state is held
// by a VM that has no state either. A VM with a new disk has no state until it has joined
// the group.
const maxInitialSyncWait = 200 * time.Millisecond

// aheadLogInterval is the minimum time between two log lines about daemons that are ahead
// of this group.
const aheadLogInterval = 10 * time.Second

var (
	syncMeter      = metrics.GetOrRegisterMeter("control.sync.calls", metrics.DefaultRegistry)
	heartbeatMeter = metrics.GetOrRegisterMeter("control.sync.heartbeats", metrics.DefaultRegistry)
)

// spreadServer serves daemons and relays.
type spreadServer struct{ *Node }

// Sync implements wire.DRPCSpreadServer. It records heartbeats, waits until there is a
// newer state than the caller has, and grants leases to the daemons.
//
// A lease starts no later than the instant at which the heartbeat was handled. It is
// granted only if this VM still leads in the same term when the reply is built: a leader
// that was partitioned or paused in between would grant leases that its successor does
// not wait for.
func (s *spreadServer) Sync(ctx context.Context, req *wire.SyncRequest) (*wire.SyncReply, error) {
	lead := s.leadership.Load()
	if s.groupGuard.Refuses(lead.group(), vm.GroupID(req.Group), "a sync", relay.SenderName(req)) {
		return &wire.SyncReply{Group: lead.group().Wire()}, nil
	}
	if !lead.confirmed(s.cfg.Clock()) {
		reply := &wire.SyncReply{Redirect: lead.redirectAddr(), Group: lead.group().Wire()}
		if reply.Redirect == "" && req.HaveConfig == 0 {
			s.fillCommitted(ctx, req, reply)
		}
		return reply, nil
	}
	st, _ := s.history.State()
	if callerAhead(req, &st) {
		s.logCallerAhead(req, &st)
		return &wire.SyncReply{Group: lead.group().Wire()}, nil
	}
	heartbeats, unknownDigests := s.expander.Expand(req, st.Settled, st.Pending)
	if err := checkSender(ctx, req, heartbeats); err != nil {
		return nil, err
	}
	terms := s.leaseTerms.Load()
	refused, changed := s.daemons.RecordHeartbeats(heartbeats, s.cfg.Clock(), terms)
	syncMeter.Mark(1)
	heartbeatMeter.Mark(int64(len(heartbeats)))
	if changed {
		s.wakeLeaderLoop()
	}
	if !unknownDigests {
		// Hold the call until there is news for the caller or this VM stops leading.
		s.waitForState(ctx, syncWait(req, maxSyncWait), s.leadership.Load().steppedDown, func(st *relay.State) bool { return st.NewerThan(req) })
	}
	reply := &wire.SyncReply{Refused: refused, Resend: unknownDigests, Control: lead.controlAddrs(), Group: lead.group().Wire()}
	s.history.FillReply(req, reply)
	current := s.leadership.Load()
	if current.term == lead.term && current.confirmed(s.cfg.Clock()) {
		reply.Granted = !unknownDigests
		reply.LeaseMs = uint32(terms.Lease.Milliseconds())
	} else {
		reply.Redirect = current.redirectAddr()
	}
	return reply, nil
}

// fillCommitted fills reply with the committed state of this VM. It serves daemons that
// have just started while no leader is known: after a restart of the whole tier, every
// daemon would otherwise reject all requests until a leader is elected.
//
// This is safe because committed state is never rolled back and the reply grants nothing:
// the daemon holds no lease and no share until a leader has confirmed it. The state may be
// outdated, which the leader's first reply corrects.
//
// A VM that has just started has to read its disk first, so the call is held until then.
// With an immediate empty reply the daemon would turn to VMs that may still be down and
// retry 0.2 s later. With 11 VMs after a power failure, holding the call shortened the time
// from the start of a VM with a disk to its configuration from 0.23 s to 0.08 s.
func (s *spreadServer) fillCommitted(ctx context.Context, req *wire.SyncRequest, reply *wire.SyncReply) {
	known := func(st *relay.State) bool { return st.ConfigVersion > 0 }
	if s.waitForState(ctx, syncWait(req, maxInitialSyncWait), nil, known) {
		s.history.FillReply(req, reply)
	}
}

// checkSender returns an error unless the caller's own heartbeat names the VM of the
// caller's certificate. The caller's own heartbeat is the first one in full form or the
// first one in short form. The other heartbeats are those of daemons that connect through
// the caller, a relay, which is trusted for them.
func checkSender(ctx context.Context, req *wire.SyncRequest, heartbeats []*wire.Heartbeat) error {
	if len(heartbeats) == 0 {
		return nil
	}
	err := peer.CheckSender(ctx, heartbeats[0].GetVm().GetName())
	if short := len(req.Heartbeats); err != nil && short > 0 && short < len(heartbeats) {
		err = peer.CheckSender(ctx, heartbeats[short].GetVm().GetName())
	}
	return err
}

// callerAhead reports whether the caller has a newer configuration version or epoch than
// this group. A leader knows everything that its group has committed, so the caller's
// state must come from another group: this group was founded again, for example after
// the disks of the old one were lost. A lease would let the daemon work with the old
// group's configuration and shares, while this group may assign the same shares to other
// daemons.
func callerAhead(req *wire.SyncRequest, st *relay.State) bool {
	return req.HaveConfig > st.ConfigVersion || req.HaveSettled > st.Settled.Epoch
}

func (s *spreadServer) logCallerAhead(req *wire.SyncRequest, st *relay.State) {
	now := s.cfg.Clock()
	last := vm.Instant(s.lastAheadLog.Load())
	if now.Sub(last) < aheadLogInterval || !s.lastAheadLog.CompareAndSwap(int64(last), int64(now)) {
		return
	}
	klog.Errorf("control: %s has version %d and epoch %d, but this group has only %d and %d, so it was founded again; restore the old group's disks, or restart all daemons",
		relay.SenderName(req), req.HaveConfig, req.HaveSettled, st.ConfigVersion, st.Settled.Epoch)
}

// syncWait returns how long the caller asks to be held, but at most limit.
func syncWait(req *wire.SyncRequest, limit time.Duration) time.Duration {
	return min(time.Duration(req.WaitMs)*time.Millisecond, limit)
}

// waitForState waits until done returns true for the state and reports whether it did. It
// returns false if wait elapses, ctx is done or steppedDown is closed first.
func (s *spreadServer) waitForState(ctx context.Context, wait time.Duration, steppedDown <-chan struct{}, done func(*relay.State) bool) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		st, changed := s.history.State()
		if done(&st) {
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		case <-steppedDown:
			return false
		}
	}
}
