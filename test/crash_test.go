package test

import (
	"testing"
	"time"

	"pearmoor/internal/load"
)

// steadyLoad returns a load of about a third of the capacity of the desk's leaves.
func steadyLoad() load.Config {
	return load.Config{Paths: []string{deskPath, ledgerPath}, Rate: 60, Deadline: 900 * time.Millisecond}
}

// checkLoadResult fails the test if there were wrong answers, or at-most-once requests
// that ran more than once.
func checkLoadResult(t *testing.T, tr *tier, r *load.Result) {
	t.Helper()
	if r.Check.HasErrors() || r.BrokenAnswers > 0 {
		t.Errorf("wrong answers: %+v; %d unreadable", r.Check, r.BrokenAnswers)
	}
	if n := tr.fleet.Runs().Stats().Doubled; n > 0 {
		t.Errorf("%d at-most-once requests ran more than once", n)
	}
	if r.NonRepeatable.Changed > 0 {
		t.Errorf("%d requests were reported first as run and later as not run", r.NonRepeatable.Changed)
	}
	if r.Answered == 0 {
		t.Error("no request was answered")
	}
}

// awaitRemoved waits until no other entry VM lists the daemon and its shares have been
// handed over.
func (tr *tier) awaitRemoved(removed *process) {
	tr.t.Helper()
	for _, p := range tr.entries {
		if p == removed || p.cmd == nil {
			continue
		}
		await(tr.t, p.name+" to learn that "+removed.name+" was removed", func() bool {
			s, ok := p.status()
			return ok && s.PendingEpoch == 0 && !tr.listsVM(p, removed.name)
		})
	}
}

// TestHomeKilledUnderLoad guards against overloaded leaves and wrong answers when a home
// is killed under load. Its share may be handed over only after its lease has expired, so
// that no leaf ever has more requests in flight than slots, even while leaves still run
// requests of the lost home. Some requests get no reply, and missing shards must be
// reported. Coverage must be full again after the handover.
func TestHomeKilledUnderLoad(t *testing.T) {
	t.Parallel()
	tr := startTier(t, tierConfig{controls: 1, entries: 4})
	tr.setLatency("", 20*time.Millisecond)
	running := tr.startLoad(steadyLoad())
	homes, _ := tr.homesOf(deskPath + "/search-1")
	homes[0].kill()
	tr.awaitRemoved(homes[0])
	tr.awaitFullCoverage()
	homes[0].start()
	tr.awaitReady(homes[0])
	tr.awaitFullCoverage()
	checkLoadResult(t, tr, running.stop(t))
	tr.checkLeafLimits()
}

// TestHomePausedBeyondLease guards against a home that sends on a share it has lost. The
// home is paused for longer than its lease and its share is handed over; when it resumes,
// its queues hold requests and its timers all fire at once. It must check the lease right
// before each write, on a clock that includes the pause, so that no leaf ever has more
// requests in flight than slots. It must rejoin without intervention.
func TestHomePausedBeyondLease(t *testing.T) {
	t.Parallel()
	tr := startTier(t, tierConfig{controls: 1, entries: 4})
	tr.setLatency("", 20*time.Millisecond)
	running := tr.startLoad(steadyLoad())
	homes, _ := tr.homesOf(deskPath + "/search-1")
	for range 2 {
		homes[0].pause()
		tr.awaitRemoved(homes[0])
		homes[0].resume()
		tr.awaitReady(homes[0])
		tr.awaitFullCoverage()
	}
	checkLoadResult(t, tr, running.stop(t))
	tr.checkLeafLimits()
}

// TestRollingRestart guards against failed or duplicate requests during an upgrade. All
// entry VMs are restarted one after the other while callers cache their address lists. A
// draining daemon must be removed from the lists first, hand over its shares, serve until
// the last list that contains it has expired, and exit without cutting off requests.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	tr := startTier(t, tierConfig{controls: 1, entries: 4})
	cfg := steadyLoad()
	cfg.NonRepeatableShare, cfg.ResendShare = 0, 0
	queries := tr.startLoad(cfg)
	chargeConfig := cfg
	chargeConfig.Paths, chargeConfig.Rate, chargeConfig.NonRepeatableShare, chargeConfig.ResendShare = []string{ledgerPath}, 20, 1, 0.5
	charges := tr.startLoad(chargeConfig)
	for _, p := range tr.entries {
		p.stop()
		p.start()
		tr.awaitReady(p)
	}
	for _, run := range []*loadRun{queries, charges} {
		r := run.stop(t)
		checkLoadResult(t, tr, r)
		if bad := r.Refused + r.InDoubt + r.Failed; bad > 0 {
			t.Errorf("%d requests not answered: %d refused, %d with unknown outcome, %d without a reply; reasons %v, last error %q",
				bad, r.Refused, r.InDoubt, r.Failed, r.Reasons, r.LastError)
		}
		if r.Whole != r.Answered {
			t.Errorf("%d of %d answers without full coverage: %v", r.Answered-r.Whole, r.Answered, r.Missing)
		}
	}
	tr.checkLeafLimits()
}
