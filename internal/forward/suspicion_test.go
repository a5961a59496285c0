package forward

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/policy"
	"pearmoor/internal/quarantine"
	"pearmoor/internal/route"
	"pearmoor/internal/vm"
)

// unreachableLeader is a quarantine.Leader that cannot be reached.
type unreachableLeader struct{}

var errLeaderUnreachable = errors.New("no leader")

func (unreachableLeader) Report(context.Context, []*quarantine.Report) error {
	return errLeaderUnreachable
}
func (unreachableLeader) Release(context.Context, quarantine.Fingerprint) error {
	return errLeaderUnreachable
}
func (unreachableLeader) Try(context.Context, quarantine.Fingerprint) (quarantine.Grant, error) {
	return quarantine.Denied, errLeaderUnreachable
}

func (f *fixture) enableQuarantine() *quarantine.Registry {
	registry := quarantine.NewRegistry(vm.Monotonic, unreachableLeader{})
	f.engine.cfg.Quarantine = registry
	return registry
}

// Guards against a request that crashes every leaf that runs it: retries and hedges would also
// crash the other leaf of each shard.
func TestRequestThatCrashesLeavesIsContained(t *testing.T) {
	for _, c := range []struct {
		name                string
		maxFirst, maxSecond int // maximum number of leaves that crash in the first attempt and in the second
		remote              bool
	}{{"direct", remoteShards + 1, 1, false}, {"through another daemon", remoteShards + 1, 1, true}} {
		t.Run(c.name, func(t *testing.T) {
			rt, leaves := remoteRoute(t, func(int, int) script { return crash })
			var f *fixture
			if c.remote {
				f = newTwoDaemonFixture(t, rt, leaves).fixture
			} else {
				f = newFixture(t, rt, leaves)
			}
			f.enableQuarantine()
			if resp, _ := f.do(t, http.MethodGet, "/a", ""); resp.StatusCode != http.StatusBadGateway {
				t.Errorf("status %d", resp.StatusCode)
			}
			if n := totalRequests(leaves); n > c.maxFirst {
				t.Errorf("%d leaves crashed in the first attempt, want at most %d", n, c.maxFirst)
			}
			before := totalRequests(leaves)
			f.do(t, http.MethodGet, "/a", "")
			if n := totalRequests(leaves) - before; n > c.maxSecond {
				t.Errorf("%d leaves crashed in the second attempt, want at most %d", n, c.maxSecond)
			}
			before = totalRequests(leaves)
			if resp, text := f.do(t, http.MethodGet, "/a", ""); resp.StatusCode != http.StatusServiceUnavailable || text != "quarantined, not_run\n" {
				t.Errorf("status %d, %q", resp.StatusCode, text)
			}
			if n := totalRequests(leaves) - before; n > 0 {
				t.Errorf("%d leaves crashed in the third attempt, want 0", n)
			}
		})
	}
}

// Guards against a missing part when a leaf crashes during a gather before any leaf has
// replied.
func TestLeafCrashDuringGatherIsRetried(t *testing.T) {
	var first sync.Once
	rt, leaves := gatherRoute(t, 4, func(shard, _ int) script {
		return func(l *fakeLeaf, c net.Conn, req receivedRequest) bool {
			crashes := false
			if shard == 0 {
				first.Do(func() { crashes = true })
			}
			if crashes {
				return crash(l, c, req)
			}
			time.Sleep(20 * time.Millisecond)
			return replyWith(record(fmt.Sprint("b", shard)))(l, c, req)
		}
	})
	f := newFixture(t, rt, leaves)
	registry := f.enableQuarantine()
	if resp, _ := f.do(t, http.MethodGet, "/a", ""); resp.StatusCode != http.StatusOK || resp.Header.Get("Missing") != "0" {
		t.Errorf("status %d, %s parts missing", resp.StatusCode, resp.Header.Get("Missing"))
	}
	if !registry.Empty() {
		t.Error("the request is suspected although leaves have answered it")
	}
}

// Guards against a single request that fails or becomes suspected because one leaf crashes: the
// other leaf answers it.
func TestLeafCrashDuringSingleRequestIsRetried(t *testing.T) {
	var first sync.Once
	s := func(l *fakeLeaf, c net.Conn, req receivedRequest) bool {
		crashes := false
		first.Do(func() { crashes = true })
		if crashes {
			return crash(l, c, req)
		}
		return replyWith("well")(l, c, req)
	}
	f := newFixture(t, route.Route{Repeatable: true, MaxAttempts: 2, Service: "s"}, map[string][]*fakeLeaf{"s": {startLeaf(t, s), startLeaf(t, s)}})
	registry := f.enableQuarantine()
	if resp, text := f.do(t, http.MethodGet, "/a", ""); resp.StatusCode != http.StatusOK || text != "well" {
		t.Errorf("status %d, %q", resp.StatusCode, text)
	}
	if !registry.Empty() {
		t.Error("the request is suspected although a leaf has answered it")
	}
}

