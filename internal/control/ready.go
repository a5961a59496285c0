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
	fullRetry  = 500 * time.Millisecond // interval between attempts to write to a full disk
	flushEvery = 5 * time.Second        // interval between flushes of the audit trail
)

var (
	saveTimer    = metrics.GetOrRegisterTimer("control.journal.save", metrics.DefaultRegistry)
	logGauge     = metrics.GetOrRegisterGauge("control.journal.log_bytes", metrics.DefaultRegistry)
	freeGauge    = metrics.GetOrRegisterGauge("control.journal.free_bytes", metrics.DefaultRegistry)
	versionGauge = metrics.GetOrRegisterGauge("control.config.version", metrics.DefaultRegistry)
	inForceGauge = metrics.GetOrRegisterGauge("control.config.in_force", metrics.DefaultRegistry)
)

// processReady processes one Ready of the machine in the order that package quorum requires.
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

// save writes the Ready to the journal. If the disk is full, it retries until there is
// free space. Meanwhile this VM sends no messages, so the other members elect another
// leader if it was the leader, and new proposals are rejected. Any other error ends the
// process.
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
			return errors.Wrap(err, "control: stopped while waiting for free disk space")
		case <-time.After(fullRetry):
		}
		err = d.journal.Save(rd.Snapshot, rd.HardState, rd.Entries, rd.MustSync)
	}
	if err == nil {
		klog.Infof("control: the disk has free space again")
	}
	return err
}

// restore replaces the state with a snapshot from the leader.
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

// apply applies committed entries to the state and completes the waiters of those that
// were proposed on this VM.
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

// compact flushes the audit trail every trailFlushInterval and compacts the log into a
// snapshot after SnapshotEntries entries. The trail is flushed before the snapshot,
// because the records of compacted entries exist nowhere else. If the disk is full, both
// are retried later.
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
		klog.Warningf("control: audit trail or snapshot not written: %v", err)
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
	keep := d.node.cfg.SnapshotEntries / 2 // entries kept for members that lag slightly behind
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
