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

// sendAsync starts a request and returns a channel that receives its error.
func (r *fixture) sendAsync(ctx context.Context, t testing.TB, id string) chan error {
	done := make(chan error, 1)
	go func() {
		_, err := r.send(ctx, t, id)
		done <- err
	}()
	return done
}

func (r *fixture) inFlight() int { return r.gates.Load(r.leaf.Addr).InFlight }

// A caller cancels a request, such as the loser of a hedge, and the leaf does not notice. Send
// must return at once, but the permit must be held until the leaf has finished: otherwise the
// next request would be the second one on a leaf that has one slot for this daemon.
func TestPermitIsHeldUntilLeafIsDone(t *testing.T) {
	Convey("A caller cancels a request that the leaf continues to process", t, func() {
		f := newFakeLeaf(t)
		release := make(chan struct{})
		f.handle = func(w http.ResponseWriter, r *http.Request, q *contract.LeafRequest) {
			if q.ID == "slow" {
				<-release
			}
			writeReply(w, r, q)
		}
		r := newFixture(t, f.leaf(), 1, ConnConfig{MaxConns: 4})
		ctx, cancel := context.WithCancel(contextWithTimeout(t, testTimeout))
		done := r.sendAsync(ctx, t, "slow")
		eventually(t, "the leaf runs the request", func() bool { return f.inFlight.Load() == 1 })
		cancel()
		So(contract.VerdictOf(<-done), ShouldEqual, contract.MayHaveRun)
		So(r.inFlight(), ShouldEqual, 1)
		next := r.sendAsync(contextWithTimeout(t, testTimeout), t, "next")
		eventually(t, "the next request waits", func() bool { return r.gates.Load(r.leaf.Addr).Waiting == 1 })
		So(r.inFlight(), ShouldEqual, 1)
		close(release)
		So(<-next, ShouldBeNil)
		So(f.maxInFlight.Load(), ShouldEqual, 1)
	})
}

// A leaf that honours cancellation stops when the write side of the connection is shut down,
// and closes the connection, which must free the slot long before the straggler would have
// finished. This must hold for plain and for TLS connections.
func TestCancellationReachesLeafAndFreesSlot(t *testing.T) {
	for _, secure := range []bool{false, true} {
		Convey("A caller cancels a request on a leaf that honours cancellation", t, func() {
			f := newFakeLeaf(t)
			conf := Config{}
			if secure {
				f.Close()
				f = newFakeTLSLeaf(t)
				conf.TLS = f.Client().Transport.(*http.Transport).TLSClientConfig
			}
			f.handle = func(w http.ResponseWriter, r *http.Request, q *contract.LeafRequest) {
				if q.ID != "slow" {
					writeReply(w, r, q)
					return
				}
				select {
				case <-r.Context().Done():
				case <-time.After(testTimeout):
					t.Error("the cancellation did not reach the leaf")
				}
			}
			r := newFixture(t, f.leaf(), 1, ConnConfig{})
			r.sender.Close()
			r.sender = NewSender(conf)
			r.sender.Configure(r.leaf, ConnConfig{MaxConns: 4, TLS: secure})
			defer r.sender.Close()
			ctx, cancel := context.WithCancel(contextWithTimeout(t, testTimeout))
			done := r.sendAsync(ctx, t, "slow")
			eventually(t, "the leaf runs the request", func() bool { return f.inFlight.Load() == 1 })
			cancel()
			So(contract.VerdictOf(<-done), ShouldEqual, contract.MayHaveRun)
			_, err := r.send(contextWithTimeout(t, testTimeout), t, "next")
			So(err, ShouldBeNil)
			So(f.maxInFlight.Load(), ShouldEqual, 1)
			eventually(t, "the cancelled connection is closed", func() bool { n, _ := r.sender.ConnStats(r.leaf.Addr); return n == 1 })
		})
	}
}

// The reply to the loser of a hedge often arrives shortly after the winner's. Opening a
// connection takes about 6 ms and their number is limited, so the late reply must be read and
// discarded, and the next request must reuse the connection.
func TestLateReplyKeepsConnection(t *testing.T) {
	Convey("A caller cancels shortly before the reply arrives", t, func() {
		f := newFakeLeaf(t)
		release := make(chan struct{})
		f.handle = func(w http.ResponseWriter, r *http.Request, q *contract.LeafRequest) {
			if q.ID == "late" {
				<-release
			}
			writeReply(w, r, q)
		}
		r := newFixture(t, f.leaf(), 1, ConnConfig{MaxConns: 4, ConnectTime: testTimeout})
		ctx, cancel := context.WithCancel(contextWithTimeout(t, testTimeout))
		done := r.sendAsync(ctx, t, "late")
		eventually(t, "the leaf runs the request", func() bool { return f.inFlight.Load() == 1 })
		cancel()
		<-done
		close(release)
		reply, err := r.send(contextWithTimeout(t, testTimeout), t, "next")
		So(err, ShouldBeNil)
		So(reply.ID, ShouldEqual, "next")
		So(f.connsAccepted.Load(), ShouldEqual, 1)
	})
}

