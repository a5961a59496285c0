package entryvm

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"pearmoor/internal/control"
	"pearmoor/internal/discovery"
	"pearmoor/internal/evacuation"
	"pearmoor/internal/forward"
	"pearmoor/internal/intake"
	"pearmoor/internal/journal"
	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/policy"
	"pearmoor/internal/quarantine"
	"pearmoor/internal/quota"
	"pearmoor/internal/relay"
	"pearmoor/internal/route"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
	"pearmoor/internal/work"
)

// VM is the process of one entry VM.
type VM struct {
	conf    Config
	parts   *work.Parts
	seeds   atomic.Pointer[[]string]
	learned learnedContacts
	guard   *relay.GroupGuard

	controlConns *peer.Pool // heartbeats and the messages of the control group
	bulkConns    *peer.Pool // calls that may be large or slow
	gatherConns  *peer.Pool // gathers, handovers and probes
	groupMember  *control.GroupMember
	client       *relay.Client
	leafCache    *discovery.LeafCache
	leafSyncer   *discovery.Syncer
	quarantine   *quarantine.Registry
	engine       *forward.Engine
	quotas       *quota.Quotas
	quotasNeeded chan struct{} // closed when a configuration with organisations is in use
	server       *forward.Server
	intake       *intake.Intake
	mux          atomic.Pointer[drpcmux.Mux]

	rolesCache    rolesCache
	coldSenders   coldSenders
	prober        *prober
	draining      atomic.Bool
	releaseNumber atomic.Uint64 // number of the release in use on this VM
	// releaseBytes is the estimated size of a read of the release in use.
	releaseBytes atomic.Int64
	// confirmedAt is the ConfirmedAt of the newest view that is in use completely.
	confirmedAt atomic.Int64
}

// New creates a VM. Nothing runs until Run.
func New(conf Config) (*VM, error) {
	if conf.FS == nil {
		conf.FS = diskOf(conf.DataDir)
	}
	var disk *wire.DiskIdentity
	if conf.DataDir != "" {
		disk, _ = journal.ReadIdentity(conf.FS, conf.DataDir) // the member of the group reports a damaged one
	}
	v := &VM{conf: conf, parts: work.NewParts("entry"), quotasNeeded: make(chan struct{}), guard: relay.NewGroupGuard(vm.Monotonic)}
	v.SetSeeds(conf.Seeds)
	v.controlConns, v.bulkConns, v.gatherConns = peer.NewTrustedPool(), peer.NewTrustedPool(), peer.NewTrustedPool()
	self := vm.Identity{
		Name: conf.Name, Incarnation: vm.NewIncarnation(0), Domain: conf.Domain, Region: conf.Region,
		PeerAddr: conf.PeerAddr, CallerAddr: conf.CallerAddr,
		Millicores: conf.Millicores,
	}
	v.client = relay.NewClient(relay.Config{
		Self: self, Control: v.contacts(), Conns: v.controlConns, Clock: vm.Now, ExclusiveRuns: true, EagerStart: true,
		Interval: heartbeatInterval, Group: vm.GroupID(disk.GetGroup()),
	})
	v.prober = newProber(v)
	v.leafCache = discovery.NewLeafCache(vm.Monotonic)
	v.leafSyncer = discovery.NewSyncer(discovery.Config{
		Source: conf.Source, Conns: v.bulkConns, Clock: vm.Monotonic,
		IsReader: v.isLeader, Unresponsive: v.unresponsiveDaemons, ListNeeded: func() bool { return v.engine.Table() != nil }, ReadAtStart: conf.DataDir != "", Upstreams: v.listUpstreams, ReadJitter: v.readJitter,
		ReadInterval: time.Duration(listReadFraction * float64(conf.LeafDrainTime)),
		FallbackAge:  time.Duration(fallbackFraction * float64(conf.LeafDrainTime)),
	}, v.leafCache)
	v.quarantine = quarantine.NewRegistry(vm.Monotonic, &quarantine.RemoteLeader{Conns: v.bulkConns, ControlAddrs: v.controlContacts, Group: v.group})
	v.quotas = quota.New(quota.Config{
		Self: v.client.Self, View: v.client.Current, Organisation: v.organisation, Conns: v.gatherConns, Limits: conf.Quota,
	})
	v.engine = forward.New(forward.Config{
		Clock: vm.Monotonic, Dialect: conf.Dialect, Leaves: v.leafCache, Tracker: forward.NewLeafTracker(vm.Monotonic, conf.Domain), Log: conf.Log, DaemonCount: v.senderCount, Confirmation: v.confirmation, ConfigApplyTime: conf.ConfigApplyTime,
		Peers: newPeerDaemons(v), Quarantine: v.quarantine, RegionOf: v.regionOf, ColdShare: v.coldShare, HoldsShares: v.holdsShares,
		RevokeTime: conf.RevokeTime, Quotas: v.quotas, Millicores: conf.Millicores,
		Budgets: policy.NewBudgets(conf.Budget, vm.Monotonic, v.senderCount),
	})
	v.intake = intake.New(policy.NewIntakeLimits(conf.MemoryBytes, conf.Descriptors), conf.Log)
	v.server = forward.NewServer(&forward.Handler{Engine: v.engine, Dialect: conf.Dialect, Log: conf.Log, Draining: v.draining.Load}, v.intake)
	if conf.DataDir != "" {
		v.groupMember = v.newGroupMember()
	}
	_ = metrics.Register("entry.configuration.confirmed_ago_ms", metrics.NewFunctionalGauge(v.confirmationAge))
	return v, v.registerServices(nil)
}

