package control

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"pearmoor/internal/control/presence"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/vm"
)

const (
	leaderLoopInterval = 100 * time.Millisecond // how often conditions that depend on time alone, such as expired leases, are checked
	wakeDelay          = 10 * time.Millisecond  // after a wake-up, so that one run covers the heartbeats of several calls
	epochBatchDelay    = 100 * time.Millisecond // collects joins and departures into one epoch
	maxConfirmDelay    = 3 * time.Second        // a daemon that has not confirmed a version after this time gets no lease
	proposeTimeout     = 5 * time.Second
)

var daemonCountGauge = metrics.GetOrRegisterGauge("control.daemons", metrics.DefaultRegistry)

// startLeading prepares this VM to lead in term. The previous leader may have granted
// leases until it could no longer rely on its quorum, at most electionTimeout before now
// by the clocks of the voters. All of these leases expire within the grace period.
func (n *Node) startLeading(term uint64, electionTimeout time.Duration) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	now := n.cfg.Clock()
	grace := n.state.LeaseBound() + electionTimeout
	n.daemons.Reset(now, now.Add(grace), n.state.Settled(), n.state.Pending())
	n.leaseTerms.Store(&presence.LeaseRequirements{Lease: n.state.Tree().Tier().DaemonLease})
	klog.Infof("control: leads in term %d at version %d, with %d members and a grace of %v", term, n.state.Version(), len(n.state.Settled().Members), grace)
	n.wakeLeaderLoop()
}

// leaderLoop performs the leader's periodic work: it updates the lease terms and proposes
// membership epochs, the version in force and the lease bound.
type leaderLoop struct {
	*Node
	term                uint64
	versions            acceptedVersions
	membershipChangedAt vm.Instant // when the daemons were first seen to differ from the settled membership; 0: no difference
	membershipCheckedAt vm.Instant // when the daemons were last compared with the settled membership
	pendingEpoch        pendingEpoch
	shorterLeaseSince   vm.Instant // since when a lease shorter than the bound has been in force everywhere; 0: not the case
}

// pendingEpoch records since when an epoch has been pending; epoch 0 means none is.
type pendingEpoch struct {
	epoch uint64
	since vm.Instant
}

func (n *Node) runLeaderLoop(ctx context.Context) {
	l := &leaderLoop{Node: n}
	ticker := time.NewTicker(leaderLoopInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-n.leaderLoopWake:
			select {
			case <-ctx.Done():
				return
			case <-time.After(wakeDelay):
			}
		}
		lead := n.leadership.Load()
		if !lead.confirmed(n.cfg.Clock()) {
			continue
		}
		if lead.term != l.term {
			*l = leaderLoop{Node: n, term: lead.term}
		}
		l.runOnce(ctx)
	}
}

// stateView is a copy of the parts of the state that the leader loop reads.
type stateView struct {
	version, inForce        uint64
	daemonLease, leaseBound time.Duration
	settled, pending        *vm.Membership
}

func (n *Node) stateView() stateView {
	n.mu.RLock()
	defer n.mu.RUnlock()
	st := n.state
	return stateView{
		version: st.Version(), inForce: st.InForce(),
		daemonLease: st.Tree().Tier().DaemonLease, leaseBound: st.LeaseBound(),
		settled: st.Settled(), pending: st.Pending(),
	}
}

// runOnce checks all conditions once and proposes the commands that are due.
func (l *leaderLoop) runOnce(ctx context.Context) {
	v, now := l.stateView(), l.cfg.Clock()
	l.updateLeaseTerms(&v, now)
	l.daemons.DeleteExpired(now)
	daemonCountGauge.Update(int64(l.daemons.Len()))
	if c := l.epochCommand(&v, now); c != nil {
		l.proposeAndLog(ctx, c)
	}
	if c := l.inForceCommand(&v, now); c != nil {
		l.proposeAndLog(ctx, c)
	}
	if c := l.leaseBoundCommand(&v, now); c != nil {
		l.proposeAndLog(ctx, c)
	}
}

func (l *leaderLoop) proposeAndLog(ctx context.Context, c *wire.Command) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := l.propose(ctx, c); err != nil {
		klog.V(1).Infof("control: proposal of %T failed, will be retried: %v", c.Body, err)
	}
}

