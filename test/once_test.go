package test

import (
	"testing"
	"time"

	"pearmoor/internal/contract"
	"pearmoor/internal/standin"
)

// checkRunsAtMostOnce returns the total number of runs of r, and fails the test for each
// shard that ran it more than once.
func checkOnce(t *testing.T, tr *tier, r *contract.Request) (ran int) {
	t.Helper()
	for shard, n := range tr.runsOf(r) {
		ran += n
		if n > 1 {
			t.Errorf("shard %d ran %s %d times", shard, r.Key, n)
		}
	}
	return ran
}

// checkNotRunVerdict fails the test if the reply says not_run although a leaf ran the
// request.
func checkVerdict(t *testing.T, r *contract.Request, got *reply, ran int) {
	t.Helper()
	if ran > 0 && got.verdict() == contract.NotRun {
		t.Errorf("%s: reported not_run, but leaves ran it %d times: %v", r.Key, ran, got)
	}
}

// TestSessionOwnerKilledDuringRequest guards against a second run of an at-most-once
// request. The daemon that issued the session is killed while leaves run the request, and
// the caller resends the same key and session to another daemon: immediately, after the
// lease of the killed daemon, and after its restart at the same address. Each resend must
// return key_in_doubt and run nothing, since only the process that issued the session can
// know that a key is new.
func TestOwnerKilledWhileItRuns(t *testing.T) {
	t.Parallel()
	tr := startTier(t, shape{controls: 1, entries: 3})
	tr.slow(ledger, 400*time.Millisecond)
	owner, other := tr.entries[0], tr.entries[1]
	r := tr.charge(owner)
	first := tr.sendAsync(owner, r)
	await(t, "the leaves to run the charge", func() bool { return checkOnce(t, tr, r) > 0 })
	owner.kill()
	lost := <-first
	checkVerdict(t, r, lost, 1)

	resend := func(to *process, when string) {
		got := tr.send(to, r)
		ran := checkOnce(t, tr, r)
		checkVerdict(t, r, got, ran)
		if got.failure == nil || got.failure.Reason != contract.ReasonKeyInDoubt {
			t.Errorf("resent %s: want key_in_doubt, got %v", when, got)
		}
	}
	resend(other, "immediately")
	await(t, "the killed daemon to be removed from the membership", func() bool {
		s, ok := other.status()
		return ok && s.PendingEpoch == 0 && s.SettledEpoch > 0 && !tr.listed(other, owner.name)
	})
	resend(other, "after lease expiry")
	owner.start()
	tr.awaitReady(owner)
	resend(owner, "to the restarted owner")
	resend(other, "to another daemon after the owner's restart")
}

// TestReplyLost guards against a second run of an at-most-once request when its reply is
// lost and the caller resends the key and session to the same and to other daemons. The
// session owner remembers the key and the others forward to it, so each resend must
// return the first outcome, and no leaf may run the request again.
func TestReplyLost(t *testing.T) {
	t.Parallel()
	tr := startTier(t, shape{controls: 1, entries: 3})
	tr.slow(ledger, 300*time.Millisecond)
	owner := tr.entries[0]
	r := tr.charge(owner)
	first := tr.sendAsync(owner, r)
	await(t, "the leaves to run the charge", func() bool { return checkOnce(t, tr, r) > 0 })
	for _, p := range tr.entries {
		early := tr.send(p, r)
		checkVerdict(t, r, early, 1)
	}
	got := <-first
	if !whole(got.answer) {
		t.Fatalf("the charge was not answered: %v", got)
	}
	for _, p := range tr.entries {
		again := tr.send(p, r)
		if again.answer == nil || again.answer.RequestID != got.answer.RequestID {
			t.Errorf("resent through %s: want the first outcome, got %v", p.name, again)
		}
	}
	if ran := checkOnce(t, tr, r); ran != len(tr.runsOf(r)) {
		t.Errorf("the charge ran %d times over %d shards", ran, len(tr.runsOf(r)))
	}
}

// TestLeafResetsAfterRunning guards against retries and not_run verdicts for a charge
// whose leaves run it and reset the connection before replying. Neither a daemon nor the
// caller's resend may run the charge again.
func TestLeafResetsAfterRunning(t *testing.T) {
	t.Parallel()
	tr := startTier(t, shape{controls: 1, entries: 2})
	tr.behave(ledger, func(b *standin.Behavior) { b.ResetShare = 1 })
	for _, p := range tr.entries {
		r := tr.charge(p)
		for _, to := range []*process{p, tr.entries[0], tr.entries[1]} {
			got := tr.send(to, r)
			ran := checkOnce(t, tr, r)
			if ran == 0 {
				t.Fatalf("want a run of the charge by some leaf; got none: %v", got)
			}
			checkVerdict(t, r, got, ran)
			if whole(got.answer) {
				t.Errorf("full answer although the leaves sent no reply: %v", got)
			}
		}
	}
}

// TestHomeKilledDuringRequest guards against a retry at the other home. The session owner
// is not a home of the ledger, so it forwards the charge to a home, which is killed while
// leaves run it. The verdict must not be not_run, and neither the owner nor a resend may
// run the charge again.
func TestHomeKilledWhileItRuns(t *testing.T) {
	t.Parallel()
	tr := startTier(t, shape{controls: 1, entries: 4})
	tr.slow(ledger, 400*time.Millisecond)
	homes, others := tr.homesOf(ledger)
	if len(others) == 0 || len(homes) == 0 {
		t.Fatalf("%d homes and %d others", len(homes), len(others))
	}
	owner := others[0]
	r := tr.charge(owner)
	first := tr.sendAsync(owner, r)
	await(t, "the leaves to run the charge", func() bool { return checkOnce(t, tr, r) > 0 })
	serving := homes[0]
	for _, h := range homes {
		if s, ok := h.status(); ok && s.InFlight > 0 {
			serving = h
		}
	}
	serving.kill()
	got := <-first
	checkVerdict(t, r, got, checkOnce(t, tr, r))
	for range 2 {
		again := tr.send(owner, r)
		checkVerdict(t, r, again, checkOnce(t, tr, r))
	}
}
