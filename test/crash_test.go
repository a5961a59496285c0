package test

import (
	"testing"
	"time"

	"pearmoor/internal/load"
)

// steady is a load of about a third of what the desk's leaves take.
func steady() load.Config {
	return load.Config{Paths: []string{desk, ledger}, Rate: 60, Deadline: 900 * time.Millisecond}
}

// checkTrue fails the test for each wrong answer, and for each request that may
// run at most once and ran twice.
func checkTrue(t *testing.T, tr *tier, r *load.Result) {
	t.Helper()
	if r.Check.Bad() || r.Errors > 0 {
		t.Errorf("wrong answers: %+v, %d that can't be read", r.Check, r.Errors)
	}
	if n := tr.fleet.Runs().Stats().Doubled; n > 0 {
		t.Errorf("%d doubled runs of requests that run at most once", n)
	}
	if r.Once.Changed > 0 {
		t.Errorf("%d requests were first said to have run, then not to", r.Once.Changed)
	}
	if r.Answered == 0 {
		t.Error("no request was answered")
	}
}

// awaitLeft waits until the tier no longer lists a daemon, its shares handed on.
func (tr *tier) awaitLeft(gone *process) {
	tr.t.Helper()
	for _, p := range tr.entries {
		if p == gone || p.cmd == nil {
			continue
		}
		await(tr.t, p.name+" learns that "+gone.name+" has left", func() bool {
			s, ok := p.status()
			return ok && s.PendingEpoch == 0 && !tr.listed(p, gone.name)
		})
	}
}

// TestHomeKilledUnderLoad: a home is lost without a word under steady load. Callers
// see some requests without a reply, and missing shards said truly; the other home
// serves on with its own share. The lost home's share moves on only when its lease
// has run out, so no leaf ever has more in flight than its slots, also while the
// leaves still run what the lost home had sent; then coverage is full again.
func TestHomeKilledUnderLoad(t *testing.T) {
	t.Parallel()
	tr := startTier(t, shape{controls: 1, entries: 4})
	tr.slow("", 20*time.Millisecond)
	load := tr.startTraffic(steady())
	homes, _ := tr.homesOf(desk + "/search-1")
	homes[0].kill()
	tr.awaitLeft(homes[0])
	tr.awaitWhole()
	homes[0].start()
	tr.awaitReady(homes[0])
	tr.awaitWhole()
	checkTrue(t, tr, load.stop(t))
	tr.checkSlots()
}

// TestHomePausedPastItsLease: a home stops for longer than its lease and goes on,
// with requests in its queues and timers that all fire at once. Its share was
// handed on meanwhile. The lease is checked on a clock that counts the pause, right
// before each write, so it sends nothing on the share that it lost: no leaf ever has
// more in flight than its slots. It joins again by itself.
func TestHomePausedPastItsLease(t *testing.T) {
	t.Parallel()
	tr := startTier(t, shape{controls: 1, entries: 4})
	tr.slow("", 20*time.Millisecond)
	load := tr.startTraffic(steady())
	homes, _ := tr.homesOf(desk + "/search-1")
	for range 2 {
		homes[0].pause()
		tr.awaitLeft(homes[0])
		homes[0].resume()
		tr.awaitReady(homes[0])
		tr.awaitWhole()
	}
	checkTrue(t, tr, load.stop(t))
	tr.checkSlots()
}

// TestRollingRestart: all daemons are restarted one after the other, as an upgrade
// does, with callers that keep their address lists. No caller sees a failed request,
// none is run twice: a leaving daemon is out of the lists first, hands on its shares,
// serves until the last list that names it has run out, and ends with nothing cut off.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	tr := startTier(t, shape{controls: 1, entries: 4})
	cfg := steady()
	cfg.NotRepeatable, cfg.Resend = 0, 0
	load := tr.startTraffic(cfg)
	once := cfg
	once.Paths, once.Rate, once.NotRepeatable, once.Resend = []string{ledger}, 20, 1, 0.5
	charges := tr.startTraffic(once)
	for _, p := range tr.entries {
		p.stop()
		p.start()
		tr.awaitReady(p)
	}
	for _, tf := range []*traffic{load, charges} {
		r := tf.stop(t)
		checkTrue(t, tr, r)
		if bad := r.Refused + r.InDoubt + r.Failed; bad > 0 {
			t.Errorf("%d requests were not answered: %d refused, %d in doubt, %d without a reply; reasons %v, last error %q",
				bad, r.Refused, r.InDoubt, r.Failed, r.Reasons, r.LastError)
		}
		if r.Whole != r.Answered {
			t.Errorf("%d of %d answers were not whole: %v", r.Answered-r.Whole, r.Answered, r.Missing)
		}
	}
	tr.checkSlots()
}
