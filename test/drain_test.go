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
const quietAfter = 3 * time.Second

// tierWithoutHedges disables hedging. A home cancels the slower request of a hedged pair,
// and the leaf's counters could not tell that from a request cut off by the drain.
var leaving = shape{controls: 1, entries: 3, region: map[string]string{"hedge-budget": "0"}}

// checkLeafDrain drains a leaf under load by calling startDrain. It checks that the leaf
// receives no new requests after 3 s, that no request on it is cut off, and that callers
// see full coverage throughout.
func checkLeaves(t *testing.T, tr *tier, leave func(l *standin.Leaf)) {
	t.Helper()
	tr.slow("", 20*time.Millisecond)
	cfg := steady()
	cfg.Rate = 20 // a third of what the remaining leaf takes, so that a slow machine is not overloaded
	tf := tr.startTraffic(cfg)
	l := tr.leaf("search-1-a")
	await(t, "the leaf to receive requests", func() bool { return l.Stats(false).Replies > 20 })
	before := l.Stats(false)
	leave(l)
	time.Sleep(quietAfter)
	quiet := l.Stats(false)
	time.Sleep(1500 * time.Millisecond) // 15 probe intervals of 100 ms and about 15 queries of the desk
	later := l.Stats(false)
	if later.LastArrivalMS != quiet.LastArrivalMS {
		t.Errorf("the leaf received new requests more than %v after its drain started", quietAfter)
	}
	if later.InFlight != 0 || later.Cancelled != before.Cancelled {
		t.Errorf("the draining leaf has %d requests in flight, and %d were cut off", later.InFlight, later.Cancelled-before.Cancelled)
	}
	r := tf.stop(t)
	checkTrue(t, tr, r)
	if bad := r.Refused + r.InDoubt + r.Failed; bad > 0 || r.Whole != r.Answered {
		t.Errorf("%d requests not answered, %d of %d answers without full coverage: %v %v", bad, r.Answered-r.Whole, r.Answered, r.Reasons, r.Missing)
	}
	tr.checkSlots()
}

// TestLeafReportsDraining guards against lost coverage and cut-off requests when a leaf
// reports that it is draining and refuses new requests. The homes must learn it from their
// next probe and stop sending to the leaf.
func TestLeafLeavesByItsOwnWord(t *testing.T) {
	t.Parallel()
	tr := startTier(t, leaving)
	checkLeaves(t, tr, func(l *standin.Leaf) {
		tr.behaveLeaf(l, func(b *standin.Behavior) { b.Draining = true })
	})
}

// TestOperatorDrainsLeaf guards against requests to a leaf that an operator has drained and
// that itself would still accept them. Once the change is in force, no home may send to it.
func TestLeafLeavesByTheOperatorsWord(t *testing.T) {
	t.Parallel()
	tr := startTier(t, leaving)
	checkLeaves(t, tr, func(l *standin.Leaf) {
		tr.must("set", desk+"/search-1", "--drained="+l.Name(), "--reason=hardware swap", "--wait=20s")
	})
}

// TestPlatformReportsLeafLeaving guards against requests to a leaf whose VM is marked as
// leaving only in the platform's VM list. No home may send to it.
func TestLeafLeavesByThePlatformsWord(t *testing.T) {
	t.Parallel()
	platform := startPlatform(t)
	tr := startTier(t, shape{controls: 1, entries: 3, region: leaving.region, entry: []string{"--platform-url=http://" + platform.addr}})
	checkLeaves(t, tr, func(l *standin.Leaf) {
		platform.list.SetVMs([]contract.PlatformVM{{Name: l.Name(), Addr: l.Addr(), Domain: failureDomains[0], Leaving: true}})
	})
}

// platformServer serves the VM list of the platform.
type platform struct {
	list *standin.Platform
	addr string
}

func startPlatform(t *testing.T) *platform {
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
	return &platform{list: fleet.Platform(), addr: lis.Addr().String()}
}
