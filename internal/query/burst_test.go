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
	level := func() float64 { return levelAt(queueWait(gates, []settings.Leaf{leaf}, deadline), deadline) }
	if got := level(); got != 1 {
		t.Errorf("%.2f of the queries are taken while a burst is served", got)
	}
	now.Add(int64(deadline))
	if got := level(); got > 0.5 {
		t.Errorf("%.2f of the queries are taken by a queue that stands", got)
	}
}
