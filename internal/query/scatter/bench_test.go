package scatter

import (
	"context"
	"strconv"
	"testing"
	"time"

	"pearmoor/internal/admit"
	"pearmoor/internal/contract"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

// noopSender answers at once.
type noopSender struct{}

func (noopSender) Send(_ context.Context, _ settings.Leaf, req *contract.LeafRequest, permit *admit.Permit) (*contract.LeafReply, error) {
	permit.Done(admit.Answered, 0)
	return &contract.LeafReply{ID: req.ID, Attempt: req.Attempt, Service: req.Service, Shard: req.Shard, IndexVersion: req.IndexVersion}, nil
}

// BenchmarkShardAttempt measures the cost of one attempt at a shard without the exchange
// with the leaf: that of a query of 40 shards, divided by 40.
func BenchmarkShardAttempt(b *testing.B) {
	const shards = 40
	gates := admit.NewGates(vm.Now)
	var leaves []settings.Leaf
	for i := range 80 {
		leaves = append(leaves, settings.Leaf{Name: "l" + strconv.Itoa(i), Addr: strconv.Itoa(i)})
		gates.Configure(strconv.Itoa(i), admit.Limits{Slots: 2, MaxQueue: 64})
	}
	gates.SetLeaseEnd(vm.Now().Add(time.Hour))
	budget := func() Budget { return admit.NewBudget(func() float64 { return 0.02 }, 1, vm.Now) }
	g := NewGroup(gates, noopSender{}, vm.Now, budget(), budget())
	job := &Job{ID: "q", Service: "/s", Version: 1, Repeatable: true, HedgeShare: 0.02}
	for i := range shards {
		job.Replicas = append(job.Replicas, leaves[2*i:2*i+2])
	}
	b.ReportAllocs()
	for b.Loop() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		if n := g.Run(ctx, job).Answered(); n != shards {
			b.Fatal(n)
		}
		cancel()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/shards, "ns/attempt")
}
