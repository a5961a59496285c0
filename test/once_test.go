package test

import (
	"testing"
	"time"

	"pearmoor/internal/contract"
	"pearmoor/internal/standin"
)

// checkRunsAtMostOnce returns the total number of runs of r, and fails the test for each
// shard that ran it more than once.
func checkRunsAtMostOnce(t *testing.T, tr *tier, r *contract.Request) (ran int) {
	t.Helper()
	for shard, n := range tr.runsPerShard(r) {
		ran += n
		if n > 1 {
			t.Errorf("shard %d ran %s %d times", shard, r.Key, n)
		}
	}
	return ran
}

// checkNotRunVerdict fails the test if the reply says not_run although a leaf ran the
// request.
func checkNotRunVerdict(t *testing.T, r *contract.Request, got *reply, ran int) {
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
func TestSessionOwnerKilledDuringRequest(t *testing.T) {
	t.Parallel()
	tr := startTier(t, tierConfig{controls: 1, entries: 3})
	tr.setLatency(ledgerPath, 400*time.Millisecond)
	owner, other := tr.entries[0], tr.entries[1]
	r := tr.newCharge(owner)
	first := tr.sendAsync(owner, r)
	await(t, "the leaves to run the charge", func() bool { return checkRunsAtMostOnce(t, tr, r) > 0 })
	owner.kill()
	lost := <-first
	checkNotRunVerdict(t, r, lost, 1)

	resend := func(to *process, when string) {
		got := tr.send(to, r)
		ran := checkRunsAtMostOnce(t, tr, r)
		checkNotRunVerdict(t, r, got, ran)
		if got.failure == nil || got.failure.Reason != contract.ReasonKeyInDoubt {
			t.Errorf("resent %s: want key_in_doubt, got %v", when, got)
		}
	}
	resend(other, "immediately")
	await(t, "the killed daemon to be removed from the membership", func() bool {
		s, ok := other.status()
		return ok && s.PendingEpoch == 0 && s.SettledEpoch > 0 && !tr.listsVM(other, owner.name)
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
	tr := startTier(t, tierConfig{controls: 1, entries: 3})
	tr.setLatency(ledgerPath, 300*time.Millisecond)
	owner := tr.entries[0]
	r := tr.newCharge(owner)
	first := tr.sendAsync(owner, r)
	await(t, "the leaves to run the charge", func() bool { return checkRunsAtMostOnce(t, tr, r) > 0 })
	for _, p := range tr.entries {
		early := tr.send(p, r)
		checkNotRunVerdict(t, r, early, 1)
	}
	got := <-first
	if !fullCoverage(got.answer) {
		t.Fatalf("the charge was not answered: %v", got)
	}
	for _, p := range tr.entries {
		again := tr.send(p, r)
		if again.answer == nil || again.answer.RequestID != got.answer.RequestID {
			t.Errorf("resent through %s: want the first outcome, got %v", p.name, again)
		}
	}
	if ran := checkRunsAtMostOnce(t, tr, r); ran != len(tr.runsPerShard(r)) {
		t.Errorf("the charge ran %d times over %d shards", ran, len(tr.runsPerShard(r)))
	}
}

// TestLeafResetsAfterRunning guards against retries and not_run verdicts for a charge
// whose leaves run it and reset the connection before replying. Neither a daemon nor the
// caller's resend may run the charge again.
func TestLeafResetsAfterRunning(t *testing.T) {
	t.Parallel()
	tr := startTier(t, tierConfig{controls: 1, entries: 2})
	tr.updateBehavior(ledgerPath, func(b *standin.Behavior) { b.ResetShare = 1 })
	for _, p := range tr.entries {
		r := tr.newCharge(p)
		for _, to := range []*process{p, tr.entries[0], tr.entries[1]} {
			got := tr.send(to, r)
			ran := checkRunsAtMostOnce(t, tr, r)
			if ran == 0 {
				t.Fatalf("want a run of the charge by some leaf; got none: %v", got)
			}
			checkNotRunVerdict(t, r, got, ran)
			if fullCoverage(got.answer) {
				t.Errorf("full answer although the leaves sent no reply: %v", got)
			}
		}
	}
}

// TestHomeKilledDuringRequest guards against a retry at the other home. The session owner
// is not a home of the ledger, so it forwards the charge to a home, which is killed while
// leaves run it. The verdict must not be not_run, and neither the owner nor a resend may
// run the charge again.
func TestHomeKilledDuringRequest(t *testing.T) {
	t.Parallel()
	tr := startTier(t, tierConfig{controls: 1, entries: 4})
	tr.setLatency(ledgerPath, 400*time.Millisecond)
	homes, others := tr.homesOf(ledgerPath)
	if len(others) == 0 || len(homes) == 0 {
		t.Fatalf("%d homes and %d others", len(homes), len(others))
	}
	owner := others[0]
	r := tr.newCharge(owner)
	first := tr.sendAsync(owner, r)
	await(t, "the leaves to run the charge", func() bool { return checkRunsAtMostOnce(t, tr, r) > 0 })
	serving := homes[0]
	for _, h := range homes {
		if s, ok := h.status(); ok && s.InFlight > 0 {
			serving = h
		}
	}
	serving.kill()
	got := <-first
	checkNotRunVerdict(t, r, got, checkRunsAtMostOnce(t, tr, r))
	for range 2 {
		again := tr.send(owner, r)
		checkNotRunVerdict(t, r, again, checkRunsAtMostOnce(t, tr, r))
	}
}
