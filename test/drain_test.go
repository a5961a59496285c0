package test

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"pearmoor/internal/contract"
	"pearmoor/internal/standin"
)

// drainDelay is how long a draining leaf may still receive new requests.
const drainDelay = 3 * time.Second

// tierWithoutHedges disables hedging. A home cancels the slower request of a hedged pair,
// and the leaf's counters could not tell that from a request cut off by the drain.
var tierWithoutHedges = tierConfig{controls: 1, entries: 3, regionSettings: map[string]string{"hedge-budget": "0"}}

// checkLeafDrain drains a leaf under load by calling startDrain. It checks that the leaf
// receives no new requests after 3 s, that no request on it is cut off, and that callers
// see full coverage throughout.
func checkLeafDrain(t *testing.T, tr *tier, startDrain func(l *standin.Leaf)) {
	t.Helper()
	tr.setLatency("", 20*time.Millisecond)
	cfg := steadyLoad()
	cfg.Rate = 20 // a third of what the remaining leaf takes, so that a slow machine is not overloaded
	running := tr.startLoad(cfg)
	l := tr.leaf("search-1-a")
	await(t, "the leaf to receive requests", func() bool { return l.Stats(false).Replies > 20 })
	before := l.Stats(false)
	startDrain(l)
	time.Sleep(drainDelay)
	afterDelay := l.Stats(false)
	time.Sleep(1500 * time.Millisecond) // 15 probe intervals of 100 ms and about 15 queries of the desk
	later := l.Stats(false)
	if later.LastArrivalMS != afterDelay.LastArrivalMS {
		t.Errorf("the leaf received new requests more than %v after its drain started", drainDelay)
	}
	if later.InFlight != 0 || later.Cancelled != before.Cancelled {
		t.Errorf("the draining leaf has %d requests in flight, and %d were cut off", later.InFlight, later.Cancelled-before.Cancelled)
	}
	r := running.stop(t)
	checkLoadResult(t, tr, r)
	if bad := r.Refused + r.InDoubt + r.Failed; bad > 0 || r.Whole != r.Answered {
		t.Errorf("%d requests not answered, %d of %d answers without full coverage: %v %v", bad, r.Answered-r.Whole, r.Answered, r.Reasons, r.Missing)
	}
	tr.checkLeafLimits()
}

// TestLeafReportsDraining guards against lost coverage and cut-off requests when a leaf
// reports that it is draining and refuses new requests. The homes must learn it from their
// next probe and stop sending to the leaf.
func TestLeafReportsDraining(t *testing.T) {
	t.Parallel()
	tr := startTier(t, tierWithoutHedges)
	checkLeafDrain(t, tr, func(l *standin.Leaf) {
		tr.updateLeafBehavior(l, func(b *standin.Behavior) { b.Draining = true })
	})
}

// TestOperatorDrainsLeaf guards against requests to a leaf that an operator has drained and
// that itself would still accept them. Once the change is in force, no home may send to it.
func TestOperatorDrainsLeaf(t *testing.T) {
	t.Parallel()
	tr := startTier(t, tierWithoutHedges)
	checkLeafDrain(t, tr, func(l *standin.Leaf) {
		tr.mustRun("set", deskPath+"/search-1", "--drained="+l.Name(), "--reason=hardware swap", "--wait=20s")
	})
}

// TestPlatformReportsLeafLeaving guards against requests to a leaf whose VM is marked as
// leaving only in the platform's VM list. No home may send to it.
func TestPlatformReportsLeafLeaving(t *testing.T) {
	t.Parallel()
	platform := startPlatform(t)
	tr := startTier(t, tierConfig{controls: 1, entries: 3, regionSettings: tierWithoutHedges.regionSettings, entryFlags: []string{"--platform-url=http://" + platform.addr}})
	checkLeafDrain(t, tr, func(l *standin.Leaf) {
		platform.list.SetVMs([]contract.PlatformVM{{Name: l.Name(), Addr: l.Addr(), Domain: failureDomains[0], Leaving: true}})
	})
}

// platformServer serves the VM list of the platform.
type platformServer struct {
	list *standin.Platform
	addr string
}

func startPlatform(t *testing.T) *platformServer {
	t.Helper()
	fleet, err := standin.StartFleet(standin.FleetConfig{Host: "127.0.0.1"})
	if err != nil {
		t.Fatal(err)
	}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: fleet.Handler(), ReadHeaderTimeout: time.Second}
	var done sync.WaitGroup
	done.Go(func() { _ = server.Serve(lis) })
	t.Cleanup(func() { server.Close(); done.Wait(); fleet.Close() })
	return &platformServer{list: fleet.Platform(), addr: lis.Addr().String()}
}
