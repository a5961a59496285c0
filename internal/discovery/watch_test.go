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
	"pearmoor/internal/vm"
)

// While the preferred upstream is unreachable, the list must still arrive in time: only
// one call may be lost to it.
func TestLostUpstreamDelaysOneCall(t *testing.T) {
	const readInterval, testDuration, staleAfter, maxStaleTime = 100 * time.Millisecond, 8 * time.Second, time.Second, time.Second
	reader := NewLeafCache(vm.Monotonic)
	mux := drpcmux.New()
	if err := wire.DRPCRegisterLeaves(mux, NewSyncer(Config{ReadInterval: time.Hour}, reader).Server()); err != nil {
		t.Fatal(err)
	}
	lost, good := listen(t), listen(t)
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan struct{})
	go func() { defer close(served); _ = peer.ServeTrusted(ctx, good, mux) }()
	pool := peer.NewTrustedPool()
	cache := NewLeafCache(vm.Monotonic)
	f := NewSyncer(Config{
		Conns: pool, ReadInterval: time.Hour, FallbackAge: time.Hour, IsReader: func() bool { return false }, Unresponsive: func() []string { return nil },
		ListNeeded: func() bool { return false }, ReadJitter: func() time.Duration { return 0 },
		Upstreams: func() []string { return []string{lost.Addr().String(), good.Addr().String()} },
	}, cache)
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	staleTime := time.Duration(0)
	for n := 0; n < int(testDuration/readInterval); n++ {
		reader.ApplyReading([]ListedLeaf{{ID: fmt.Sprint(n), Service: "s", Addr: "127.0.0.1:1", Slots: 2}}, vm.Monotonic())
		time.Sleep(readInterval)
		if known := newestLeafNumber(cache); n-known >= int(staleAfter/readInterval) {
			staleTime += readInterval
		}
	}
	if staleTime > maxStaleTime {
		t.Errorf("list was more than %v behind for %v of %v", staleAfter, staleTime, testDuration)
	}
	cancel()
	_ = pool.Close()
	<-done
	<-served
}

// newestLeafNumber returns the number of the only cached leaf, -1 if there is none.
func newestLeafNumber(cache *LeafCache) int {
	n := -1
	for _, l := range cache.Snapshot().All() {
		_, _ = fmt.Sscan(l.ID, &n)
	}
	return n
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	return lis
}
