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

// Guards against queries refused as overload that a daemon could serve in time after a stall, when they come at once.
func TestBurstIsNotOverload(t *testing.T) {
	const waiting, service, deadline = 30, 20 * time.Millisecond, 800 * time.Millisecond
	var now atomic.Int64
	now.Store(int64(time.Hour))
	gates := admit.NewGates(func() vm.Instant { return vm.Instant(now.Load()) })
	gates.Fence(vm.Instant(2 * time.Hour))
	leaf := settings.Leaf{Addr: "leaf"}
	gates.Configure(leaf.Addr, admit.Limits{Slots: 1, Queue: 2 * waiting})
	p, ok := gates.TryAcquire(leaf.Addr)
	if !ok {
		t.Fatal("no permit")
	}
	now.Add(int64(service))
	p.Done(admit.Answered, 0)
	if p, ok = gates.TryAcquire(leaf.Addr); !ok {
		t.Fatal("no permit")
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
			t.Fatalf("%d wait", gates.Load(leaf.Addr).Waiting)
		}
	}
	level := func() float64 { return levelAt(queueOf(gates, []settings.Leaf{leaf}).wait(deadline), deadline) }
	if got := level(); got != 1 {
		t.Errorf("%.2f of the queries are taken while a burst is served", got)
	}
	now.Add(int64(deadline))
	if got := level(); got > 0.5 {
		t.Errorf("%.2f of the queries are taken by a queue that stands", got)
	}
}

// Guards against queries refused for seconds by what a home told of a queue that it has served since.
func TestLevelHeardLastsNoLongerThanItsQueue(t *testing.T) {
	const deadline = 800 * time.Millisecond
	r := &route{hints: make(map[string]hint)}
	homes := []vm.Member{{Identity: vm.Identity{Name: "a"}}}
	r.learn("a", &part{level: 0.5}, vm.Instant(time.Hour))
	if got := r.meanLevel(homes, vm.Instant(time.Hour), deadline); got != 0.5 {
		t.Errorf("level %.2f when it is told", got)
	}
	if got := r.meanLevel(homes, vm.Instant(time.Hour).Add(deadline), deadline); got != 1 {
		t.Errorf("level %.2f a default deadline later", got)
	}
}
