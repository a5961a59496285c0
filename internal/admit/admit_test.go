package admit

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

const (
	leafA     = "10.0.0.1:80"
	ms        = time.Millisecond
	farFuture = vm.Instant(1 << 60)
)

// TestMain fixes rapid's seed so that every run draws the same cases. A seed on
// the command line takes precedence.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "20261202")
	flag.Set("rapid.checks", "1000")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// testGates is a set of gates with a fake clock and fake timers.
type testGates struct {
	*Gates
	now    vm.Instant
	timers []*fakeTimer
}

type fakeTimer struct {
	at      vm.Instant
	f       func()
	stopped bool
}

func (t *fakeTimer) Stop() bool {
	wasActive := !t.stopped
	t.stopped = true
	return wasActive
}

func newTestGates() *testGates {
	w := &testGates{now: vm.Instant(time.Hour)}
	w.Gates = newGates(func() vm.Instant { return w.now }, w.startFakeTimer)
	w.SetLeaseEnd(farFuture)
	return w
}

func (w *testGates) startFakeTimer(d time.Duration, f func()) stopper {
	t := &fakeTimer{at: w.now.Add(d), f: f}
	w.timers = append(w.timers, t)
	return t
}

// advance moves the fake clock forward by d and fires the timers that expire, in order.
func (w *testGates) advance(d time.Duration) {
	end := w.now.Add(d)
	for {
		var next *fakeTimer
		for _, t := range w.timers {
			if !t.stopped && t.at <= end && (next == nil || t.at < next.at) {
				next = t
			}
		}
		if next == nil {
			break
		}
		w.now = max(w.now, next.at)
		next.stopped = true
		next.f()
	}
	w.timers = slices.DeleteFunc(w.timers, func(t *fakeTimer) bool { return t.stopped })
	w.now = end
}

// request requests a permit for leafA with a deadline in d.
func (w *testGates) request(d time.Duration, priority settings.Priority) (*Permit, *waiter, error) {
	return w.requestAny(d, PermitRequest{Priority: priority}, leafA)
}

// requestAny returns the immediate result: a permit, a refusal, or a queued waiter.
func (w *testGates) requestAny(d time.Duration, req PermitRequest, leaves ...string) (*Permit, *waiter, error) {
	p, x, refusal := w.Gates.startOrEnqueue(w.now, w.now.Add(d), w.gatesOf(nil, leaves), req)
	if refusal != nil {
		return nil, nil, refusal
	}
	return p, x, nil
}

// outcome returns the result of the wait, and false if x is still waiting.
func (x *waiter) outcome() (grant, bool) {
	select {
	case r := <-x.result:
		return r, true
	default:
		return grant{}, false
	}
}

// learnServiceTime makes leafA's gate observe one request with service time d.
func (w *testGates) learnServiceTime(t *testing.T, d time.Duration) {
	t.Helper()
	p, ok := w.TryAcquire(leafA)
	if !ok {
		t.Fatal("no permit for learning the service time")
	}
	w.advance(d)
	p.Done(Answered, 0)
}

// requireRefusal returns err as a *contract.Error and fails the test unless its
// verdict is NotRun.
func requireRefusal(t *testing.T, err error) *contract.Error {
	t.Helper()
	var e *contract.Error
	if !errors.As(err, &e) || e.Verdict != contract.NotRun {
		t.Fatalf("got error %v, want a refusal with verdict not_run", err)
	}
	return e
}
