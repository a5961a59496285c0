package leaf

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pearmoor/internal/contract"
	"pearmoor/internal/settings"
)

// sendAsync sends and returns the channel of the outcome.
func (r *rig) sendAsync(ctx context.Context, t testing.TB, id string) chan error {
	done := make(chan error, 1)
	go func() {
		_, err := r.send(ctx, t, id)
		done <- err
	}()
	return done
}

func (r *rig) inFlight() int { return r.gates.Load(r.leaf.Addr).InFlight }

// The loser of a hedge is cancelled while the leaf works on it and the leaf does
// not notice. The caller goes on at once. The leaf's slot is in use until it is
// done, so the permit must be out until then: else the next request would make
// two at a leaf that has one slot for this daemon.
func TestPermitIsHeldUntilTheLeafIsDone(t *testing.T) {
	Convey("A caller leaves a leaf that goes on working", t, func() {
		f := newFakeLeaf(t)
		release := make(chan struct{})
		f.handle = func(w http.ResponseWriter, r *http.Request, q *contract.LeafRequest) {
			if q.ID == "slow" {
				<-release
			}
			answer(w, r, q)
		}
		r := newRig(t, f.leaf(), 1, Link{Conns: 4})
		ctx, cancel := context.WithCancel(deadline(t, generous))
		done := r.sendAsync(ctx, t, "slow")
		eventually(t, "the leaf works", func() bool { return f.inFlight.Load() == 1 })
		cancel()
		So(contract.VerdictOf(<-done), ShouldEqual, contract.MayHaveRun)
		So(r.inFlight(), ShouldEqual, 1)
		next := r.sendAsync(deadline(t, generous), t, "next")
		eventually(t, "the next waits", func() bool { return r.gates.Load(r.leaf.Addr).Waiting == 1 })
		So(r.inFlight(), ShouldEqual, 1)
		close(release)
		So(<-next, ShouldBeNil)
		So(f.most.Load(), ShouldEqual, 1)
	})
}

// A leaf that honours cancellation is told by the end of the stream from here,
// and its own end of the stream says that it has stopped: the slot is free long
// before the straggler would have been done, on plain and TLS connections.
func TestCancellationReachesTheLeafAndFreesItsSlot(t *testing.T) {
	for _, secure := range []bool{false, true} {
		Convey("A caller leaves a straggler that honours cancellation", t, func() {
			f := newFakeLeaf(t)
			conf := Config{}
			if secure {
				f.Close()
				f = newFakeTLSLeaf(t)
				conf.TLS = f.Client().Transport.(*http.Transport).TLSClientConfig
			}
			f.handle = func(w http.ResponseWriter, r *http.Request, q *contract.LeafRequest) {
				if q.ID != "slow" {
					answer(w, r, q)
					return
				}
				select {
				case <-r.Context().Done():
				case <-time.After(generous):
					t.Error("the leaf was not told")
				}
			}
			r := newRig(t, f.leaf(), 1, Link{})
			r.sender.Close()
			r.sender = NewSender(conf)
			r.sender.Limit(r.leaf, Link{Conns: 4, TLS: secure})
			defer r.sender.Close()
			ctx, cancel := context.WithCancel(deadline(t, generous))
			done := r.sendAsync(ctx, t, "slow")
			eventually(t, "the leaf works", func() bool { return f.inFlight.Load() == 1 })
			cancel()
			So(contract.VerdictOf(<-done), ShouldEqual, contract.MayHaveRun)
			_, err := r.send(deadline(t, generous), t, "next")
			So(err, ShouldBeNil)
			So(f.most.Load(), ShouldEqual, 1)
			eventually(t, "the connection is gone", func() bool { n, _ := r.sender.Conns(r.leaf.Addr); return n == 1 })
		})
	}
}

// The reply of a hedge's loser comes shortly after the winner's. The connection
// cost 6 ms to make and is scarce: the reply is let come in and thrown away,
// and the next request finds the same connection.
func TestLateReplySavesTheConnection(t *testing.T) {
	Convey("A caller leaves shortly before the reply", t, func() {
		f := newFakeLeaf(t)
		release := make(chan struct{})
		f.handle = func(w http.ResponseWriter, r *http.Request, q *contract.LeafRequest) {
			if q.ID == "late" {
				<-release
			}
			answer(w, r, q)
		}
		r := newRig(t, f.leaf(), 1, Link{Conns: 4, ConnectCost: generous})
		ctx, cancel := context.WithCancel(deadline(t, generous))
		done := r.sendAsync(ctx, t, "late")
		eventually(t, "the leaf works", func() bool { return f.inFlight.Load() == 1 })
		cancel()
		<-done
		close(release)
		reply, err := r.send(deadline(t, generous), t, "next")
		So(err, ShouldBeNil)
		So(reply.ID, ShouldEqual, "next")
		So(f.opened.Load(), ShouldEqual, 1)
	})
}