// A leaf that ignores cancellation always sends a complete reply. Each cancellation sent to it
// frees no slot and costs a connection, so after a few it must be sent rarely.
func TestLeafIgnoringCancelKeepsConnections(t *testing.T) {
	Convey("A leaf that ignores cancellation", t, func() {
		f := newFakeLeaf(t)
		release := make(chan struct{})
		f.handle = func(w http.ResponseWriter, r *http.Request, q *contract.LeafRequest) {
			select {
			case <-release:
			case <-time.After(2 * testTimeout):
			}
			writeReply(w, r, q)
		}
		r := newFixture(t, f.leaf(), 1, ConnConfig{MaxConns: 4})
		r.sender.pool(r.leaf.Addr).connectTime = time.Nanosecond
		const attempts = 20
		for range attempts {
			before := attemptsCancelled.Count()
			expectCancel := r.sender.pool(r.leaf.Addr).cancelSupport.ignored < cancelIgnoredThreshold
			ctx, cancel := context.WithCancel(contextWithTimeout(t, testTimeout))
			done := r.sendAsync(ctx, t, "1")
			eventually(t, "the leaf runs the request", func() bool { return f.inFlight.Load() == 1 })
			cancel()
			<-done
			if expectCancel {
				eventually(t, "the cancellation is sent", func() bool { return attemptsCancelled.Count() > before })
				time.Sleep(2 * r.sender.pool(r.leaf.Addr).expectedConnectTime()) // an earlier reply would not count as an ignored cancellation
			}
			select {
			case release <- struct{}{}:
			case <-time.After(testTimeout):
				t.Fatal("the leaf's handler is not waiting")
			}
			eventually(t, "the leaf has finished", func() bool { return r.inFlight() == 0 })
		}
		So(f.connsAccepted.Load(), ShouldBeLessThanOrEqualTo, cancelIgnoredThreshold+1)
		So(f.maxInFlight.Load(), ShouldEqual, 1)
	})
}

// A leaf accepts a request and never replies. Its slot and connection must be released a fixed
// time after the deadline, and the gate must count a failure. Otherwise hung leaves would hold
// slots and connections forever.
func TestHungLeafIsAbandoned(t *testing.T) {
	Convey("A leaf that hangs", t, func() {
		f := newFakeLeaf(t)
		release := make(chan struct{})
		defer close(release)
		f.handle = func(http.ResponseWriter, *http.Request, *contract.LeafRequest) { <-release }
		r := newFixture(t, f.leaf(), 1, ConnConfig{MaxConns: 4})
		r.sender.abandonTimeout = 50 * time.Millisecond
		for range 3 {
			_, err := r.send(contextWithTimeout(t, 20*time.Millisecond), t, "1")
			So(contract.VerdictOf(err), ShouldEqual, contract.MayHaveRun)
			So(r.inFlight(), ShouldEqual, 1)
			eventually(t, "the slot is released", func() bool { return r.inFlight() == 0 })
		}
		So(r.gates.Load(r.leaf.Addr).Failing, ShouldBeTrue)
		n, _ := r.sender.ConnStats(r.leaf.Addr)
		So(n, ShouldEqual, 0)
	})
}

// A caller that cancels while the connection is still being opened is told that the request
// did not run, so the request must not be written afterwards.
func TestCancelBeforeWriteIsNotRun(t *testing.T) {
	Convey("A caller cancels during a TLS handshake that never completes", t, func() {
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
		r := newFixture(t, leaf, 1, ConnConfig{MaxConns: 1, TLS: true})
		ctx, cancel := context.WithCancel(contextWithTimeout(t, testTimeout))
		done := r.sendAsync(ctx, t, "1")
		c := <-accepted
		cancel()
		So(contract.VerdictOf(<-done), ShouldEqual, contract.NotRun)
		So(r.inFlight(), ShouldEqual, 1)
		c.Close()
		eventually(t, "the permit is returned", func() bool { return r.inFlight() == 0 })
	})
}

func newFakeTLSLeaf(t testing.TB) *fakeLeaf {
	f := newFakeLeafUnstarted()
	f.TLS = &tls.Config{}
	f.StartTLS()
	t.Cleanup(f.Close)
	return f
}