func (l *leaderLoop) updateLeaseTerms(v *stateView, now vm.Instant) {
	l.versions.add(v.version, now)
	t := &presence.LeaseRequirements{Lease: v.daemonLease, MinConfigVersion: l.versions.newestDue(now), GracePeriod: maxConfirmDelay}
	if v.pending == nil {
		l.pendingEpoch = pendingEpoch{}
	} else if l.pendingEpoch.epoch != v.pending.Epoch {
		l.pendingEpoch = pendingEpoch{v.pending.Epoch, now}
	}
	// Requests in flight end within a lease, so after that time every daemon that
	// has received the epoch fits into its smaller shares. One that has not
	// acknowledged the epoch by then gets no further lease.
	if l.pendingEpoch.epoch != 0 && now.Sub(l.pendingEpoch.since) > v.daemonLease+maxConfirmDelay {
		t.MinEpoch = l.pendingEpoch.epoch
	}
	l.leaseTerms.Store(t)
}

// epochCommand returns the next command for the daemon membership, or nil. It settles
// the pending epoch once every member respects it. If none is pending, it proposes an
// epoch with the joins and departures since the last one.
func (l *leaderLoop) epochCommand(v *stateView, now vm.Instant) *wire.Command {
	if v.pending != nil {
		if !l.daemons.EpochAcknowledged(v.pending.Epoch, now, v.settled, v.pending) {
			return nil
		}
		return &wire.Command{Body: &wire.Command_Settle{Settle: &wire.SettleCommand{Epoch: v.pending.Epoch}}}
	}
	if now.Sub(l.membershipCheckedAt) < leaderLoopInterval {
		return nil
	}
	l.membershipCheckedAt = now
	upserts, removes := l.daemons.MembershipChanges(v.settled, now)
	if len(upserts)+len(removes) == 0 {
		l.membershipChangedAt = 0
		return nil
	}
	if l.membershipChangedAt == 0 {
		l.membershipChangedAt = now
	}
	if now.Sub(l.membershipChangedAt) < epochBatchDelay {
		return nil
	}
	l.membershipChangedAt = 0
	return &wire.Command{Body: &wire.Command_Epoch{Epoch: &wire.EpochCommand{
		BaseSettled: v.settled.Epoch, Upserts: upserts, Removes: removes,
	}}}
}

func (l *leaderLoop) inForceCommand(v *stateView, now vm.Instant) *wire.Command {
	if v.inForce >= v.version {
		return nil
	}
	confirmed := l.daemons.ConfirmedVersion(v.version, now)
	if confirmed <= v.inForce {
		return nil
	}
	return &wire.Command{Body: &wire.Command_InForce{InForce: &wire.InForceCommand{
		Version: confirmed, UnixMs: time.Now().UnixMilli(),
	}}}
}

// leaseBoundCommand returns a command that lowers the upper bound of the leases that
// daemons may hold, or nil. The bound can be lowered once a shorter lease has been in
// force everywhere for longer than the old bound, since all longer leases have then expired.
func (l *leaderLoop) leaseBoundCommand(v *stateView, now vm.Instant) *wire.Command {
	if v.leaseBound <= v.daemonLease || v.inForce < v.version {
		l.shorterLeaseSince = 0
		return nil
	}
	if l.shorterLeaseSince == 0 {
		l.shorterLeaseSince = now
	}
	if now.Sub(l.shorterLeaseSince) <= v.leaseBound {
		return nil
	}
	return &wire.Command{Body: &wire.Command_LeaseBound{LeaseBound: &wire.LeaseBoundCommand{
		LeaseMs: uint32(v.daemonLease.Milliseconds()),
	}}}
}

// acceptedVersions records when the newest versions were accepted, in ascending order.
type acceptedVersions struct{ entries []acceptedVersion }

type acceptedVersion struct {
	version    uint64
	acceptedAt vm.Instant
}

func (v *acceptedVersions) add(version uint64, now vm.Instant) {
	if n := len(v.entries); n == 0 || v.entries[n-1].version < version {
		v.entries = append(v.entries, acceptedVersion{version, now})
	}
}

// newestDue returns the newest version that was accepted at least maxConfirmDelay ago, so
// that every daemon has had time to confirm it, or 0. It drops the versions before it.
func (v *acceptedVersions) newestDue(now vm.Instant) uint64 {
	newest := -1
	for i := range v.entries {
		if now.Sub(v.entries[i].acceptedAt) >= maxConfirmDelay {
			newest = i
		}
	}
	if newest < 0 {
		return 0
	}
	v.entries = v.entries[newest:]
	return v.entries[0].version
}