// Guards against a request that stays suspected although it did not crash any leaf. When
// several leaves crash at the same time for another reason, the requests in flight become
// suspected. A trial at one leaf that is answered must clear them.
func TestAnswerClearsSuspectedRequest(t *testing.T) {
	rt, leaves := gatherRoute(t, 4, func(shard, _ int) script { return replyWith(record(fmt.Sprint("b", shard))) })
	f := newFixture(t, rt, leaves)
	registry := f.enableQuarantine()
	req := &Request{Method: http.MethodGet, Host: f.url[len("http://"):], URI: "/a", Caller: "127.0.0.1"}
	registry.Report(&quarantine.Report{Fingerprints: req.quarantineRequest().Fingerprints(), LeafExits: 4})
	if registry.Check(req.quarantineRequest().Fingerprints()) != quarantine.Suspect {
		t.Fatal("the request is not suspected")
	}
	resp, _ := f.do(t, http.MethodGet, "/a", "")
	if resp.StatusCode != http.StatusOK || resp.Header.Get("Missing") != "0" {
		t.Errorf("status %d, %s parts missing", resp.StatusCode, resp.Header.Get("Missing"))
	}
	if got := registry.Check(req.quarantineRequest().Fingerprints()); got != quarantine.Unrestricted {
		t.Errorf("the ruling is %v after an answer, want free", got)
	}
}

// resetWithoutReply is a script of a leaf that runs a request and resets the connection
// instead of replying. The leaf goes on serving.
func resetWithoutReply(l *fakeLeaf, c net.Conn, _ receivedRequest) bool {
	l.runs.Add(1)
	_ = c.(*net.TCPConn).SetLinger(0)
	return false
}

// Guards against a gather that fails with a single leaf while the quarantine is unconfirmed:
// only the exit of a leaf says something about the request, a lost or slow reply does not.
func TestUnconfirmedGatherSurvivesFailedProbe(t *testing.T) {
	for _, c := range []struct {
		name   string
		faulty script
	}{{"reset", resetWithoutReply}, {"silent", neverReply}} {
		t.Run(c.name, func(t *testing.T) {
			var first sync.Once
			rt, leaves := remoteRoute(t, func(shard, k int) script {
				return func(l *fakeLeaf, conn net.Conn, req receivedRequest) bool {
					fails := false
					first.Do(func() { fails = true })
					if fails {
						return c.faulty(l, conn, req)
					}
					return validPart(shard, k)(l, conn, req)
				}
			})
			rt.MaxAttempts, rt.TargetLatency, rt.Timeout = 1, 300*time.Millisecond, 1200*time.Millisecond
			f := newFixture(t, rt, leaves)
			f.enableQuarantine()
			f.engine.cfg.Confirmation = func() policy.Confirmation { return 0 }
			if resp, text := f.do(t, http.MethodGet, "/a", ""); resp.StatusCode != http.StatusOK || resp.Header.Get("Missing") != "1" {
				t.Errorf("status %d, %s parts missing, %q", resp.StatusCode, resp.Header.Get("Missing"), text)
			}
		})
	}
}

// Guards against sends that the budget does not count: shards whose leaves ended are sent to
// again, together, once another leaf has answered.
func TestRepeatedSendsOfHeldShardsAreCounted(t *testing.T) {
	rt, leaves := remoteRoute(t, func(shard, k int) script {
		return func(l *fakeLeaf, c net.Conn, req receivedRequest) bool {
			if shard < minDelegatedShards {
				return crash(l, c, req)
			}
			time.Sleep(100 * time.Millisecond)
			return validPart(shard, k)(l, c, req)
		}
	})
	rt.MaxAttempts, rt.TargetLatency, rt.Timeout = 2, 0, 2*time.Second
	f := newTwoDaemonFixture(t, rt, leaves)
	f.enableQuarantine()
	f.engine.cfg.Budgets = policy.NewBudgets(policy.BudgetLimits{Window: 10 * time.Second}, vm.Monotonic, func() int { return 1 })
	f.do(t, http.MethodGet, "/a", "")
	for _, name := range rt.Shards[:minDelegatedShards] {
		n := 0
		for _, l := range leaves[name] {
			n += len(l.requests())
		}
		if n != 1 {
			t.Errorf("%s got %d requests, 1 allowed", name, n)
		}
	}
}
