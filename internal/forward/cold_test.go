package forward

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"pearmoor/internal/discovery"
	"pearmoor/internal/evacuation"
	"pearmoor/internal/policy"
	"pearmoor/internal/route"
	"pearmoor/internal/vm"
)

// limitWarmUp limits what the leaves of all services get while they are cold.
func (f *fixture) limitWarmUp(share policy.ColdShare) {
	services := make(map[string]bool)
	for _, l := range f.engine.cfg.Leaves.Snapshot().All() {
		services[l.Service] = true
	}
	old := f.engine.Table()
	rel := &route.Release{Number: old.Number + 1, Limits: old.Limits, Routes: []route.Route{old.Entries()[0].Route}}
	for name := range services {
		rel.Services = append(rel.Services, route.Service{Name: name, WarmUpRate: 4})
	}
	f.engine.cfg.ColdShare = func(*discovery.Leaf, float64) policy.ColdShare { return share }
	f.engine.Install(route.NewTable(rel), 2)
}

// setCold lists the leaves for which cold returns true as cold for a minute.
func (f *fixture) setCold(cold func(id string) bool) {
	cache := f.engine.cfg.Leaves
	var list []discovery.ListedLeaf
	for _, l := range cache.Snapshot().All() {
		entry := discovery.ListedLeaf{ID: l.ID, Service: l.Service, Addr: l.Addr, Domain: l.Domain, Slots: l.Slots}
		if cold(l.ID) {
			entry.WarmIn = time.Minute
		}
		list = append(list, entry)
	}
	cache.ApplyReading(list, vm.Monotonic())
}

func isFirstCopy(id string) bool { return strings.HasSuffix(id, "-0") }

func (f *fixture) doConcurrently(t *testing.T, n int) {
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() { _, _, _ = f.doRequest(http.MethodGet, "/a", "") })
	}
	wg.Wait()
}

// Guards against a cold leaf that gets more than this daemon's share of what it bears, by first
// sends, retries and hedges of many requests at once.
func TestColdLeafGetsNoMoreThanTheShare(t *testing.T) {
	rt, leaves := remoteRoute(t, validPart)
	rt.MaxAttempts = 2
	f := newFixture(t, rt, leaves)
	f.setCold(isFirstCopy)
	f.limitWarmUp(policy.ColdShare{Requests: 2, Window: time.Minute})
	for range 5 {
		f.doConcurrently(t, 10)
	}
	for name, copies := range leaves {
		if n := len(copies[0].requests()); n > 2 {
			t.Errorf("%s: the cold leaf got %d requests, 2 allowed", name, n)
		}
		if n := len(copies[1].requests()); n < 40 {
			t.Errorf("%s: the warm leaf got %d requests of 50", name, n)
		}
	}
}

// Guards against a leaf that is sent to as if it were warm when it comes back, before the list
// says that it is cold: after it was lost, and after its failure domain was evacuated.
func TestReturningLeafCountsAsCold(t *testing.T) {
	rt, leaves := remoteRoute(t, validPart)
	f := newFixture(t, rt, leaves)
	f.placeLeaves()
	f.limitWarmUp(policy.ColdShare{})
	f.engine.SetEvacuations(evacuated("hall-0"))
	f.engine.SetEvacuations(evacuation.Domains{"hall-0": {Revision: 2}})
	for _, l := range f.engine.cfg.Leaves.Snapshot().All() {
		if l.Domain == "hall-1" && l.Service == rt.Shards[0] {
			f.tracker.MarkUnreachable(l.RunID())
		}
	}
	resp, _ := f.do(t, http.MethodGet, "/a", "")
	if n := requestsAt(leaves, 0); n > 0 {
		t.Errorf("%d requests reached the domain that returns", n)
	}
	if n := len(leaves[rt.Shards[0]][1].requests()); n > 0 {
		t.Errorf("%d requests reached the leaf that was lost", n)
	}
	if resp.StatusCode != http.StatusOK || resp.Header.Get("Missing") != "1" {
		t.Errorf("status %d, %s parts missing", resp.StatusCode, resp.Header.Get("Missing"))
	}
}

// Guards against a request that is sent to some shards and waits for its deadline although too
// many others have cold leaves only, and against callers that all return together.
func TestRequestWithColdLeavesOnlyIsRefusedAtOnce(t *testing.T) {
	rt, leaves := remoteRoute(t, validPart)
	rt.MinCoverage = 0.8 // of eight shards one may be missing
	f := newFixture(t, rt, leaves)
	f.setCold(func(id string) bool { return strings.Contains(id, rt.Shards[0]) || strings.Contains(id, rt.Shards[1]) })
	f.limitWarmUp(policy.ColdShare{})
	start := time.Now()
	waits := make(map[string]bool)
	for range 8 {
		resp, text := f.do(t, http.MethodGet, "/a", "")
		if resp.StatusCode != http.StatusServiceUnavailable || !strings.Contains(text, "not_run") {
			t.Errorf("status %d, %q", resp.StatusCode, text)
		}
		waits[resp.Header.Get("Retry-After")] = true
	}
	if n := totalRequests(leaves); n > 0 {
		t.Errorf("%d requests reached leaves", n)
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("eight refusals took %v", took)
	}
	if len(waits) < 2 {
		t.Errorf("all callers are told to return after the same time: %v", waits)
	}
}

// Guards against a daemon whose lease has run out and that sends on a share which another daemon
// may have by now, and against one that then keeps choosing the cold leaf in place of a warm one
// that has failed.
func TestColdLeafGetsNothingFromDaemonWithoutLease(t *testing.T) {
	rt, leaves := remoteRoute(t, validPart)
	f := newFixture(t, rt, leaves)
	f.setCold(isFirstCopy)
	f.limitWarmUp(policy.ColdShare{Requests: 2, Window: time.Minute})
	f.engine.cfg.HoldsShares = func() bool { return false }
	for _, l := range f.engine.cfg.Leaves.Snapshot().All() {
		if !isFirstCopy(l.ID) {
			f.tracker.End(l.RunID(), f.tracker.Begin(l.RunID()), policy.RequestResult{Outcome: policy.Failed})
		}
	}
	for range 5 {
		if resp, text := f.do(t, http.MethodGet, "/a", ""); resp.StatusCode != http.StatusOK || resp.Header.Get("Missing") != "0" {
			t.Errorf("status %d, %s parts missing, %q: the warm leaves have all parts", resp.StatusCode, resp.Header.Get("Missing"), text)
		}
	}
	if n := requestsAt(leaves, 0); n > 0 {
		t.Errorf("%d requests reached cold leaves", n)
	}
}
