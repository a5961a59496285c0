package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"pearmoor/internal/control/state"
	"pearmoor/internal/journal"
	"pearmoor/internal/quorum"
	"pearmoor/internal/quorum/quorumpb"
)

const (
	fullRetry  = 500 * time.Millisecond // how often a full disk is tried again
	flushEvery = 5 * time.Second        // of the audit trail
)

var (
	saveTimer    = metrics.GetOrRegisterTimer("control.journal.save", metrics.DefaultRegistry)
	logGauge     = metrics.GetOrRegisterGauge("control.journal.log_bytes", metrics.DefaultRegistry)
	freeGauge    = metrics.GetOrRegisterGauge("control.journal.free_bytes", metrics.DefaultRegistry)
	versionGauge = metrics.GetOrRegisterGauge("control.config.version", metrics.DefaultRegistry)
	inForceGauge = metrics.GetOrRegisterGauge("control.config.in_force", metrics.DefaultRegistry)
)

// process carries out one Ready in the order that package quorum asks for.
func (d *driver) process(ctx context.Context) error {
	rd := d.machine.Ready()
	d.node.links.send(rd.Early)
	if err := d.save(ctx, &rd); err != nil {
		return err
	}
	d.node.links.send(rd.Messages)
	if rd.Snapshot != nil {
		if err := d.restore(rd.Snapshot); err != nil {
			return err
		}
	}
	if err := d.apply(rd.Committed); err != nil {
		return err
	}
	d.machine.Advance()
	return nil
}

// save makes the Ready durable. A full disk stops this VM's part in the group
// until there is room: it sends nothing, so the others elect another leader, and
// new proposals are refused. Any other failure ends the process.
func (d *driver) save(ctx context.Context, rd *quorum.Ready) error {
	start := time.Now()
	err := d.journal.Save(rd.Snapshot, rd.HardState, rd.Entries, rd.MustSync)
	d.saveTook += time.Since(start)
	if rd.MustSync {
		saveTimer.UpdateSince(start)
	}
	if !errors.Is(err, journal.ErrFull) {
		return err
	}
	klog.Errorf("control: %v; this control VM takes no part until there is room", err)
	d.node.full.Store(true)
	defer d.node.full.Store(false)
	d.failWaiting(errFullUnknown)
	for errors.Is(err, journal.ErrFull) {
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "control: stopped while waiting")
		case <-time.After(fullRetry):
		}
		err = d.journal.Save(rd.Snapshot, rd.HardState, rd.Entries, rd.MustSync)
	}
	if err == nil {
		klog.Infof("control: the disk has room again")
	}
	return err
}

// restore replaces the state by a snapshot from the leader.
func (d *driver) restore(snap *quorum.Snapshot) error {
	st, err := state.Decode(snap.Data)
	if err != nil {
		return err
	}
	d.applied, d.appliedTerm, d.snapshot = snap.Index, snap.Term, snap.Index
	for index, w := range d.waiting {
		if index <= snap.Index {
			delete(d.waiting, index)
			w.finish(outcome{err: errUnknown})
		}
	}
	n := d.node
	n.mu.Lock()
	defer n.mu.Unlock()
	before := n.state.Version()
	n.state = st
	n.recordInForce()
	n.publishState(before)
	klog.Infof("control: restored a snapshot at entry %d, version %d", snap.Index, st.Version())
	return nil
}

// apply applies committed entries and answers those who proposed them here.
func (d *driver) apply(entries []*quorum.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	began := d.clock()
	defer func() { d.applyTook += d.clock().Sub(began) }()
	n := d.node
	n.mu.Lock()
	defer n.mu.Unlock()
	before, moved := n.state.Version(), false
	var finished []func()
	for _, e := range entries {
		var res state.Result
		if e.Kind == quorumpb.EntryKind_COMMAND {
			var err error
			if res, err = n.state.Apply(e.Data); err != nil {
				return errors.Wrapf(err, "control: entry %d", e.Index)
			}
		}
		moved = moved || res.Moved
		if res.InForce != 0 {
			n.recordInForce()
		}
		d.applied, d.appliedTerm = e.Index, e.Term
		if w, ok := d.waiting[e.Index]; ok {
			delete(d.waiting, e.Index)
			finished = append(finished, func() { w.settle(e.Term, res) })
		}
	}
	if moved {
		n.publishState(before)
		n.wakeDuties()
	}
	for _, f := range finished {
		f()
	}
	return nil
}

// compact replaces the beginning of the log by a snapshot once it has grown, and
// writes the audit trail now and then. The trail goes first: the records of
// entries that are compacted away are nowhere else. On a full disk both wait.
func (d *driver) compact() error {
	now := d.clock()
	due := d.applied-d.snapshot >= d.node.cfg.SnapshotEntries
	if !due && now.Sub(d.flushed) < flushEvery {
		return nil
	}
	d.flushed = now
	d.measure()
	err := d.node.trail.Flush()
	if err == nil && due {
		err = d.saveSnapshot()
	}
	if errors.Is(err, journal.ErrFull) {
		klog.Warningf("control: no snapshot written: %v", err)
		return nil
	}
	return err
}

func (d *driver) measure() {
	logGauge.Update(d.journal.Size())
	if free, err := d.journal.Free(); err == nil {
		freeGauge.Update(int64(free))
	}
}

func (d *driver) saveSnapshot() error {
	data, err := d.node.state.Encode()
	if err != nil {
		return err
	}
	keep := d.node.cfg.SnapshotEntries / 2 // for members that are a little behind
	snap, err := d.machine.Compact(d.applied, data, keep)
	if err != nil {
		return err
	}
	if err := d.journal.SaveSnapshot(snap); err != nil {
		return err
	}
	d.snapshot = snap.Index
	if snap.Index <= keep {
		return nil
	}
	return d.journal.DropBelow(snap.Index - keep)
}
