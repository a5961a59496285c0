package leaf

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"pearmoor/internal/admit"
	"pearmoor/internal/contract"
	"pearmoor/internal/settings"
)

// moodyLeaf answers, answers late, refuses, resets, cuts, crosses replies or
// hangs until it is cancelled, each by chance, and counts runs by request.
type moodyLeaf struct {
	*fakeLeaf
	mu   sync.Mutex
	ran  map[string]int
	rand *rand.Rand
}

func (m *moodyLeaf) handleQuery(w http.ResponseWriter, r *http.Request, q *contract.LeafRequest) {
	m.mu.Lock()
	mood := m.rand.IntN(100)
	pause := time.Duration(m.rand.IntN(3000)) * time.Microsecond
	if mood >= 10 {
		m.ran[q.ID]++
	}
	m.mu.Unlock()
	switch {
	case mood < 2:
		w.WriteHeader(http.StatusTooManyRequests)
	case mood < 10:
		w.WriteHeader(http.StatusConflict)
	case mood < 14:
		panic(http.ErrAbortHandler)
	case mood < 18:
		reply := replyTo(q)
		reply.ID = "crossed"
		json.NewEncoder(w).Encode(reply)
	case mood < 22:
		w.Header().Set("Connection", "close")
		answer(w, r, q)
	case mood < 30:
		<-r.Context().Done()
	case mood < 60:
		time.Sleep(pause)
		answer(w, r, q)
	default:
		answer(w, r, q)
	}
}

// insist waits out pauses, backoffs and shares of zero until it has a permit.
func (r *rig) insist() *admit.Permit {
	for {
		if p, err := r.gates.Acquire(context.Background(), r.leaf.Addr, settings.Urgent); err == nil {
			return p
		}
		time.Sleep(time.Millisecond)
	}
}

// Many callers, some of which leave early, at a leaf of all moods, with its
// share changing and probes in between. The caller's verdict must be true
// whatever the order of events: what it was told was not run, never ran; what
// it was told ran, ran once; nothing ran twice. The leaf never has more in
// flight or more connections than the largest share of this daemon.
func TestVerdictsHoldUnderChaos(t *testing.T) {
	const (
		slots   = 3
		conns   = 5
		callers = 8
		each    = 150
	)
	m := &moodyLeaf{fakeLeaf: newFakeLeafUnstarted(), ran: map[string]int{}, rand: rand.New(rand.NewPCG(20, 26))}
	m.handle = m.handleQuery
	m.Config.ErrorLog = quiet()
	m.Start()
	defer m.Close()
	r := newRig(t, m.leaf(), slots, Link{Conns: conns})
	verdicts := sync.Map{}
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			rnd := rand.New(rand.NewPCG(uint64(i), 7))
			for j := range each {
				id := strconv.Itoa(i) + "/" + strconv.Itoa(j)
				p := r.insist()
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+rnd.IntN(30))*time.Millisecond)
				reply, err := r.sender.Send(ctx, r.leaf, request(id), p)
				cancel()
				switch {
				case err != nil:
					verdicts.Store(id, contract.VerdictOf(err))
				case reply.ID != id:
					t.Errorf("%s got the reply of %s", id, reply.ID)
				default:
					verdicts.Store(id, contract.Ran)
				}
			}
		})
	}
	stop := make(chan struct{})
	var side sync.WaitGroup
	side.Go(func() {
		rnd := rand.New(rand.NewPCG(3, 3))
		for {
			select {
			case <-stop:
				return
			case <-time.After(2 * time.Millisecond):
			}
			r.sender.probe(r.leaf.Addr, time.Second)
			r.sender.Limit(r.leaf, Link{Conns: share(rnd, conns)})
			r.gates.Configure(r.leaf.Addr, limits(share(rnd, slots)))
		}
	})
	wg.Wait()
	close(stop)
	side.Wait()
	eventually(t, "all permits are back", func() bool { return r.gates.Respected() && r.inFlight() == 0 })
	if m.most.Load() > slots {
		t.Errorf("%d in flight at the leaf; the share is %d", m.most.Load(), slots)
	}
	if m.mostOpen.Load() > conns {
		t.Errorf("%d connections at the leaf; the share is %d", m.mostOpen.Load(), conns)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	count := map[contract.Verdict]int{}
	verdicts.Range(func(id, v any) bool {
		runs := m.ran[id.(string)]
		count[v.(contract.Verdict)]++
		switch {
		case runs > 1:
			t.Errorf("%s ran %d times", id, runs)
		case v == contract.NotRun && runs != 0:
			t.Errorf("%s ran and its caller was told that it did not", id)
		case v == contract.Ran && runs != 1:
			t.Errorf("%s ran %d times and its caller was told that it ran", id, runs)
		}
		return true
	})
	for _, v := range []contract.Verdict{contract.NotRun, contract.MayHaveRun, contract.Ran} {
		if count[v] == 0 {
			t.Errorf("the run had the verdicts %v; each was expected", count)
		}
	}
	t.Logf("verdicts %v, %d connections opened", count, m.opened.Load())
	r.sender.Close()
	eventually(t, "no pool is left", func() bool { return r.sender.pool(r.leaf.Addr) == nil })
	if !r.sender.Respected() {
		t.Error("connections are counted over the share with none open")
	}
}

