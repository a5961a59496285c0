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

	"pearmoor/internal/quarantine"
	"pearmoor/internal/route"
	"pearmoor/internal/vm"
)

// unreachableLeader is a quarantine.Leader that cannot be reached.
type noLeader struct{}

var errNoLeader = errors.New("no leader")

func (noLeader) Report(context.Context, []*quarantine.Report) error    { return errNoLeader }
func (noLeader) Release(context.Context, quarantine.Fingerprint) error { return errNoLeader }
func (noLeader) Try(context.Context, quarantine.Fingerprint) (quarantine.Grant, error) {
	return quarantine.Denied, errNoLeader
}

func (w *world) quarantine() *quarantine.Registry {
	known := quarantine.NewRegistry(vm.Monotonic, noLeader{})
	w.engine.cfg.Quarantine = known
	return known
}

// Guards against a request that crashes every leaf that runs it: retries and hedges would also
// crash the other leaf of each shard.
func TestAttemptUnderWhichLeavesEndTakesNoMore(t *testing.T) {
	for _, c := range []struct {
		what      string
		first, at int // maximum number of leaves that crash in the first attempt and in the second
		far       bool
	}{{"direct", awayShards + 1, 1, false}, {"through another daemon", awayShards + 1, 1, true}} {
		t.Run(c.what, func(t *testing.T) {
			rt, leaves := awayRoute(t, func(int, int) script { return dies })
			var w *world
			if c.far {
				w = newTwoDaemons(t, rt, leaves).world
			} else {
				w = newWorld(t, rt, leaves)
			}
			w.quarantine()
			if resp, _ := w.do(t, http.MethodGet, "/a", ""); resp.StatusCode != http.StatusBadGateway {
				t.Errorf("status %d", resp.StatusCode)
			}
			if n := total(leaves); n > c.first {
				t.Errorf("%d leaves crashed in the first attempt, want at most %d", n, c.first)
			}
			before := total(leaves)
			w.do(t, http.MethodGet, "/a", "")
			if n := total(leaves) - before; n > c.at {
				t.Errorf("%d leaves crashed in the second attempt, want at most %d", n, c.at)
			}
			before = total(leaves)
			if resp, text := w.do(t, http.MethodGet, "/a", ""); resp.StatusCode != http.StatusServiceUnavailable || text != "quarantined, not_run\n" {
				t.Errorf("status %d, %q", resp.StatusCode, text)
			}
			if n := total(leaves) - before; n > 0 {
				t.Errorf("%d leaves crashed in the third attempt, want 0", n)
			}
		})
	}
}

// Guards against a missing part when a leaf crashes during a gather before any leaf has
// replied.
func TestLeafThatEndsUnderAGatherIsMadeUpFor(t *testing.T) {
	var first sync.Once
	rt, leaves := gatherOver(t, 4, func(shard, _ int) script {
		return func(l *fakeLeaf, c net.Conn, req asked) bool {
			ends := false
			if shard == 0 {
				first.Do(func() { ends = true })
			}
			if ends {
				return dies(l, c, req)
			}
			time.Sleep(20 * time.Millisecond)
			return answers(record(fmt.Sprint("b", shard)))(l, c, req)
		}
	})
	w := newWorld(t, rt, leaves)
	known := w.quarantine()
	if resp, _ := w.do(t, http.MethodGet, "/a", ""); resp.StatusCode != http.StatusOK || resp.Header.Get("Missing") != "0" {
		t.Errorf("status %d, %s parts missing", resp.StatusCode, resp.Header.Get("Missing"))
	}
	if !known.Empty() {
		t.Error("the request is suspected although leaves have answered it")
	}
}

// Guards against a single request that fails or becomes suspected because one leaf crashes: the
// other leaf answers it.
func TestLeafThatEndsUnderASingleRequestIsMadeUpFor(t *testing.T) {
	var first sync.Once
	s := func(l *fakeLeaf, c net.Conn, req asked) bool {
		ends := false
		first.Do(func() { ends = true })
		if ends {
			return dies(l, c, req)
		}
		return answers("well")(l, c, req)
	}
	w := newWorld(t, route.Route{Repeatable: true, Attempts: 2, Service: "s"}, map[string][]*fakeLeaf{"s": {startLeaf(t, s), startLeaf(t, s)}})
	known := w.quarantine()
	if resp, text := w.do(t, http.MethodGet, "/a", ""); resp.StatusCode != http.StatusOK || text != "well" {
		t.Errorf("status %d, %q", resp.StatusCode, text)
	}
	if !known.Empty() {
		t.Error("the request is suspected although a leaf has answered it")
	}
}

// Guards against a request that stays suspected although it did not crash any leaf. When
// several leaves crash at the same time for another reason, the requests in flight become
// suspected. A trial at one leaf that is answered must clear them.
func TestAnswerClearsASuspectedRequest(t *testing.T) {
	rt, leaves := gatherOver(t, 4, func(shard, _ int) script { return answers(record(fmt.Sprint("b", shard))) })
	w := newWorld(t, rt, leaves)
	known := w.quarantine()
	req := &Request{Method: http.MethodGet, Host: w.url[len("http://"):], URI: "/a", Caller: "127.0.0.1"}
	known.Report(&quarantine.Report{Request: req.content().Fingerprints(), Ends: 4})
	if known.Rule(req.content().Fingerprints()) != quarantine.Suspect {
		t.Fatal("the request is not suspected")
	}
	resp, _ := w.do(t, http.MethodGet, "/a", "")
	if resp.StatusCode != http.StatusOK || resp.Header.Get("Missing") != "0" {
		t.Errorf("status %d, %s parts missing", resp.StatusCode, resp.Header.Get("Missing"))
	}
	if got := known.Rule(req.content().Fingerprints()); got != quarantine.Free {
		t.Errorf("the ruling is %v after an answer, want free", got)
	}
}
