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
	dutyEvery    = 100 * time.Millisecond // how often conditions that depend on time alone, such as expired leases, are checked
	dutyPause    = 10 * time.Millisecond  // after a wake-up, so that one run covers the heartbeats of several calls
	epochPause   = 100 * time.Millisecond // collects joins and departures into one epoch
	followWithin = 3 * time.Second        // a daemon that has not confirmed a version after this time gets no lease
	proposeTime  = 5 * time.Second
)

var daemonGauge = metrics.GetOrRegisterGauge("control.daemons", metrics.DefaultRegistry)

// startLeading prepares this VM to lead in term. The previous leader may have granted
// leases until it could no longer rely on its quorum, at most electionTimeout before now
// by the clocks of the voters. All of these leases expire within the grace period.
func (n *Node) takeOver(term uint64, electionTime time.Duration) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	now := n.cfg.Clock()
	grace := n.state.LeaseBound() + electionTime
	n.table.Reset(now, now.Add(grace), n.state.Settled(), n.state.Pending())
	n.terms.Store(&presence.Terms{Lease: n.state.Tree().Tier().DaemonLease})
	klog.Infof("control: leads in term %d at version %d, with %d members and a grace of %v", term, n.state.Version(), len(n.state.Settled().Members), grace)
	n.wakeDuties()
}

// leaderLoop performs the leader's periodic work: it updates the lease terms and proposes
// membership epochs, the version in force and the lease bound.
type duties struct {
	*Node
	term    uint64
	follow  follow
	changed vm.Instant // when the daemons were first seen to differ from the settled membership; 0: no difference
	looked  vm.Instant // when the daemons were last compared with the settled membership
	pending epochAge
	shorten vm.Instant // since when a lease shorter than the bound has been in force everywhere; 0: not the case
}

// pendingEpoch records since when an epoch has been pending; epoch 0 means none is.
type epochAge struct {
	epoch uint64
	since vm.Instant
}

func (n *Node) runDuties(ctx context.Context) {
	d := &duties{Node: n}
	ticker := time.NewTicker(dutyEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-n.wake:
			select {
			case <-ctx.Done():
				return
			case <-time.After(dutyPause):
			}
		}
		lead := n.lead.Load()
		if !lead.confirmed(n.cfg.Clock()) {
			continue
		}
		if lead.term != d.term {
			*d = duties{Node: n, term: lead.term}
		}
		d.round(ctx)
	}
}

// stateView is a copy of the parts of the state that the leader loop reads.
type view struct {
	version, inForce uint64
	lease, bound     time.Duration
	settled, pending *vm.Membership
}

func (n *Node) view() view {
	n.mu.RLock()
	defer n.mu.RUnlock()
	st := n.state
	return view{
		version: st.Version(), inForce: st.InForce(),
		lease: st.Tree().Tier().DaemonLease, bound: st.LeaseBound(),
		settled: st.Settled(), pending: st.Pending(),
	}
}

// runOnce checks all conditions once and proposes the commands that are due.
func (d *duties) round(ctx context.Context) {
	v, now := d.view(), d.cfg.Clock()
	d.setTerms(&v, now)
	d.table.Sweep(now)
	daemonGauge.Update(int64(d.table.Len()))
	if c := d.nextEpoch(&v, now); c != nil {
		d.do(ctx, c)
	}
	if c := d.nextInForce(&v, now); c != nil {
		d.do(ctx, c)
	}
	if c := d.nextLeaseBound(&v, now); c != nil {
		d.do(ctx, c)
	}
}

func (d *duties) do(ctx context.Context, c *wire.Command) {
	ctx, cancel := context.WithTimeout(ctx, proposeTime)
	defer cancel()
	if _, err := d.propose(ctx, c); err != nil {
		klog.V(1).Infof("control: proposal of %T failed, will be retried: %v", c.Body, err)
	}
}

