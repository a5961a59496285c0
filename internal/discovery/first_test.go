package discovery

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"

	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/standin"
	"pearmoor/internal/vm"
)

// A daemon starts behind a narrow link in a tier with so many leaves that their list
// takes seconds to transfer. A time-out that ignores the list's size would end every
// attempt to fetch it.
func TestFirstListOfManyLeavesArrives(t *testing.T) {
	const manyLeaves, rate, timeout = 23_000, 500_000, 12 * time.Second // leaves, bytes per second
	var list []ListedLeaf
	for n := range manyLeaves {
		list = append(list, ListedLeaf{ID: fmt.Sprintf("i-%010d", n), Service: fmt.Sprintf("service-%d", n/3), Addr: fmt.Sprintf("10.%d.%d.9:8569", n>>8, n&255), Domain: "lalitpur-hall", Slots: 2})
	}
	reader := NewLeafCache(vm.Monotonic)
	reader.ApplyReading(list, vm.Monotonic())
	mux := drpcmux.New()
	if err := wire.DRPCRegisterLeaves(mux, NewSyncer(Config{ReadInterval: time.Hour}, reader).Server()); err != nil {
		t.Fatal(err)
	}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan struct{})
	go func() { defer close(served); _ = peer.ServeTrusted(ctx, lis, mux) }()
	var upstreams []string
	for range 3 {
		link, err := standin.NewThrottledLink(lis.Addr().String(), rate, time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		defer link.Close()
		upstreams = append(upstreams, link.Addr())
	}
	pool := peer.NewTrustedPool()
	cache := NewLeafCache(vm.Monotonic)
	f := NewSyncer(Config{
		Conns: pool, ReadInterval: time.Hour, FallbackAge: time.Hour, IsReader: func() bool { return false }, Unresponsive: func() []string { return nil },
		ListNeeded: func() bool { return false }, Upstreams: func() []string { return upstreams }, ReadJitter: func() time.Duration { return 0 },
	}, cache)
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	began := time.Now()
	for !cache.HasList() && time.Since(began) < timeout {
		time.Sleep(10 * time.Millisecond)
	}
	if n := len(cache.Snapshot().All()); n != manyLeaves {
		t.Errorf("%d of %d leaves received after %v", n, manyLeaves, time.Since(began))
	}
	t.Logf("list received after %v", time.Since(began))
	cancel()
	_ = pool.Close()
	<-done
	<-served
}
