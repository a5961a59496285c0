package forward

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"pearmoor/internal/contract"
	"pearmoor/internal/discovery"
	"pearmoor/internal/evacuation"
	"pearmoor/internal/link/target"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/route"
	"pearmoor/internal/vm"
)

// placeLeaves moves the leaves of the fixture to failure domains: the first leaf of each
// service to hall-0, the second to hall-1 and so on.
func (f *fixture) placeLeaves() {
	cache := f.engine.cfg.Leaves
	var list []discovery.ListedLeaf
	for _, l := range cache.Snapshot().All() {
		list = append(list, discovery.ListedLeaf{ID: l.ID, Service: l.Service, Addr: l.Addr, Domain: "hall-" + l.ID[strings.LastIndexByte(l.ID, '-')+1:], Slots: l.Slots})
	}
	cache.ApplyReading(list, vm.Monotonic())
}

func evacuated(domains ...string) evacuation.Domains {
	out := evacuation.Domains{}
	for _, d := range domains {
		out[d] = evacuation.Domain{Evacuated: true, Revision: 1}
	}
	return out
}

func requestsAt(leaves map[string][]*fakeLeaf, copy int) int {
	n := 0
	for _, list := range leaves {
		n += len(list[copy].requests())
	}
	return n
}

// Guards against requests that reach the leaves of an evacuated failure domain: first sends,
// retries, hedges and parts requested through another daemon.
func TestEvacuatedDomainReceivesNoRequests(t *testing.T) {
	for _, delegated := range []bool{false, true} {
		t.Run(fmt.Sprintf("delegated=%v", delegated), func(t *testing.T) {
			rt, leaves := remoteRoute(t, func(shard, k int) script {
				if k == 1 {
					return func(l *fakeLeaf, c net.Conn, req receivedRequest) bool {
						time.Sleep(30 * time.Millisecond) // late enough for a hedge
						return validPart(shard, k)(l, c, req)
					}
				}
				return validPart(shard, k)
			})
			rt.MaxAttempts = 2
			var f *fixture
			if delegated {
				two := newTwoDaemonFixture(t, rt, leaves)
				two.remote.SetEvacuations(evacuated("hall-0"))
				f = two.fixture
			} else {
				f = newFixture(t, rt, leaves)
			}
			f.placeLeaves()
			f.engine.SetEvacuations(evacuated("hall-0"))
			for range 5 {
				if resp, text := f.do(t, http.MethodGet, "/a", ""); resp.StatusCode != http.StatusOK {
					t.Errorf("status %d, %q", resp.StatusCode, text)
				}
			}
			if n := requestsAt(leaves, 0); n > 0 {
				t.Errorf("%d requests reached the evacuated domain", n)
			}
			f.engine.SetEvacuations(evacuation.Domains{"hall-0": {Revision: 2}})
			for range 5 {
				f.do(t, http.MethodGet, "/a", "")
			}
			if n := requestsAt(leaves, 0); n == 0 {
				t.Error("the domain receives no requests after the end of its evacuation")
			}
		})
	}
}

// Guards against a daemon that sends to an evacuated failure domain because another daemon,
// which does not know the evacuation yet, asks it for a part.
func TestDaemonRefusesPartsFromEvacuatedDomain(t *testing.T) {
	rt, leaves := remoteRoute(t, validPart)
	f := newTwoDaemonFixture(t, rt, leaves)
	f.remote.SetEvacuations(evacuated("there"))
	leaf := f.remote.cfg.Leaves.Snapshot().All()[0]
	sc := &scatterCall{
		e: f.remote, active: f.remote.active.Load(), req: &wire.ScatterRequest{Sends: []*wire.PartSend{{Leaf: leaf.Fingerprint()}}},
		results: make(chan result, 1), finished: make(chan struct{}), calls: make([]*target.Call, 1),
		leafRequest: target.Request{Dialect: testDialect, Method: http.MethodGet, ID: "x", Head: []byte("GET /a HTTP/1.1\r\nRequest-Id: x\r\n"), Deadline: time.Now().Add(time.Second)},
	}
	sc.launch()
	if res := <-sc.results; res.err == nil || res.err.Verdict != contract.NotRun {
		t.Errorf("got %+v, want an error that says the part was not run", res)
	}
	if n := totalRequests(leaves); n > 0 {
		t.Errorf("%d requests reached the evacuated domain", n)
	}
}

// Guards against a request that waited for a connection while an evacuation came into force
// and is sent all the same.
func TestRequestThatWaitsIsNotSentToEvacuatedDomain(t *testing.T) {
	release := make(chan struct{})
	busy := func(l *fakeLeaf, c net.Conn, req receivedRequest) bool {
		l.runs.Add(1)
		<-release
		return reply(c, req, 200, "well", nextSignature())
	}
	leaves := map[string][]*fakeLeaf{"s": {startLeaf(t, busy)}}
	f := newFixture(t, route.Route{Repeatable: true, MaxAttempts: 1, Service: "s"}, leaves)
	f.placeLeaves()
	service, _ := f.engine.Table().Service("s")
	service.Connections = 2
	results := make(chan int, 3)
	for range 3 {
		go func() {
			resp, _, err := f.doRequest(http.MethodGet, "/a", "")
			if err != nil {
				results <- 0
				return
			}
			results <- resp.StatusCode
		}()
	}
	for leaves["s"][0].runs.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	f.engine.SetEvacuations(evacuated("hall-0"))
	close(release)
	for range 3 {
		<-results
	}
	if n := leaves["s"][0].runs.Load(); n > 2 {
		t.Errorf("%d requests reached the leaf, 2 before the evacuation", n)
	}
}

// Guards against callers that wait for their deadline although no leaf may be sent to.
func TestRequestIsRefusedAtOnceIfEveryDomainIsEvacuated(t *testing.T) {
	rt, leaves := remoteRoute(t, validPart)
	f := newFixture(t, rt, leaves)
	f.placeLeaves()
	f.engine.SetEvacuations(evacuated("hall-0", "hall-1"))
	start := time.Now()
	resp, text := f.do(t, http.MethodGet, "/a", "")
	if resp.StatusCode != http.StatusServiceUnavailable || !strings.Contains(text, "not_run") {
		t.Errorf("status %d, %q", resp.StatusCode, text)
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("refused after %v", took)
	}
}

// Guards against a gather that is handed over to a daemon which does not know an evacuation
// that this one knows.
func TestHandoverIsDeclinedByDaemonWithOlderEvacuations(t *testing.T) {
	rt, leaves := remoteRoute(t, validPart)
	f := newTwoDaemonFixture(t, rt, leaves)
	f.peers.handoverAddrs = []string{f.peers.addr}
	f.engine.SetEvacuations(evacuation.Domains{"elsewhere": {Evacuated: true, Revision: 7}})
	req := &Request{ID: "x", Method: http.MethodGet, URI: "/a", Path: "/a", Host: "127.0.0.1", Arrived: time.Now(), Wait: time.Second}
	r := f.engine.newRun(f.engine.active.Load(), f.engine.Table().Entries()[0], req)
	if _, handed := r.handOver(t.Context()); handed {
		t.Error("the gather was handed over")
	}
	f.remote.SetEvacuations(evacuation.Domains{"elsewhere": {Evacuated: true, Revision: 7}})
	r = f.engine.newRun(f.engine.active.Load(), f.engine.Table().Entries()[0], req)
	if _, handed := r.handOver(t.Context()); !handed {
		t.Error("the gather was not handed over to a daemon with the same state")
	}
}