func (d *duties) setTerms(v *view, now vm.Instant) {
	d.follow.note(v.version, now)
	t := &presence.Terms{Lease: v.lease, Config: d.follow.due(now), Patience: followWithin}
	if v.pending == nil {
		d.pending = epochAge{}
	} else if d.pending.epoch != v.pending.Epoch {
		d.pending = epochAge{v.pending.Epoch, now}
	}
	// Requests in flight end within a lease, so after that time every daemon that
	// has received the epoch fits into its smaller shares. One that has not
	// acknowledged the epoch by then gets no further lease.
	if d.pending.epoch != 0 && now.Sub(d.pending.since) > v.lease+followWithin {
		t.Epoch = d.pending.epoch
	}
	d.terms.Store(t)
}

// epochCommand returns the next command for the daemon membership, or nil. It settles
// the pending epoch once every member respects it. If none is pending, it proposes an
// epoch with the joins and departures since the last one.
func (d *duties) nextEpoch(v *view, now vm.Instant) *wire.Command {
	if v.pending != nil {
		if !d.table.Respected(v.pending.Epoch, now, v.settled, v.pending) {
			return nil
		}
		return &wire.Command{Body: &wire.Command_Settle{Settle: &wire.SettleCommand{Epoch: v.pending.Epoch}}}
	}
	if now.Sub(d.looked) < dutyEvery {
		return nil
	}
	d.looked = now
	upserts, removes := d.table.Want(v.settled, now)
	if len(upserts)+len(removes) == 0 {
		d.changed = 0
		return nil
	}
	if d.changed == 0 {
		d.changed = now
	}
	if now.Sub(d.changed) < epochPause {
		return nil
	}
	d.changed = 0
	return &wire.Command{Body: &wire.Command_Epoch{Epoch: &wire.EpochCommand{
		BaseSettled: v.settled.Epoch, Upserts: upserts, Removes: removes,
	}}}
}

func (d *duties) nextInForce(v *view, now vm.Instant) *wire.Command {
	if v.inForce >= v.version {
		return nil
	}
	confirmed := d.table.Confirmed(v.version, now)
	if confirmed <= v.inForce {
		return nil
	}
	return &wire.Command{Body: &wire.Command_InForce{InForce: &wire.InForceCommand{
		Version: confirmed, UnixMs: time.Now().UnixMilli(),
	}}}
}

// leaseBoundCommand returns a command that lowers the upper bound of the leases that
// daemons may hold, or nil. The bound can be lowered once a shorter lease has been in
// force everywhere for longer than the old bound: no lease granted before is then valid.
func (d *duties) nextLeaseBound(v *view, now vm.Instant) *wire.Command {
	if v.bound <= v.lease || v.inForce < v.version {
		d.shorten = 0
		return nil
	}
	if d.shorten == 0 {
		d.shorten = now
	}
	if now.Sub(d.shorten) <= v.bound {
		return nil
	}
	return &wire.Command{Body: &wire.Command_LeaseBound{LeaseBound: &wire.LeaseBoundCommand{
		LeaseMs: uint32(v.lease.Milliseconds()),
	}}}
}

// acceptedVersions records when the newest versions were accepted, in ascending order.
type follow struct{ list []versionAt }

type versionAt struct {
	version uint64
	at      vm.Instant
}

func (f *follow) note(version uint64, now vm.Instant) {
	if n := len(f.list); n == 0 || f.list[n-1].version < version {
		f.list = append(f.list, versionAt{version, now})
	}
}

// newestDue returns the newest version that was accepted at least maxConfirmDelay ago, so
// that every daemon has had time to confirm it, or 0. It drops the versions before it.
func (f *follow) due(now vm.Instant) uint64 {
	due := -1
	for i := range f.list {
		if now.Sub(f.list[i].at) >= followWithin {
			due = i
		}
	}
	if due < 0 {
		return 0
	}
	f.list = f.list[due:]
	return f.list[0].version
}
