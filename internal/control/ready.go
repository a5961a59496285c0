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
	diskFullRetryInterval = 500 * time.Millisecond // interval between attempts to write to a full disk
	trailFlushInterval    = 5 * time.Second        // interval between flushes of the audit trail
)

var (
	journalSaveTimer = metrics.GetOrRegisterTimer("control.journal.save", metrics.DefaultRegistry)
	logBytesGauge    = metrics.GetOrRegisterGauge("control.journal.log_bytes", metrics.DefaultRegistry)
	freeBytesGauge   = metrics.GetOrRegisterGauge("control.journal.free_bytes", metrics.DefaultRegistry)
	versionGauge     = metrics.GetOrRegisterGauge("control.config.version", metrics.DefaultRegistry)
	inForceGauge     = metrics.GetOrRegisterGauge("control.config.in_force", metrics.DefaultRegistry)
)

// processReady processes one Ready of the machine in the order that package quorum requires.
func (d *driver) processReady(ctx context.Context) error {
	ready := d.machine.Ready()
	d.node.transport.send(ready.EarlyMessages)
	if err := d.save(ctx, &ready); err != nil {
		return err
	}
	d.node.transport.send(ready.Messages)
	if ready.Snapshot != nil {
		if err := d.restore(ready.Snapshot); err != nil {
			return err
		}
	}
	if err := d.apply(ready.Committed); err != nil {
		return err
	}
	d.machine.Advance()
	return nil
}

// save writes the Ready to the journal. If the disk is full, it retries until there is
// free space. Meanwhile this VM sends no messages, so the other members elect another
// leader if it was the leader, and new proposals are rejected. Any other error ends the
// process.
func (d *driver) save(ctx context.Context, ready *quorum.Ready) error {
	start := time.Now()
	err := d.journal.Save(ready.Snapshot, ready.HardState, ready.Entries, ready.MustSync)
	d.saveTime += time.Since(start)
	if ready.MustSync {
		journalSaveTimer.UpdateSince(start)
	}
	if !errors.Is(err, journal.ErrFull) {
		return err
	}
	klog.Errorf("control: %v; this control VM takes no part until there is room", err)
	d.node.diskFull.Store(true)
	defer d.node.diskFull.Store(false)
	d.failWaiters(errDiskFullOutcomeUnknown)
	for errors.Is(err, journal.ErrFull) {
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "control: stopped while waiting for free disk space")
		case <-time.After(diskFullRetryInterval):
		}
		err = d.journal.Save(ready.Snapshot, ready.HardState, ready.Entries, ready.MustSync)
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
	d.appliedIndex, d.appliedTerm, d.snapshotIndex = snap.Index, snap.Term, snap.Index
	for index, w := range d.waiters {
		if index <= snap.Index {
			delete(d.waiters, index)
			w.finish(proposalResult{err: errOutcomeUnknown})
		}
	}
	n := d.node
	n.mu.Lock()
	defer n.mu.Unlock()
	oldVersion := n.state.Version()
	n.state = st
	n.appendInForceRecords()
	n.publishState(oldVersion)
	klog.Infof("control: restored a snapshot at entry %d, version %d", snap.Index, st.Version())
	return nil
}

// apply applies committed entries to the state and completes the waiters of those that
// were proposed on this VM.
func (d *driver) apply(entries []*quorum.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	start := d.clock()
	defer func() { d.applyTime += d.clock().Sub(start) }()
	n := d.node
	n.mu.Lock()
	defer n.mu.Unlock()
	oldVersion, stateChanged := n.state.Version(), false
	var completions []func()
	for _, e := range entries {
		var res state.Result
		if e.Kind == quorumpb.EntryKind_COMMAND {
			var err error
			if res, err = n.state.Apply(e.Data); err != nil {
				return errors.Wrapf(err, "control: entry %d", e.Index)
			}
		}
		stateChanged = stateChanged || res.Changed
		if res.InForce != 0 {
			n.appendInForceRecords()
		}
		d.appliedIndex, d.appliedTerm = e.Index, e.Term
		if w, ok := d.waiters[e.Index]; ok {
			delete(d.waiters, e.Index)
			completions = append(completions, func() { w.complete(e.Term, res) })
		}
	}
	if stateChanged {
		n.publishState(oldVersion)
		n.wakeLeaderLoop()
	}
	for _, complete := range completions {
		complete()
	}
	return nil
}

// compact flushes the audit trail every trailFlushInterval and compacts the log into a
// snapshot after SnapshotEntries entries. The trail is flushed before the snapshot,
// because the records of compacted entries exist nowhere else. If the disk is full, both
// are retried later.
func (d *driver) compact() error {
	now := d.clock()
	snapshotDue := d.appliedIndex-d.snapshotIndex >= d.node.cfg.SnapshotEntries
	if !snapshotDue && now.Sub(d.lastFlush) < trailFlushInterval {
		return nil
	}
	d.lastFlush = now
	d.updateDiskMetrics()
	err := d.node.trail.Flush()
	if err == nil && snapshotDue {
		err = d.saveSnapshot()
	}
	if errors.Is(err, journal.ErrFull) {
		klog.Warningf("control: audit trail or snapshot not written: %v", err)
		return nil
	}
	return err
}

func (d *driver) updateDiskMetrics() {
	logBytesGauge.Update(d.journal.Size())
	if free, err := d.journal.Free(); err == nil {
		freeBytesGauge.Update(int64(free))
	}
}

func (d *driver) saveSnapshot() error {
	data, err := d.node.state.Encode()
	if err != nil {
		return err
	}
	snap, err := d.machine.Snapshot(d.appliedIndex, data)
	if err != nil {
		return err
	}
	if err := d.journal.SaveSnapshot(snap); err != nil {
		return err
	}
	keep := d.node.cfg.SnapshotEntries / 2 // entries kept for members that lag slightly behind
	d.machine.Compact(snap, keep)
	d.snapshotIndex = snap.Index
	if snap.Index <= keep {
		return nil
	}
	return d.journal.RemoveLogsBelow(snap.Index - keep)
}