// A leaf answers in full however often it is told to stop. Telling it frees
// nothing and costs a connection each time, so after a few it is told rarely.
func TestLeafThatIgnoresCancelKeepsItsConnections(t *testing.T) {
	Convey("A leaf that ignores cancellation", t, func() {
		f := newFakeLeaf(t)
		release := make(chan struct{})
		f.handle = func(w http.ResponseWriter, r *http.Request, q *contract.LeafRequest) {
			select {
			case <-release:
			case <-time.After(2 * generous):
			}
			answer(w, r, q)
		}
		r := newRig(t, f.leaf(), 1, Link{Conns: 4})
		r.sender.pool(r.leaf.Addr).cost = time.Nanosecond
		const attempts = 20
		for range attempts {
			before := cancelled.Count()
			told := r.sender.pool(r.leaf.Addr).cancelSupport.ignored < ignoresCancelAfter
			ctx, cancel := context.WithCancel(deadline(t, generous))
			done := r.sendAsync(ctx, t, "1")
			eventually(t, "the leaf works", func() bool { return f.inFlight.Load() == 1 })
			cancel()
			<-done
			if told {
				eventually(t, "the leaf is told", func() bool { return cancelled.Count() > before })
				time.Sleep(2 * r.sender.pool(r.leaf.Addr).connectCost()) // what comes sooner has crossed with the word
			}
			select {
			case release <- struct{}{}:
			case <-time.After(generous):
				t.Fatal("the leaf does not wait")
			}
			eventually(t, "the leaf is done", func() bool { return r.inFlight() == 0 })
		}
		So(f.opened.Load(), ShouldBeLessThanOrEqualTo, ignoresCancelAfter+1)
		So(f.most.Load(), ShouldEqual, 1)
	})
}

// A leaf takes a request and is never heard of again. Its slot and connection
// are given up a fixed time after the deadline that it was told, the gate counts
// a failure, and nothing is left behind.
func TestHungLeafIsGivenUp(t *testing.T) {
	Convey("A leaf that hangs", t, func() {
		f := newFakeLeaf(t)
		release := make(chan struct{})
		defer close(release)
		f.handle = func(http.ResponseWriter, *http.Request, *contract.LeafRequest) { <-release }
		r := newRig(t, f.leaf(), 1, Link{Conns: 4})
		r.sender.hold = 50 * time.Millisecond
		for range 3 {
			_, err := r.send(deadline(t, 20*time.Millisecond), t, "1")
			So(contract.VerdictOf(err), ShouldEqual, contract.MayHaveRun)
			So(r.inFlight(), ShouldEqual, 1)
			eventually(t, "the slot is given up", func() bool { return r.inFlight() == 0 })
		}
		So(r.gates.Load(r.leaf.Addr).Failing, ShouldBeTrue)
		n, _ := r.sender.Conns(r.leaf.Addr)
		So(n, ShouldEqual, 0)
	})
}

// The caller leaves while the connection is still being made. It is told that
// the request was not run, so it must never be written afterwards.
func TestLeavingBeforeTheWriteIsNotRun(t *testing.T) {
	Convey("A caller leaves during a handshake that does not end", t, func() {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer lis.Close()
		accepted := make(chan net.Conn, 1)
		go func() {
			if c, err := lis.Accept(); err == nil {
				accepted <- c
			}
		}()
		leaf := settings.Leaf{Name: "a", Addr: lis.Addr().String()}
		r := newRig(t, leaf, 1, Link{Conns: 1, TLS: true})
		ctx, cancel := context.WithCancel(deadline(t, generous))
		done := r.sendAsync(ctx, t, "1")
		c := <-accepted
		cancel()
		So(contract.VerdictOf(<-done), ShouldEqual, contract.NotRun)
		So(r.inFlight(), ShouldEqual, 1)
		c.Close()
		eventually(t, "the permit is back", func() bool { return r.inFlight() == 0 })
	})
}

func newFakeTLSLeaf(t testing.TB) *fakeLeaf {
	f := newFakeLeafUnstarted()
	f.TLS = &tls.Config{}
	f.StartTLS()
	t.Cleanup(f.Close)
	return f
}