// confirmationAge returns how long ago a leader confirmed the configuration in use, in
// milliseconds, or -1 if none has.
func (v *VM) confirmationAge() int64 {
	c := v.confirmation()
	if !c.Exists() {
		return -1
	}
	return c.Age(vm.Now()).Milliseconds()
}

func (v *VM) newGroupMember() *control.GroupMember {
	growth := policy.NewGroupGrowth(v.conf.MaxLostDisks, v.conf.OrderResendTime)
	return control.NewGroupMember(control.GroupMemberConfig{
		Config: control.Config{
			Name: v.conf.Name, DataDir: v.conf.DataDir, PeerAddr: v.conf.PeerAddr, Conns: v.controlConns,
			Tick: controlTick, ExclusiveRuns: true, ReserveBytes: max(v.conf.DiskBytes/diskReserveDivisor, 1), SnapshotEntries: 500,
			MaxAuditBytes: int64(v.conf.DiskBytes / auditDivisor),
			Maintenance:   control.MaintenanceConfig{MinVoters: growth.MinVoters, RemoveSilentAfter: removeVoterAfter},
			Growth:        growth,
			FS:            v.conf.FS,
		},
		FirstStart: v.conf.FirstStart, Seeds: func() []string { return *v.seeds.Load() }, Founders: v.founders, Contacts: v.contacts,
		Followed: func() vm.GroupID { return v.client.Current().Group },
		OnNodeChange: func(n *control.Node) {
			if err := v.registerServices(n); err != nil {
				klog.Errorf("entry: registering the control services failed: %v", err)
			}
			if n != nil {
				v.client.Follow(n.GroupID())
				v.client.SetSeeds(v.contacts())
			}
		},
	})
}

// registerServices replaces the services offered to other daemons. With a control node,
// the VM serves as a control VM; without one, it serves other daemons as their relay.
func (v *VM) registerServices(n *control.Node) error {
	mux := drpcmux.New()
	var err error
	if n != nil {
		err = n.Register(mux)
	} else {
		err = wire.DRPCRegisterSpread(mux, v.client.Server())
	}
	err = errors.CombineErrors(err, wire.DRPCRegisterLeaves(mux, v.leafSyncer.Server()))
	err = errors.CombineErrors(err, wire.DRPCRegisterContacts(mux, contactsServer{v}))
	err = errors.CombineErrors(err, wire.DRPCRegisterGather(mux, v.engine.GatherServer()))
	err = errors.CombineErrors(err, wire.DRPCRegisterQuota(mux, v.quotas.Server()))
	v.mux.Store(mux)
	return err
}

// HandleRPC implements drpc.Handler.
func (v *VM) HandleRPC(stream drpc.Stream, rpc string) error {
	return v.mux.Load().HandleRPC(stream, rpc)
}

// SetSeeds replaces the seeds.
func (v *VM) SetSeeds(seeds []string) {
	seeds = slices.Clone(seeds)
	v.seeds.Store(&seeds)
	if v.client != nil {
		v.client.SetSeeds(v.contacts())
	}
}

