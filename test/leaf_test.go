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

// runCount returns how often a shard of a service ran r, summed over all leaves.
func (tr *tier) runCount(r *contract.Request, service string, shard uint32) int {
	return tr.fleet.Runs().Count(standin.RunKey{Request: runKeyOf(r), Service: service, Shard: shard})
}

// checkNotRunVerdicts fails the test if the reply says not_run of a missing shard, or
// of the whole request, that a leaf has run.
func checkNotRunVerdicts(t *testing.T, tr *tier, r *contract.Request, got *reply) {
	t.Helper()
	if got.answer != nil {
		checkAnswer(t, r, got.answer)
		for _, m := range got.answer.Coverage.Missing {
			if n := tr.runCount(r, m.Service, m.Shard); n > 0 && m.Verdict == contract.NotRun {
				t.Errorf("%s: reported %+v, but the shard ran it %d times", runKeyOf(r), m, n)
			}
		}
	}
	if got.verdict() != contract.NotRun {
		return
	}
	for _, l := range tr.fleet.Leaves() {
		service := l.Stats(false).Services[0]
		for shard := range uint32(8) {
			if n := tr.runCount(r, service, shard); n > 0 {
				t.Fatalf("%s: reported not_run, but %s ran it on shard %d: %v", runKeyOf(r), service, shard, got)
			}
		}
	}
}

// TestLeafFaults guards against wrong answers while leaves are faulty. For each fault,
// first one leaf of each service and finally all leaves misbehave. Answers must contain
// no hits of another request or index version and lose none silently, and coverage and
// verdicts must agree with the runs that the leaves counted. Coverage must be full
// again after the fault ends.
func TestLeafFaults(t *testing.T) {
	t.Parallel()
	tr := startTier(t, tierConfig{controls: 1, entries: 2})
	zero := 0
	faults := []struct {
		name string
		set  func(b *standin.Behavior)
	}{
		{"slow", func(b *standin.Behavior) { b.Latency = standin.Duration(600 * time.Millisecond) }},
		{"hung", func(b *standin.Behavior) { b.HangShare = 1 }},
		{"reset before running", func(b *standin.Behavior) { b.EarlyResetShare = 1 }},
		{"reset after running", func(b *standin.Behavior) { b.ResetShare = 1 }},
		{"refusal with 503", func(b *standin.Behavior) { b.RefuseShare = 1 }},
		{"refusal with 429", func(b *standin.Behavior) { b.RefuseShare, b.RefuseStatus = 1, http.StatusTooManyRequests }},
		{"late answers", func(b *standin.Behavior) { b.LateShare, b.LateBy = 1, standin.Duration(100*time.Millisecond) }},
		{"answers of another request", func(b *standin.Behavior) { b.CrossShare = 1 }},
		{"answers of another version", func(b *standin.Behavior) { b.WrongVersionShare = 1 }},
		{"wrong load reports", func(b *standin.Behavior) { b.ReportInFlight, b.StatusHang = &zero, true }},
	}
	for _, f := range faults {
		healthy := make(map[*standin.Leaf]standin.Behavior)
		for _, suffix := range []string{"-a", "-b", "-c"} {
			for _, l := range tr.fleet.Leaves() {
				if strings.HasSuffix(l.Name(), suffix) {
					healthy[l] = l.Behavior()
					tr.updateLeafBehavior(l, f.set)
				}
			}
			tr.sendDuringFault(f.name + " on " + suffix)
		}
		for l, b := range healthy {
			if err := l.SetBehavior(b); err != nil {
				t.Fatal(err)
			}
		}
		tr.awaitFullCoverage()
	}
	tr.checkLeafLimits()
}

// sendDuringFault sends requests of each kind concurrently through every entry VM.
func (tr *tier) sendDuringFault(fault string) {
	tr.t.Helper()
	const each = 2
	var requests sync.WaitGroup
	for _, p := range tr.entries {
		for range each {
			charge := tr.newCharge(p)
			for _, r := range []*contract.Request{tr.newQuery(deskPath), tr.newQuery(ledgerPath), charge} {
				requests.Go(func() {
					got := tr.send(p, r)
					if got.err != nil {
						tr.t.Errorf("%s: %v", fault, got)
					}
					checkNotRunVerdicts(tr.t, tr, r, got)
				})
			}
		}
	}
	requests.Wait()
	if n := tr.fleet.Runs().Stats().Doubled; n > 0 {
		tr.t.Errorf("%s: %d charges ran more than once", fault, n)
	}
}

// TestOverload guards against work done for refused requests, and against overloaded
// leaves, while callers send about twice the capacity of the leaves. Each refusal must
// carry not_run and a retry time, no leaf may have run a refused request or have more
// requests in flight than slots, and answers must stay correct.
func TestOverload(t *testing.T) {
	t.Parallel()
	const run, requests, gap = 20 * time.Millisecond, 400, 8 * time.Millisecond
	tr := startTier(t, tierConfig{controls: 1, entries: 3})
	tr.setLatency("", run)
	type sent struct {
		request *contract.Request
		reply   *reply
	}
	results := make([]sent, requests)
	var wg sync.WaitGroup
	for i := range requests {
		r := tr.newQuery(deskPath)
		wg.Go(func() { results[i] = sent{r, tr.send(tr.entries[i%len(tr.entries)], r)} })
		time.Sleep(gap)
	}
	wg.Wait()
	var refusals []time.Duration
	answered := 0
	for _, s := range results {
		checkNotRunVerdicts(t, tr, s.request, s.reply)
		switch {
		case s.reply.answer != nil:
			answered++
		case s.reply.verdict() == contract.NotRun:
			refusals = append(refusals, s.reply.took)
			if s.reply.failure.RetryAfterMS <= 0 {
				t.Errorf("refusal without a retry time: %v", s.reply)
			}
		default:
			t.Logf("outcome unknown: %v", s.reply)
		}
	}
	if answered == 0 || len(refusals) == 0 {
		t.Errorf("%d answered, %d refused: the load did not overload the leaves", answered, len(refusals))
	}
	slices.Sort(refusals)
	if n := len(refusals); n > 0 {
		t.Logf("%d answered, %d refused; time to refusal: median %v, maximum %v", answered, n, refusals[n/2], refusals[n-1])
	}
	tr.checkLeafLimits()
}