// A leaf ends each connection with its answer, as one that is leaving does, and takes a
// moment to close its end. A daemon that closes and connects anew as soon as it has the
// answer has one connection too many there: the leaf, at its limit, resets one that carries
// a request, and the caller sees a request that may have run.
//
// Evidence: of 80 runs of the test under chaos, 16 at once beside busy loops, one with six
// connections open at a leaf that counts its own ends, and five allowed.
func TestConnectionCountsUntilTheLeafHasClosedIt(t *testing.T) {
	f := newFakeLeafUnstarted()
	f.closesAfter = 50 * time.Millisecond
	f.handle = func(w http.ResponseWriter, r *http.Request, q *contract.LeafRequest) {
		w.Header().Set("Connection", "close")
		answer(w, r, q)
	}
	f.Start()
	t.Cleanup(f.Close)
	r := newRig(t, f.leaf(), 4, Link{Conns: 2})
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 5 {
				if _, err := r.send(context.Background(), t, "1"); err != nil {
					t.Error(err)
				}
			}
		})
	}
	wg.Wait()
	if f.mostOpen.Load() > 2 {
		t.Errorf("%d connections were open at once; the share is 2", f.mostOpen.Load())
	}
}

// A leaf's status handler stands still, and the leaf takes a moment to close the end of
// each connection whose probe has run out of time. A daemon that probes it again on a new
// connection at once has one too many there, and a request on another is reset.
func TestProbeCountsUntilTheLeafHasClosedIt(t *testing.T) {
	f := newFakeLeafUnstarted()
	f.closesAfter = 50 * time.Millisecond
	f.statusH = func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	f.Start()
	t.Cleanup(f.Close)
	r := newRig(t, f.leaf(), 4, Link{Conns: 2})
	for range 10 {
		if _, err := r.sender.probe(r.leaf.Addr, 5*time.Millisecond); err == nil {
			t.Error("a probe that is not answered has a status")
		}
	}
	if f.mostOpen.Load() > 2 {
		t.Errorf("%d connections were open at once; the share is 2", f.mostOpen.Load())
	}
}

// More callers than connections: they wait for one, and the leaf never sees more
// than the share, those being opened included.
func TestConnectionsStayWithinTheShare(t *testing.T) {
	f := newFakeLeaf(t)
	r := newRig(t, f.leaf(), 16, Link{Conns: 3})
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() {
			for range 50 {
				if _, err := r.send(context.Background(), t, "1"); err != nil {
					t.Error(err)
				}
			}
		})
	}
	wg.Wait()
	if f.mostOpen.Load() > 3 || f.opened.Load() > 3 {
		t.Errorf("%d connections at most, %d opened; the share is 3", f.mostOpen.Load(), f.opened.Load())
	}
}

// A share that goes to zero and comes back while a request is in flight counts
// the connection that the request still has.
func TestShareThatComesBackCountsOldConnections(t *testing.T) {
	f := newFakeLeaf(t)
	release := make(chan struct{})
	f.handle = func(w http.ResponseWriter, r *http.Request, q *contract.LeafRequest) {
		if q.ID == "slow" {
			<-release
		}
		answer(w, r, q)
	}
	r := newRig(t, f.leaf(), 2, Link{Conns: 1})
	slow := r.sendAsync(deadline(t, generous), t, "slow")
	eventually(t, "the leaf works", func() bool { return f.inFlight.Load() == 1 })
	r.sender.Limit(r.leaf, Link{})
	if r.sender.Respected() {
		t.Error("a connection is open, the share is 0, and it is said to be respected")
	}
	r.sender.Limit(r.leaf, Link{Conns: 1})
	next := r.sendAsync(deadline(t, generous), t, "next")
	close(release)
	if err := <-slow; err != nil {
		t.Error(err)
	}
	if err := <-next; err != nil {
		t.Error(err)
	}
	if f.mostOpen.Load() != 1 {
		t.Errorf("%d connections were open at once; the share is 1", f.mostOpen.Load())
	}
}

// share is mostly between 1 and most, and 0 now and then.
func share(rnd *rand.Rand, most int) int {
	if rnd.IntN(100) == 0 {
		return 0
	}
	return 1 + rnd.IntN(most)
}

func limits(slots int) admit.Limits { return admit.Limits{Slots: slots, Queue: 16} }