// contacts returns the addresses at which to look for the control group, best first.
func (v *VM) contacts() []string {
	var known []string
	if v.client != nil {
		known = v.client.Upstreams()
	}
	return v.mergeContacts(known)
}

// controlContacts returns the addresses to call for services that only control VMs have,
// best first. It starts with the known control VMs, not with relays, because a relay
// refuses such a call only after it has received part of the payload.
func (v *VM) controlContacts() []string { return v.mergeContacts(v.client.ControlVMs()) }

// mergeContacts returns known followed by the learned contacts and the seeds. If this VM
// is a member of the control group, its own address comes first, because its copy on disk
// holds what the group had agreed on before the VM started. If it only has a disk and may
// become a member, its own address comes last.
func (v *VM) mergeContacts(known []string) []string {
	var out []string
	if v.controlNode() != nil {
		out = append(out, v.conf.PeerAddr)
	}
	for _, s := range slices.Concat(known, v.learned.list(), *v.seeds.Load()) {
		if !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	if v.conf.DataDir != "" && !slices.Contains(out, v.conf.PeerAddr) {
		out = append(out, v.conf.PeerAddr)
	}
	return out
}

func (v *VM) controlNode() *control.Node {
	if v.groupMember == nil {
		return nil
	}
	return v.groupMember.Node()
}

// group returns the control group that this VM follows, or the zero value while none is
// known.
func (v *VM) group() vm.GroupID {
	if group := v.client.Current().Group; group != "" {
		return group
	}
	if n := v.controlNode(); n != nil {
		return n.GroupID()
	}
	return ""
}

// isLeader reports whether this VM leads the control group. The leader reads the leaf list
// for all daemons.
func (v *VM) isLeader() bool {
	n := v.controlNode()
	return n != nil && n.IsLeader()
}

// unresponsiveDaemons returns the daemons that the leader has not heard from for
// unresponsiveAfter.
func (v *VM) unresponsiveDaemons() []string {
	n := v.controlNode()
	if n == nil {
		return nil
	}
	return n.SilentMembers(unresponsiveAfter)
}

// listUpstreams returns the daemons that may have a newer leaf list.
func (v *VM) listUpstreams() []string {
	return slices.DeleteFunc(v.client.Upstreams(), func(a string) bool { return a == v.conf.PeerAddr })
}

// daemonCount returns the number of daemons in the tier, or 0 while it is unknown.
func (v *VM) daemonCount() int {
	m := v.client.Current().Membership()
	if m == nil {
		return 0
	}
	return len(m.Members)
}

// readJitter returns the period over which daemons spread their own reads of the leaf list
// while no leader reads it, so that together they stay below a third of the rate limit of
// the list.
func (v *VM) readJitter() time.Duration {
	pages := 1 + len(v.leafCache.Snapshot().All())/50
	calls := float64(max(v.daemonCount(), 1) * pages)
	return time.Duration(3 * calls / v.conf.ListPageRate * float64(time.Second))
}

// Listeners are the listeners for callers and for other daemons.
type Listeners struct {
	Callers net.Listener // nil: accepts no callers
	Peers   net.Listener
}

// Intake returns the intake of the process, which all servers for clients share.
func (v *VM) Intake() *intake.Intake { return v.intake }

// Fail stops the VM because a part of its process has failed that Run does not run.
func (v *VM) Fail(part string, err error) { v.parts.Fail(part, err) }

// Run serves until stop ends or a part of the VM fails, then shuts down gracefully within the
// grace period. It returns the error of the part. The process must then exit.
func (v *VM) Run(stop context.Context, lis Listeners) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	v.client.SetPhase(vm.Serving)
	v.startParts(ctx, lis)
	waitCtx := context.WithoutCancel(stop)
	select {
	case <-stop.Done():
	case <-v.parts.Failed():
		// No supervisor waits for this stop, so nothing else would end it.
		var cancelWait context.CancelFunc
		waitCtx, cancelWait = context.WithTimeout(waitCtx, v.shutdown().ExitAt())
		defer cancelWait()
	}
	v.parts.Stop()
	v.drain()
	cancel()
	err := v.parts.Wait(waitCtx)
	_ = v.controlConns.Close()
	_ = v.bulkConns.Close()
	_ = v.gatherConns.Close()
	return err
}

