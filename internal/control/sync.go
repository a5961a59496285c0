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

// maxHold bounds how long a Sync is held, so that relays and daemons notice a
// lost link early.
const maxHold = 5 * time.Second

// agreedHold bounds how long a daemon without state is held at a VM without state: a VM
// whose disk is new learns nothing until it has joined the group.
const agreedHold = 200 * time.Millisecond

// aheadEvery is the least time between two words on daemons of another group.
const aheadEvery = 10 * time.Second

var (
	syncMeter = metrics.GetOrRegisterMeter("control.sync.calls", metrics.DefaultRegistry)
	beatMeter = metrics.GetOrRegisterMeter("control.sync.heartbeats", metrics.DefaultRegistry)
)

// spreadServer answers daemons and relays.
type spreadServer struct{ *Node }

// Sync implements wire.DRPCSpreadServer: it records heartbeats, waits until there
// is something new, and confirms the daemons' leases.
//
// A lease is granted from the instant the heartbeat was handled at the latest,
// and only if this VM still leads when the reply is written: a leader that was
// cut off or paused in between would grant leases that its successor does not
// wait for.
func (s *spreadServer) Sync(ctx context.Context, req *wire.SyncRequest) (*wire.SyncReply, error) {
	lead := s.lead.Load()
	if !lead.confirmed(s.cfg.Clock()) {
		reply := &wire.SyncReply{Redirect: lead.redirect()}
		if reply.Redirect == "" && req.HaveConfig == 0 {
			s.fillAgreed(ctx, req, reply)
		}
		return reply, nil
	}
	st, _ := s.history.State()
	if ahead(req, &st) {
		s.reportAhead(req, &st)
		return &wire.SyncReply{}, nil
	}
	hbs, unknown := s.expand.Expand(req, st.Settled, st.Pending)
	if err := checkSender(ctx, req, hbs); err != nil {
		return nil, err
	}
	terms := s.terms.Load()
	refused, news := s.table.Beat(hbs, s.cfg.Clock(), terms)
	syncMeter.Mark(1)
	beatMeter.Mark(int64(len(hbs)))
	if news {
		s.wakeDuties()
	}
	if !unknown {
		// Until there is something that the caller lacks, or this VM no longer leads.
		s.await(ctx, waitOf(req, maxHold), s.lead.Load().lost, func(st *relay.State) bool { return st.HasNews(req) })
	}
	reply := &wire.SyncReply{Refused: refused, Resend: unknown, Control: lead.controlAddrs()}
	s.history.Fill(req, reply)
	now := s.lead.Load()
	if now.term == lead.term && now.confirmed(s.cfg.Clock()) {
		reply.Granted = !unknown
		reply.LeaseMs = uint32(terms.Lease.Milliseconds())
	} else {
		reply.Redirect = now.redirect()
	}
	return reply, nil
}

// fillAgreed gives a daemon that has just started, while no leader is known, what
// this VM knows to be agreed on.
//
// After a restart of everything each daemon would otherwise reject all requests until a
// leader is elected.
//
// What is agreed on is never taken back, and nothing is granted with it: the daemon
// holds no lease and no share until the leader has confirmed it. It may be a little
// old, which the leader's first reply mends.
//
// A VM that has just started itself first has to read its disk, which the daemon waits
// for: told at once that nothing is known, it turns to VMs that may not be back and comes
// again 0.2 s later. Of 11 VMs that lost power, those with a disk had their configuration
// 0.23 s after their start, and have it after 0.08 s now.
func (s *spreadServer) fillAgreed(ctx context.Context, req *wire.SyncRequest, reply *wire.SyncReply) {
	known := func(st *relay.State) bool { return st.ConfigVersion > 0 }
	if s.await(ctx, waitOf(req, agreedHold), nil, known) {
		s.history.Fill(req, reply)
	}
}

// checkSender holds that the caller's own heartbeat, the first in full or the
// first short one, names the VM of its certificate. A relay is trusted for the
// daemons below it.
func checkSender(ctx context.Context, req *wire.SyncRequest, hbs []*wire.Heartbeat) error {
	if len(hbs) == 0 {
		return nil
	}
	err := peer.CheckSender(ctx, hbs[0].GetVm().GetName())
	if short := len(req.Heartbeats); err != nil && short > 0 && short < len(hbs) {
		err = peer.CheckSender(ctx, hbs[short].GetVm().GetName())
	}
	return err
}

// ahead reports whether the caller knows of something that this group never
// agreed on. A leader knows everything its group has agreed on, so the group must
// have been founded anew beside or after another one, on disks that were lost.
// Granting a lease would put the old group's configuration and shares back into
// work under a group that may hand the same shares to others.
func ahead(req *wire.SyncRequest, st *relay.State) bool {
	return req.HaveConfig > st.ConfigVersion || req.HaveSettled > st.Settled.Epoch
}

func (s *spreadServer) reportAhead(req *wire.SyncRequest, st *relay.State) {
	now := s.cfg.Clock()
	last := vm.Instant(s.aheadAt.Load())
	if now.Sub(last) < aheadEvery || !s.aheadAt.CompareAndSwap(int64(last), int64(now)) {
		return
	}
	name := "a daemon"
	if len(req.Heartbeats) > 0 {
		name = req.Heartbeats[0].GetVm().GetName()
	}
	klog.Errorf("control: %s knows version %d and epoch %d, this group only %d and %d: it was founded anew; restore the old group's disks, or restart all daemons",
		name, req.HaveConfig, req.HaveSettled, st.ConfigVersion, st.Settled.Epoch)
}

// waitOf is how long the caller would be held, for at most most.
func waitOf(req *wire.SyncRequest, most time.Duration) time.Duration {
	return min(time.Duration(req.WaitMs)*time.Millisecond, most)
}

// await waits until the state is enough, and reports whether it is. It is false when the
// time is up, or ctx ends, or lost is closed, first.
func (s *spreadServer) await(ctx context.Context, wait time.Duration, lost <-chan struct{}, enough func(*relay.State) bool) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		st, changed := s.history.State()
		if enough(&st) {
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		case <-lost:
			return false
		}
	}
}
