package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/quarantine"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

const (
	// quarantineOperator is the operator name of these changes in the audit trail.
	quarantineOperator = "pearmoor"
	// maxCrashReports is the maximum number of reports that one call handles.
	maxCrashReports = 1_000
	// maxCrashReportAttempts is how often a change is attempted when operators change the
	// tree at the same time.
	maxCrashReportAttempts = 16
)

// crashReportQueue collects the reports of several daemons, to make one change of them.
type crashReportQueue struct {
	coordinator *quarantine.Coordinator
	changeSem   chan struct{} // semaphore that is held while a change is made

	mu     sync.Mutex
	queued []crashReport
}

type crashReport struct {
	*quarantine.Report
	done chan error // buffered for all reports of the call
}

func newCrashReportQueue(clock vm.Clock) *crashReportQueue {
	return &crashReportQueue{coordinator: quarantine.NewCoordinator(clock), changeSem: make(chan struct{}, 1)}
}

func (q *crashReportQueue) add(r crashReport) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queued = append(q.queued, r)
}

func (q *crashReportQueue) drain() []crashReport {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := q.queued
	q.queued = nil
	return out
}

// quarantineServer serves daemons that report requests which may crash leaves.
type quarantineServer struct{ *operatorServer }

var errBadFingerprint = peer.Permanent(errors.New("control: a fingerprint is 16 bytes"))

// Report implements wire.DRPCQuarantineServer. It returns after the change that results
// from the reports has been accepted. A resent report counts for the same attempt.
func (s quarantineServer) Report(ctx context.Context, req *wire.CrashReports) (*wire.CrashReportsReply, error) {
	if err := s.checkGroup(req.Group, "reports of crashes", "a daemon"); err != nil {
		return nil, err
	}
	redirect, err := s.leaderRedirect()
	if err != nil || redirect != "" {
		return &wire.CrashReportsReply{Redirect: redirect}, err
	}
	done := make(chan error, len(req.Reports))
	for _, in := range req.Reports[:min(len(req.Reports), maxCrashReports)] {
		r := &quarantine.Report{
			LeafExits: int(min(in.LeafEnds, settings.MaxLeaves)), Answered: in.Survived,
			Age: time.Duration(in.BeganMs) * time.Millisecond,
		}
		if err := r.SetRequest(in.Fingerprints, in.Requests); err != nil {
			return nil, peer.Permanent(err)
		}
		s.crashReports.add(crashReport{done: done, Report: r})
	}
	select {
	case s.crashReports.changeSem <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	s.applyQueuedReports(ctx)
	<-s.crashReports.changeSem
	for range min(len(req.Reports), maxCrashReports) {
		if e := <-done; e != nil {
			err = e
		}
	}
	if err != nil {
		if redirected, rerr := s.redirectIfNotProposed(err); rerr == nil && redirected.Redirect != "" {
			return &wire.CrashReportsReply{Redirect: redirected.Redirect}, nil
		}
	}
	return &wire.CrashReportsReply{}, err
}

// applyQueuedReports makes one change of all queued reports and reports its result to each
// of the calls that wait.
func (s quarantineServer) applyQueuedReports(ctx context.Context) {
	queued := s.crashReports.drain()
	if len(queued) == 0 {
		return
	}
	reports := make([]*quarantine.Report, len(queued))
	for i, w := range queued {
		reports[i] = w.Report
	}
	err := s.applyReports(ctx, reports)
	for _, w := range queued {
		w.done <- err
	}
}

func (s quarantineServer) applyReports(ctx context.Context, reports []*quarantine.Report) error {
	for range maxCrashReportAttempts {
		tree, version, err := s.treeAt(0)
		if err != nil {
			return err
		}
		merge := s.crashReports.coordinator.Apply(quarantine.CasesFromTree(tree), reports, time.Now())
		if len(merge.Changes) == 0 {
			return nil
		}
		reply, err := s.changeAs(ctx, &wire.ChangeRequest{
			ChangeId:    fmt.Sprintf("quarantine-%d-%x", version, rand.Uint64()),
			BaseVersion: version,
			Edits:       settings.EditsToWire(quarantine.Edits(merge.Changes)),
			Reason:      fmt.Sprintf("%d attempts of requests that may crash leaves", len(reports)),
		}, quarantineOperator, true)
		switch {
		case err != nil:
			s.crashReports.coordinator.Commit(merge)
			return err
		case reply.Outcome == wire.Outcome_ACCEPTED:
			s.crashReports.coordinator.Commit(merge)
			logQuarantineChanges(merge.Changes)
			return nil
		case reply.Outcome == wire.Outcome_INVALID:
			return peer.Permanent(errors.Newf("control: change of the quarantine is invalid: %v", reply.Faults))
		}
	}
	return peer.Retryable(errors.Newf("control: reports of crashes lost %d races with other changes; send them again", maxCrashReportAttempts))
}

func logQuarantineChanges(changes []quarantine.Change) {
	for _, c := range changes {
		switch {
		case c.Cleared:
			klog.Infof("quarantine: request=%s cleared, a leaf answered it, leaf_ends=%d", c.Fingerprint, c.Before.LeafExits)
		case c.Evicted:
			klog.Warningf("quarantine: request=%s dropped to make room, blocked=%v seen=%v", c.Fingerprint, c.Before.Blocked, c.Before.LastReport)
		case c.After.Blocked && !c.Before.Blocked:
			klog.Warningf("quarantine: request=%s blocked leaf_ends=%d crashes=%d attempts=%d what=%q", c.Fingerprint, c.After.LeafExits, c.After.CrashedAttempts, c.After.UnansweredAttempts, c.After.Description)
		default:
			klog.Infof("quarantine: request=%s suspected leaf_ends=%d crashes=%d attempts=%d what=%q", c.Fingerprint, c.After.LeafExits, c.After.CrashedAttempts, c.After.UnansweredAttempts, c.After.Description)
		}
	}
}

// Trial implements wire.DRPCQuarantineServer. It grants or releases the right to run a
// quarantined request once, to find out whether it still crashes leaves.
func (s quarantineServer) Trial(_ context.Context, req *wire.TrialRequest) (*wire.TrialReply, error) {
	if err := s.checkGroup(req.Group, "a trial of a request", "a daemon"); err != nil {
		return nil, err
	}
	redirect, err := s.leaderRedirect()
	if err != nil || redirect != "" {
		return &wire.TrialReply{Redirect: redirect}, err
	}
	f, ok := quarantine.FingerprintFromBytes(req.Fingerprint)
	if !ok {
		return nil, errBadFingerprint
	}
	if req.Release {
		s.crashReports.coordinator.Release(f)
		return &wire.TrialReply{}, nil
	}
	if err := s.confirmLeadership(); err != nil {
		return nil, err
	}
	tree, _, err := s.treeAt(0)
	if err != nil {
		return nil, err
	}
	return &wire.TrialReply{Grant: uint32(s.crashReports.coordinator.Try(quarantine.CasesFromTree(tree), f))}, nil
}