// startParts starts the parts of the VM. All but the callers' server end with ctx.
func (v *VM) startParts(ctx context.Context, lis Listeners) {
	v.parts.Go("peers", func() error { return peer.ServeTrusted(ctx, lis.Peers, v) })
	if v.groupMember != nil {
		v.parts.Go("control member", func() error { return v.groupMember.Run(ctx) })
	}
	v.parts.Go("relay client", func() error { return ignoreIfDone(ctx, v.client.Run(ctx)) })
	for name, run := range map[string]func(context.Context){
		"leaf list": v.leafSyncer.Run, "leaf links": v.engine.MaintainLinks, "configurations": v.applyConfigs,
		"contacts": v.exchangeContacts, "quarantine": v.quarantine.Run, "prober": v.prober.run, "quotas": v.runQuotas,
	} {
		v.parts.Go(name, func() error { run(ctx); return nil })
	}
	if lis.Callers != nil {
		v.parts.Go("callers", func() error { return v.server.Serve(ctx, lis.Callers) })
	}
}

// ignoreIfDone returns nil in place of err if ctx has ended.
func ignoreIfDone(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// applyConfigs applies each new configuration and acknowledges it, until ctx ends.
func (v *VM) applyConfigs(ctx context.Context) {
	var applied appliedView
	for {
		changed := v.client.Changed()
		view := v.client.Current()
		v.applyView(&applied, view)
		v.client.Ack(applied.inUse, view.Epoch())
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// appliedView is how far the views of the agreed state are in use on this VM.
type appliedView struct {
	version uint64         // configuration version of the newest view
	tree    *settings.Tree // of the newest view; nil: none yet
	inUse   uint64         // newest configuration version that is in use completely
	failed  bool           // the release of the newest view can't be decoded
}

// applyView puts a view into use. A configuration of which a part can't be used is not
// acknowledged, and this VM's confirmation does not advance with it.
func (v *VM) applyView(applied *appliedView, view *relay.View) {
	if view.Tree != nil && view.ConfigVersion > applied.version {
		v.quarantine.Update(view.ConfigVersion, view.Tree)
		v.applyEvacuations(view)
		if applied.tree == nil || !view.Tree.EqualExcept(applied.tree, settings.OperationalPaths()...) {
			applied.failed = !v.applyRelease(view)
		}
		applied.version, applied.tree = view.ConfigVersion, view.Tree
	}
	if applied.failed {
		return
	}
	applied.inUse = view.ConfigVersion
	v.confirmedAt.Store(int64(view.ConfirmedAt))
}

// applyEvacuations puts the evacuations of a view into use.
func (v *VM) applyEvacuations(view *relay.View) {
	agreed := evacuation.FromTree(view.Tree)
	if v.engine.SetEvacuations(agreed) {
		evacuated := agreed.Evacuated()
		evacuatedDomains.Update(int64(len(evacuated)))
		klog.Infof("entry: evacuated failure domains %v version=%d", evacuated, view.ConfigVersion)
	}
}

// confirmation returns when the configuration in use was confirmed.
func (v *VM) confirmation() policy.Confirmation { return policy.Confirmation(v.confirmedAt.Load()) }

// applyRelease puts the release of a view into use. It returns false if the release cannot be
// decoded; the previous one then stays in use.
func (v *VM) applyRelease(view *relay.View) bool {
	rel, err := route.FromTree(view.Tree)
	if err != nil {
		klog.Errorf("entry: configuration version=%d cannot be decoded, release=%d stays in use: %v", view.ConfigVersion, v.releaseNumber.Load(), err)
		return false
	}
	if rel == nil {
		return true
	}
	table := route.NewTable(rel)
	v.engine.Install(table, view.ConfigVersion)
	v.enableQuotas(table)
	v.releaseBytes.Store(estimateReadBytes(rel))
	v.releaseNumber.Store(rel.Number)
	klog.Infof("entry: configuration in use release=%d version=%d routes=%d services=%d confirmed=%v",
		rel.Number, view.ConfigVersion, len(rel.Routes), len(rel.Services), view.HoldsLease(vm.Now()))
	return true
}

// estimateReadBytes estimates the size of a read of a release, in bytes.
func estimateReadBytes(r *route.Release) int64 {
	n := routeBytes * (len(r.Routes) + len(r.Services) + len(r.Organisations))
	for i := range r.Routes {
		n += shardBytes * len(r.Routes[i].Shards)
	}
	for i := range r.Organisations {
		for _, key := range r.Organisations[i].Keys {
			n += len(key)
		}
	}
	return int64(n)
}
