package leaf

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"pearmoor/internal/admit"
	"pearmoor/internal/contract"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

// newWatchingProber runs a prober for one leaf of service /s.
func newWatchingProber(t *testing.T, f *fakeLeaf, platformURL string) (*fixture, *Prober, *settings.Effective) {
	r := newFixture(t, f.leaf(), 1, ConnConfig{MaxConns: 2})
	p := NewProber(ProberConfig{Sender: r.sender, Gates: r.gates, PlatformURL: platformURL})
	if p.platform != nil {
		p.platform.interval = 5 * time.Millisecond
	}
	e := &settings.Effective{Path: "/s", Leaves: []settings.Leaf{r.leaf}, ProbeInterval: 5 * time.Millisecond}
	p.Watch("/s", e)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { p.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	eventually(t, "the leaf is in the catalog", func() bool { return p.leafCount() == 1 })
	return r, p, e
}

// leafCount returns the number of leaves in the catalog for shard 0 of the newest version.
func (p *Prober) leafCount() int {
	list := p.Snapshots("/s")
	if len(list) == 0 {
		return 0
	}
	return len(list[0].LeavesByShard[0])
}

func setHeldIndex(f *fakeLeaf) {
	f.status.Indexes = []contract.LeafIndex{newIndex(7, 1, 0)}
}

// A draining leaf must get no new requests, whether its status, the settings or the platform
// says that it is draining. It is removed from the catalog, its gate closes and waiting
// requests are rejected, while running ones finish. When it no longer drains, it must serve
// again.
func TestDrainingLeafGetsNoNewRequests(t *testing.T) {
	var mu sync.Mutex
	var vms []contract.PlatformVM
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		json.NewEncoder(w).Encode(vms)
	}))
	defer platform.Close()
	setVMs := func(list ...contract.PlatformVM) {
		mu.Lock()
		defer mu.Unlock()
		vms = list
	}
	for _, c := range []struct {
		word        string
		leave, back func(f *fakeLeaf, p *Prober, e settings.Effective)
	}{
		{
			word: "the leaf's own",
			leave: func(f *fakeLeaf, _ *Prober, _ settings.Effective) {
				f.update(func() { f.status.State = contract.LeafDraining })
			},
			back: func(f *fakeLeaf, _ *Prober, _ settings.Effective) {
				f.update(func() { f.status.State = contract.LeafServing })
			},
		}, {
			word: "the operator's",
			leave: func(_ *fakeLeaf, p *Prober, e settings.Effective) {
				e.Drained = []string{"a"}
				p.Watch("/s", &e)
			},
			back: func(_ *fakeLeaf, p *Prober, e settings.Effective) { p.Watch("/s", &e) },
		}, {
			word: "the platform's",
			leave: func(f *fakeLeaf, _ *Prober, _ settings.Effective) {
				setVMs(contract.PlatformVM{Name: "vm-a", Addr: f.leaf().Addr, Leaving: true})
			},
			back: func(f *fakeLeaf, _ *Prober, _ settings.Effective) {
				setVMs(contract.PlatformVM{Name: "vm-a", Addr: f.leaf().Addr})
			},
		},
	} {
		Convey("A leaf drains according to "+c.word+" report", t, func() {
			f := newFakeLeaf(t)
			f.update(func() { setHeldIndex(f) })
			release := make(chan struct{})
			f.handle = func(w http.ResponseWriter, r *http.Request, q *contract.LeafRequest) {
				<-release
				writeReply(w, r, q)
			}
			r, p, e := newWatchingProber(t, f, platform.URL)
			running := r.sendAsync(contextWithTimeout(t, testTimeout), t, "had")
			eventually(t, "the leaf runs the request", func() bool { return f.inFlight.Load() == 1 })
			queued := r.sendAsync(contextWithTimeout(t, testTimeout), t, "waits")
			eventually(t, "a request waits", func() bool { return r.gates.Load(r.leaf.Addr).Waiting == 1 })
			c.leave(f, p, *e)
			So(errors.Is(<-queued, admit.ErrDraining), ShouldBeTrue)
			eventually(t, "the leaf is removed from the catalog", func() bool { return p.leafCount() == 0 })
			_, err := r.send(contextWithTimeout(t, testTimeout), t, "new")
			So(errors.Is(err, admit.ErrDraining), ShouldBeTrue)
			close(release)
			So(<-running, ShouldBeNil)
			So(f.runs.Load(), ShouldEqual, 1)
			c.back(f, p, *e)
			eventually(t, "the leaf is in the catalog again", func() bool { return p.leafCount() == 1 })
			_, err = r.send(contextWithTimeout(t, testTimeout), t, "new")
			So(err, ShouldBeNil)
		})
	}
}

