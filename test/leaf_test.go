package test

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pearmoor/internal/contract"
	"pearmoor/internal/standin"
)

// ranAt returns how often a shard of a service ran r, over all its leaves.
func (tr *tier) ranAt(r *contract.Request, service string, shard uint32) int {
	return tr.fleet.Runs().Count(standin.RunKey{Request: keyOf(r), Service: service, Shard: shard})
}

// checkMissing fails the test when not_run is said of something that a leaf ran:
// of one missing shard, or of the whole request.
func checkMissing(t *testing.T, tr *tier, r *contract.Request, got *reply) {
	t.Helper()
	if got.answer != nil {
		checkAnswer(t, r, got.answer)
		for _, m := range got.answer.Coverage.Missing {
			if n := tr.ranAt(r, m.Service, m.Shard); n > 0 && m.Verdict == contract.NotRun {
				t.Errorf("%s: %+v, and it ran %d times", keyOf(r), m, n)
			}
		}
	}
	if got.verdict() != contract.NotRun {
		return
	}
	for _, l := range tr.fleet.Leaves() {
		service := l.Stats(false).Services[0]
		for shard := range uint32(8) {
			if n := tr.ranAt(r, service, shard); n > 0 {
				t.Fatalf("%s: told not_run, %s ran shard %d: %v", keyOf(r), service, shard, got)
			}
		}
	}
}

// TestLeafFaults: first one replica of each service and then all leaves misbehave, in
// each way that leaves do. Callers see no hit of another request or version, none
// lost silently, and coverage and verdicts that agree with what the leaves counted.
// One bad replica of two that runs nothing of its own accord costs no coverage for
// long; when the fault ends, coverage is full again.
func TestLeafFaults(t *testing.T) {
	t.Parallel()
	tr := startTier(t, shape{controls: 1, entries: 2})
	zero := 0
	faults := []struct {
		name string
		set  func(b *standin.Behavior)
	}{
		{"slow", func(b *standin.Behavior) { b.Latency = standin.Duration(600 * time.Millisecond) }},
		{"hung", func(b *standin.Behavior) { b.HangShare = 1 }},
		{"resetting before it runs", func(b *standin.Behavior) { b.EarlyResetShare = 1 }},
		{"resetting after it ran", func(b *standin.Behavior) { b.ResetShare = 1 }},
		{"refusing with 503", func(b *standin.Behavior) { b.RefuseShare = 1 }},
		{"refusing with 429", func(b *standin.Behavior) { b.RefuseShare, b.RefuseStatus = 1, http.StatusTooManyRequests }},
		{"answering late", func(b *standin.Behavior) { b.LateShare, b.LateBy = 1, standin.Duration(100*time.Millisecond) }},
		{"answering for another request", func(b *standin.Behavior) { b.CrossShare = 1 }},
		{"answering another version", func(b *standin.Behavior) { b.WrongVersionShare = 1 }},
		{"lying about its load", func(b *standin.Behavior) { b.ReportInFlight, b.StatusHang = &zero, true }},
	}
	for _, f := range faults {
		healthy := make(map[*standin.Leaf]standin.Behavior)
		for _, suffix := range []string{"-a", "-b", "-c"} {
			for _, l := range tr.fleet.Leaves() {
				if strings.HasSuffix(l.Name(), suffix) {
					healthy[l] = l.Behavior()
					tr.behaveLeaf(l, f.set)
				}
			}
			tr.probeFault(f.name + " on " + suffix)
		}
		for l, b := range healthy {
			if err := l.SetBehavior(b); err != nil {
				t.Fatal(err)
			}
		}
		tr.awaitWhole()
	}
	tr.checkSlots()
}

// probeFault sends some requests of each kind at once through every entry.
func (tr *tier) probeFault(what string) {
	tr.t.Helper()
	const each = 2
	var all sync.WaitGroup
	for _, p := range tr.entries {
		for range each {
			charge := tr.charge(p)
			for _, r := range []*contract.Request{tr.query(desk), tr.query(ledger), charge} {
				all.Go(func() {
					got := tr.send(p, r)
					if got.err != nil {
						tr.t.Errorf("%s: %v", what, got)
					}
					checkMissing(tr.t, tr, r, got)
				})
			}
		}
	}
	all.Wait()
	if n := tr.fleet.Runs().Stats().Doubled; n > 0 {
		tr.t.Errorf("%s: %d charges ran twice", what, n)
	}
}

// TestOverload: callers send about twice what the leaves take. Each refusal says
// not_run and when to come back, and no leaf has run anything of a refused request;
// leaves never have more in flight than their slots; answers stay true.
func TestOverload(t *testing.T) {
	t.Parallel()
	const run, requests, gap = 20 * time.Millisecond, 400, 8 * time.Millisecond
	tr := startTier(t, shape{controls: 1, entries: 3})
	tr.slow("", run)
	type sent struct {
		request *contract.Request
		reply   *reply
	}
	results := make([]sent, requests)
	var all sync.WaitGroup
	for i := range requests {
		r := tr.query(desk)
		all.Go(func() { results[i] = sent{r, tr.send(tr.entries[i%len(tr.entries)], r)} })
		time.Sleep(gap)
	}
	all.Wait()
	var refusals []time.Duration
	answered := 0
	for _, s := range results {
		checkMissing(t, tr, s.request, s.reply)
		switch {
		case s.reply.answer != nil:
			answered++
		case s.reply.verdict() == contract.NotRun:
			refusals = append(refusals, s.reply.took)
			if s.reply.failure.RetryAfterMS <= 0 {
				t.Errorf("a refusal without a time to come back: %v", s.reply)
			}
		default:
			t.Logf("in doubt: %v", s.reply)
		}
	}
	if answered == 0 || len(refusals) == 0 {
		t.Errorf("%d answered, %d refused: this was no overload", answered, len(refusals))
	}
	slices.Sort(refusals)
	if n := len(refusals); n > 0 {
		t.Logf("%d answered, %d refused, after %v at the median and %v at most", answered, n, refusals[n/2], refusals[n-1])
	}
	tr.checkSlots()
}
