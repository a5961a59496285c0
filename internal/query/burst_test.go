package query

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"pearmoor/internal/admit"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

// After a stall of a daemon, queries arrive in a burst. They can all be served within their
// deadline and must not be refused as overload; a queue that persists for a deadline must
// lower the admission level.
func TestShortBurstIsNotShed(t *testing.T) {
	const waiting, service, deadline = 30, 20 * time.Millisecond, 800 * time.Millisecond
	var now atomic.Int64
	now.Store(int64(time.Hour))
	gates := admit.NewGates(func() vm.Instant { return vm.Instant(now.Load()) })
	gates.SetLeaseEnd(vm.Instant(2 * time.Hour))
	leaf := settings.Leaf{Addr: "leaf"}
	gates.Configure(leaf.Addr, admit.Limits{Slots: 1, MaxQueue: 2 * waiting})
	p, ok := gates.TryAcquire(leaf.Addr)
	if !ok {
		t.Fatal("no permit for the only slot")
	}
	now.Add(int64(service))
	p.Done(admit.Answered, 0)
	if p, ok = gates.TryAcquire(leaf.Addr); !ok {
		t.Fatal("no permit for the only slot")
	}
	defer p.Done(admit.Answered, 0)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for range waiting {
		go func() {
			if p, err := gates.Acquire(ctx, leaf.Addr, settings.Ordinary); err == nil {
				p.Done(admit.Answered, 0)
			}
		}()
	}
	for end := time.Now().Add(10 * time.Second); gates.Load(leaf.Addr).Waiting < waiting; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d requests wait in the queue after 10 s", gates.Load(leaf.Addr).Waiting)
		}
	}
	level := func() float64 {
		return levelForWait(queueLoadOf(gates, []settings.Leaf{leaf}).expectedWait(deadline), deadline)
	}
	if got := level(); got != 1 {
		t.Errorf("admission level is %.2f while a burst is served, want 1", got)
	}
	now.Add(int64(deadline))
	if got := level(); got > 0.5 {
		t.Errorf("admission level is %.2f, want at most 0.5 set by a queue that persists", got)
	}
}

// A home reports a low admission level and then serves its queue. The entry must not refuse
// queries because of the old level once a default deadline has passed.
func TestReportedLevelExpires(t *testing.T) {
	const deadline = 800 * time.Millisecond
	r := &groupRoute{hints: make(map[string]loadHint)}
	homes := []vm.Member{{Identity: vm.Identity{Name: "a"}}}
	r.recordReply("a", &partialAnswer{admitLevel: 0.5}, vm.Instant(time.Hour))
	if got := r.meanLevel(homes, vm.Instant(time.Hour), deadline); got != 0.5 {
		t.Errorf("level is %.2f when it was just reported, want 0.5", got)
	}
	if got := r.meanLevel(homes, vm.Instant(time.Hour).Add(deadline), deadline); got != 1 {
		t.Errorf("level is %.2f a default deadline after the report, want 1", got)
	}
}
