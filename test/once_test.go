package test

import (
	"testing"
	"time"

	"pearmoor/internal/contract"
	"pearmoor/internal/standin"
)

// checkOnce returns the sum of runs and fails the test for each shard run twice.
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

// checkVerdict fails the test when a caller was told not_run of a request that
// some leaf ran.
func checkVerdict(t *testing.T, r *contract.Request, got *reply, ran int) {
	t.Helper()
	if ran > 0 && got.verdict() == contract.NotRun {
		t.Errorf("the caller of %s was told not_run, the leaves ran it %d times: %v", r.Key, ran, got)
	}
}

// TestOwnerKilledWhileItRuns: a fee is charged through the daemon that issued the
// session; the daemon is killed while the leaves run it. The caller sees its
// connection break and sends the same key and session to another daemon, at once,
// after the lease of the lost one, and after it was restarted at the same address.
// It is told key_in_doubt each time, never not_run, and nothing runs again: only
// the run of the daemon that issued the session may say that a key is new.
func TestOwnerKilledWhileItRuns(t *testing.T) {
	t.Parallel()
	tr := startTier(t, shape{controls: 1, entries: 3})
	tr.slow(ledger, 400*time.Millisecond)
	owner, other := tr.entries[0], tr.entries[1]
	r := tr.charge(owner)
	first := tr.sendAsync(owner, r)
	await(t, "the leaves run the charge", func() bool { return checkOnce(t, tr, r) > 0 })
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
	resend(other, "at once")
	await(t, "the lost daemon leaves the membership", func() bool {
		s, ok := other.status()
		return ok && s.PendingEpoch == 0 && s.SettledEpoch > 0 && !tr.listed(other, owner.name)
	})
	resend(other, "after the lease")
	owner.start()
	tr.awaitReady(owner)
	resend(owner, "to the restarted owner")
	resend(other, "past the restarted owner")
}

// TestReplyLost: a fee is charged and runs, and the reply never reaches the
// caller, who sends the same key and session again, to the same daemon and to
// others. Each resend gets the first outcome, in progress while it runs, and no
// leaf runs anything again: the owner remembers the key, the others pass it on.
func TestReplyLost(t *testing.T) {
	t.Parallel()
	tr := startTier(t, shape{controls: 1, entries: 3})
	tr.slow(ledger, 300*time.Millisecond)
	owner := tr.entries[0]
	r := tr.charge(owner)
	first := tr.sendAsync(owner, r)
	await(t, "the leaves run the charge", func() bool { return checkOnce(t, tr, r) > 0 })
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

// TestLeafResetsAfterRunning: every leaf runs the charge and resets the connection
// before its reply. The caller is told may_have_run, never not_run, a resend is
// not run either, and nothing in between sends the request again by itself.
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
				t.Fatalf("no leaf ran the charge: %v", got)
			}
			checkVerdict(t, r, got, ran)
			if whole(got.answer) {
				t.Errorf("answered in full by leaves that sent no reply: %v", got)
			}
		}
	}
}

// TestHomeKilledWhileItRuns: the owner of the session is no home of the ledger, so
// the charge runs through another daemon, which is killed meanwhile. The caller is
// told may_have_run; neither the owner nor a resend tries the other home.
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
	await(t, "the leaves run the charge", func() bool { return checkOnce(t, tr, r) > 0 })
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
