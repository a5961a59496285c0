package admit

import (
	"context"
	"testing"
	"time"

	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

func newBenchGates(slots int) *Gates {
	g := NewGates(vm.Now)
	g.SetLeaseEnd(vm.Now().Add(time.Hour))
	g.Configure(leafA, Limits{Slots: slots, MaxQueue: 1 << 16})
	return g
}

func BenchmarkAcquireRelease(b *testing.B) {
	g := newBenchGates(1)
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	b.ReportAllocs()
	for b.Loop() {
		p, err := g.Acquire(ctx, leafA, settings.Urgent)
		if err != nil {
			b.Fatal(err)
		}
		p.Done(Answered, 0)
	}
}

// BenchmarkAcquireQueued measures a permit that many goroutines queue for on two slots.
func BenchmarkAcquireQueued(b *testing.B) {
	g := newBenchGates(2)
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	b.ReportAllocs()
	b.SetParallelism(4)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			p, err := g.Acquire(ctx, leafA, settings.Urgent)
			if err != nil {
				b.Error(err)
				return
			}
			p.Done(Answered, 0)
		}
	})
}

func BenchmarkRefusal(b *testing.B) {
	g := newBenchGates(1)
	g.Configure(leafA, Limits{Slots: 1, MaxQueue: 0})
	g.TryAcquire(leafA)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := g.Acquire(context.Background(), leafA, settings.Urgent); err == nil {
			b.Fatal("request was not refused")
		}
	}
}

func BenchmarkCheck(b *testing.B) {
	p, _ := newBenchGates(1).TryAcquire(leafA)
	b.ReportAllocs()
	for b.Loop() {
		if p.Check() != nil {
			b.Fatal("Check refused a valid permit")
		}
	}
}

func BenchmarkBudget(b *testing.B) {
	budget := NewBudget(func() float64 { return 0.03 }, 1, vm.Now)
	b.ReportAllocs()
	for b.Loop() {
		budget.Primary()
		budget.Spend()
	}
}
