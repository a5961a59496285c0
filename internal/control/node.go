package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
	"storj.io/drpc"

	"pearmoor/internal/audit"
	"pearmoor/internal/control/presence"
	"pearmoor/internal/control/state"
	"pearmoor/internal/journal"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/quorum"
	"pearmoor/internal/relay"
	"pearmoor/internal/vm"
)

// Node is the running instance of a control VM.
type Node struct {
	cfg    Config
	diskID uint64

	driver         *driver
	transport      *transport
	trail          *audit.Trail
	daemons        *presence.Table
	history        *relay.History
	expander       relay.HeartbeatExpander
	leaderLoopWake chan struct{} // wakes the leader loop before its next interval

	mu    sync.RWMutex // guards state
	state *state.State

	leadership atomic.Pointer[leadership]
	leaseTerms atomic.Pointer[presence.LeaseRequirements]
	diskFull   atomic.Bool
	// releaseSem is a semaphore that is held while a release is merged into the tree.
	releaseSem   chan struct{}
	crashReports *crashReportQueue
	groupGuard   *relay.GroupGuard
	lastAheadLog atomic.Int64  // vm.Instant of the last log line about a daemon that is ahead of this group
	stopped      chan struct{} // closed when Run ends
}

// Open reads the data folder and returns a control VM that is ready to run. It sends no
// message before Run.
func Open(cfg Config) (*Node, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	j, stored, err := journal.Open(cfg.DataDir, journal.Options{FS: cfg.FS})
	if err != nil {
		return nil, err
	}
	n, err := open(cfg, j, stored)
	if err != nil {
		_ = j.Close()
		return nil, err
	}
	return n, nil
}

func open(cfg Config, j *journal.Journal, stored *journal.StoredState) (*Node, error) {
	if err := initDataDir(&cfg, j, stored); err != nil {
		return nil, err
	}
	machineConfig := quorum.DefaultConfig(cfg.ID, rand.Uint64())
	machineConfig.Group, machineConfig.NewGroup = stored.Identity.Group, vm.NewGroupID().Wire()
	machine, err := quorum.New(machineConfig, quorum.StoredState{
		HardState: stored.HardState, Snapshot: stored.Snapshot, Entries: stored.Entries,
	})
	if err != nil {
		return nil, err
	}
	st, err := state.Decode(stored.Snapshot.GetData())
	if err != nil {
		return nil, err
	}
	trail, err := audit.Open(cfg.DataDir, cfg.FS, cfg.MaxAuditBytes)
	if err != nil {
		return nil, err
	}
	n := &Node{
		cfg: cfg, diskID: stored.Identity.Disk,
		trail: trail, daemons: presence.New(cfg.ExclusiveRuns), history: relay.NewHistory(),
		leaderLoopWake: make(chan struct{}, 1), state: st, stopped: make(chan struct{}),
		releaseSem:   make(chan struct{}, 1),
		crashReports: newCrashReportQueue(cfg.Clock),
		groupGuard:   relay.NewGroupGuard(cfg.Clock),
	}
	n.leadership.Store(&leadership{status: machine.Status()})
	n.leaseTerms.Store(&presence.LeaseRequirements{Lease: st.Tree().Tier().DaemonLease})
	n.transport = newTransport(&n.cfg, n.GroupID)
	n.driver = newDriver(n, machine, j, stored)
	n.appendInForceRecords()
	n.publishState(0)
	return n, nil
}