// A leaf whose status endpoint fails while it still answers requests must stay in the catalog
// with its last status, because an answer to a request proves more than the status endpoint.
// Once it neither answers nor reports its status, it must no longer be live.
func TestLeafWithFailingStatusEndpointStaysLive(t *testing.T) {
	Convey("A leaf whose status endpoint fails", t, func() {
		f := newFakeLeaf(t)
		f.update(func() { setHeldIndex(f) })
		r, p, _ := newWatchingProber(t, f, "")
		f.update(func() { f.statusHandler = func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) } })
		_, before, _ := p.Status(r.leaf.Addr)
		eventually(t, "the status ages", func() bool { _, age, ok := p.Status(r.leaf.Addr); return ok && age > before+50*time.Millisecond })
		So(p.leafCount(), ShouldEqual, 1)
		Convey("is live while its answers are recent, and not live once they are old too", func() {
			_, err := r.send(contextWithTimeout(t, testTimeout), t, "1")
			So(err, ShouldBeNil)
			p.mu.Lock()
			defer p.mu.Unlock()
			target := p.targets[r.leaf.Addr]
			target.statusAt = target.statusAt.Add(-time.Hour)
			So(p.isLive(target), ShouldBeTrue)
			now := p.clock
			p.clock = func() vm.Instant { return now().Add(time.Hour) }
			r.gates.Configure(r.leaf.Addr, admit.Limits{})
			So(p.isLive(target), ShouldBeFalse)
			p.clock = now
		})
		Convey("is forgotten when it is no longer watched", func() {
			p.Watch("/s", nil)
			_, _, ok := p.Status(r.leaf.Addr)
			So(ok, ShouldBeFalse)
			So(p.Snapshots("/s"), ShouldBeNil)
		})
	})
}

// If the platform supports ETag, an unchanged list must not be transferred again: this keeps
// polling a list of thousands of VMs cheap. A failed fetch must return an error.
func TestUnchangedPlatformListIsNotRefetched(t *testing.T) {
	Convey("An unchanged list", t, func() {
		full, failing := 0, false
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("ETag", `"1"`)
			switch {
			case failing:
				w.WriteHeader(http.StatusBadGateway)
			case r.Header.Get("If-None-Match") == `"1"`:
				w.WriteHeader(http.StatusNotModified)
			default:
				full++
				json.NewEncoder(w).Encode([]contract.PlatformVM{{Name: "x", Addr: "10.0.0.9", Leaving: true}})
			}
		}))
		defer srv.Close()
		l := newPlatformList(srv.URL + "/")
		defer l.client.CloseIdleConnections()
		for range 3 {
			leaving, err := l.fetch(context.Background())
			So(err, ShouldBeNil)
			So(isLeaving(leaving, settings.Leaf{Name: "a", Addr: "10.0.0.9:80"}), ShouldBeTrue)
			So(isLeaving(leaving, settings.Leaf{Name: "x", Addr: "10.0.0.8:80"}), ShouldBeFalse)
		}
		So(full, ShouldEqual, 1)
		failing = true
		_, err := l.fetch(context.Background())
		So(err, ShouldNotBeNil)
	})
}

// A daemon that has just become responsible for a service has not probed its leaves yet. It must
// be able to tell, or it would report shards as missing that it has not looked for. A leaf that
// is down must not delay it, so a failed probe counts as well.
func TestKnownOnceEveryLeafWasProbed(t *testing.T) {
	Convey("A service with a running leaf and one that is down", t, func() {
		f := newFakeLeaf(t)
		f.update(func() { setHeldIndex(f) })
		r, p, e := newWatchingProber(t, f, "")
		So(p.Known("/s"), ShouldBeTrue)
		So(p.Known("/other"), ShouldBeFalse)
		down := settings.Leaf{Name: "b", Addr: "127.0.0.1:1"}
		r.sender.Configure(down, ConnConfig{MaxConns: 1})
		more := *e
		more.Leaves = append(more.Leaves, down)
		p.Watch("/s", &more)
		eventually(t, "the leaf that is down was probed", func() bool { return p.Known("/s") })
		So(p.leafCount(), ShouldEqual, 1)
	})
	Convey("A prober that has not probed any leaf yet", t, func() {
		f := newFakeLeaf(t)
		r := newFixture(t, f.leaf(), 1, ConnConfig{MaxConns: 1})
		p := NewProber(ProberConfig{Sender: r.sender, Gates: r.gates})
		p.Watch("/s", &settings.Effective{Path: "/s", Leaves: []settings.Leaf{r.leaf}})
		So(p.Known("/s"), ShouldBeFalse)
	})
}