// initDataDir writes an identity and the initial state to an empty data folder, which
// includes the bootstrap snapshot if cfg.Bootstrap is set. It returns an error for a
// folder that belongs to another VM.
func initDataDir(cfg *Config, j *journal.Journal, st *journal.StoredState) error {
	unnumbered := st.Identity.GetId() == 0 && len(st.Identity.GetGroup()) == 0
	if st.Identity == nil || cfg.Bootstrap && unnumbered {
		st.Identity = &wire.DiskIdentity{
			Disk: rand.Uint64() | 1, Id: cfg.ID, Name: cfg.Name,
			FirstSeeds: st.Identity.GetFirstSeeds(), Invited: cfg.Invited,
		}
		if err := j.WriteIdentity(st.Identity); err != nil {
			return err
		}
	}
	if st.Identity.Id != cfg.ID {
		return errors.Newf("control: data folder %s is control VM %d's, this one is %d; use its own folder", cfg.DataDir, st.Identity.Id, cfg.ID)
	}
	if st.HardState != nil {
		return nil
	}
	if group := vm.GroupID(st.Identity.Group); cfg.Bootstrap && group != "" {
		return errors.Newf("control: data folder %s belongs to group %s and can't found another; start without --bootstrap to join, or on an empty folder", cfg.DataDir, group)
	}
	if cfg.Bootstrap {
		var err error
		if st.Snapshot, err = cfg.bootstrapSnapshot(); err != nil {
			return err
		}
	}
	st.HardState = &quorum.HardState{Disk: st.Identity.Disk}
	return j.Save(st.Snapshot, st.HardState, nil, true)
}

// Run runs the control VM until ctx is done, then transfers leadership and closes the
// data folder. After an error the process must exit: the contents of the disk are
// unknown, or the log can't be applied.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.stopped)
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	wg.Go(func() { n.transport.run(runCtx) })
	wg.Go(func() { n.runLeaderLoop(runCtx) })
	wg.Go(func() { n.runBackfill(runCtx) })
	wg.Go(func() { n.runMaintenance(runCtx) })
	err := tolerateFull(n.driver.run(ctx))
	cancel()
	wg.Wait()
	err = errors.CombineErrors(err, tolerateFull(n.trail.Close()))
	err = errors.CombineErrors(err, tolerateFull(n.driver.journal.Close()))
	if err != nil {
		klog.Errorf("control: stopped: %v", err)
	}
	return err
}

// tolerateFull returns nil in place of journal.ErrFull. What a stopping VM had no room for was
// not acknowledged, or is in the log and written by the next run.
func tolerateFull(err error) error {
	if !errors.Is(err, journal.ErrFull) {
		return err
	}
	klog.Warningf("control: stopped on a full disk: %v", err)
	return nil
}

// Register registers the control VM's RPC services with mux.
func (n *Node) Register(mux drpc.Mux) error {
	if err := wire.DRPCRegisterControl(mux, &operatorServer{n}); err != nil {
		return err
	}
	if err := wire.DRPCRegisterSpread(mux, &spreadServer{n}); err != nil {
		return err
	}
	if err := wire.DRPCRegisterQuarantine(mux, quarantineServer{&operatorServer{n}}); err != nil {
		return err
	}
	return wire.DRPCRegisterQuorum(mux, &quorumServer{n})
}

// publishState makes the current state available to Sync calls and to other waiting
// calls. oldVersion is the version that was published last.
func (n *Node) publishState(oldVersion uint64) {
	st := n.state
	versionGauge.Update(int64(st.Version()))
	inForceGauge.Update(int64(st.InForce()))
	n.history.Update(relay.State{
		ConfigVersion: st.Version(), ConfigDigest: st.Tree().Digest(), Tree: st.Tree(),
		InForce: st.InForce(), Settled: st.Settled(), Pending: st.Pending(),
	}, st.Deltas(oldVersion))
}

// appendInForceRecords appends the records of changes that are in force everywhere to
// the audit trail, starting after the last record in it. The trail is ordered by
// version, so nothing is appended while older records are missing; see fillTrailGap.
func (n *Node) appendInForceRecords() {
	if _, _, gap := n.trailGapLocked(); gap {
		return
	}
	st := n.state
	for v := max(n.trail.Last()+1, st.FirstRecord()); v <= st.InForce(); v++ {
		if r := st.Record(v); r != nil {
			n.trail.Append(r)
		}
	}
}

func (n *Node) wakeLeaderLoop() {
	select {
	case n.leaderLoopWake <- struct{}{}:
	default:
	}
}
