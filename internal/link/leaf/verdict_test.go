package leaf

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"pearmoor/internal/contract"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

type handler = func(w http.ResponseWriter, r *http.Request, q *contract.LeafRequest)

func status(code int, retryAfter string) handler {
	return func(w http.ResponseWriter, _ *http.Request, _ *contract.LeafRequest) {
		if retryAfter != "" {
			w.Header().Set("Retry-After", retryAfter)
		}
		w.WriteHeader(code)
	}
}

func altered(change func(*contract.LeafReply)) handler {
	return func(w http.ResponseWriter, _ *http.Request, q *contract.LeafRequest) {
		reply := replyTo(q)
		change(&reply)
		json.NewEncoder(w).Encode(reply)
	}
}

func raw(body string) handler {
	return func(w http.ResponseWriter, _ *http.Request, _ *contract.LeafRequest) { io.WriteString(w, body) }
}

func cut(w http.ResponseWriter, _ *http.Request, _ *contract.LeafRequest) {
	w.Header().Set("Content-Length", "1000")
	io.WriteString(w, `{"id":"1"`)
	panic(http.ErrAbortHandler)
}

// For each kind of response, the error must have the right verdict and reason. Only a refusal
// that is part of the interface proves that the request did not run; anything else except a
// matching reply leaves it open.
func TestVerdicts(t *testing.T) {
	for _, c := range []struct {
		name    string
		handle  handler
		verdict contract.Verdict
		reason  contract.Reason
	}{
		{"429", status(429, "2"), contract.NotRun, contract.ReasonRefused},
		{"503", status(503, ""), contract.NotRun, contract.ReasonRefused},
		{"409", status(409, ""), contract.NotRun, contract.ReasonNoReplica},
		{"500", status(500, ""), contract.MayHaveRun, contract.ReasonTargetFailed},
		{"400", status(400, ""), contract.MayHaveRun, contract.ReasonTargetFailed},
		{"504", status(504, ""), contract.MayHaveRun, contract.ReasonTargetFailed},
		{"a redirect", status(302, ""), contract.MayHaveRun, contract.ReasonTargetFailed},
		{"of another request", altered(func(r *contract.LeafReply) { r.ID = "x" }), contract.MayHaveRun, contract.ReasonWrongReply},
		{"of another attempt", altered(func(r *contract.LeafReply) { r.Attempt++ }), contract.MayHaveRun, contract.ReasonWrongReply},
		{"of another shard", altered(func(r *contract.LeafReply) { r.Shard++ }), contract.MayHaveRun, contract.ReasonWrongReply},
		{"of another version", altered(func(r *contract.LeafReply) { r.IndexVersion++ }), contract.MayHaveRun, contract.ReasonWrongReply},
		{"of another service", altered(func(r *contract.LeafReply) { r.Service = "/x" }), contract.MayHaveRun, contract.ReasonWrongReply},
		{"not JSON", raw("<html>"), contract.MayHaveRun, contract.ReasonWrongReply},
		{"empty", raw(""), contract.MayHaveRun, contract.ReasonWrongReply},
		{"cut in the body", cut, contract.MayHaveRun, contract.ReasonTargetFailed},
		{"too long", raw(strings.Repeat(" ", replyLimit+1)), contract.MayHaveRun, contract.ReasonTargetFailed},
	} {
		Convey("A reply "+c.name, t, func() {
			f := newFakeLeaf(t)
			f.Config.ErrorLog = quiet()
			f.handle = c.handle
			r := newRig(t, f.leaf(), 1, Link{Conns: 2})
			_, err := r.send(deadline(t, generous), t, "1")
			var e *contract.Error
			So(errors.As(err, &e), ShouldBeTrue)
			So(e.Verdict, ShouldEqual, c.verdict)
			So(e.Reason, ShouldEqual, c.reason)
			if c.name == "429" {
				So(e.RetryAfter, ShouldEqual, 2000)
			}
			So(f.runs.Load(), ShouldEqual, 1)
			So(r.gates.Load(r.leaf.Addr).InFlight, ShouldEqual, 0)
		})
	}
}

// If nothing listens at the leaf's address, the request did not run and the gate must count a
// failure.
func TestNoListenerIsNotRun(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	lis.Close()
	leaf := settings.Leaf{Name: "a", Addr: lis.Addr().String()}
	r := newRig(t, leaf, 1, Link{Conns: 2})
	for range 3 {
		_, err = r.send(deadline(t, generous), t, "1")
		if contract.VerdictOf(err) != contract.NotRun {
			t.Fatalf("error for a refused connection: %v", err)
		}
	}
	if n, _ := r.sender.Conns(leaf.Addr); n != 0 || !r.gates.Load(leaf.Addr).Failing {
		t.Fatalf("%d connections counted and Failing is %v; expected 0 and true", n, r.gates.Load(leaf.Addr).Failing)
	}
}

// A daemon acquires a permit and is then paused until its lease has expired. Another daemon may
// have the slot by then, so nothing may be written.
func TestLapsedLeaseWritesNothing(t *testing.T) {
	Convey("A permit whose lease expired before the write", t, func() {
		f := newFakeLeaf(t)
		r := newRig(t, f.leaf(), 1, Link{Conns: 1})
		_, err := r.send(deadline(t, generous), t, "warm")
		So(err, ShouldBeNil)
		p, ok := r.gates.TryAcquire(r.leaf.Addr)
		So(ok, ShouldBeTrue)
		r.gates.Fence(vm.Now())
		r.gates.Fence(vm.Now().Add(time.Hour))
		_, err = r.sender.Send(deadline(t, generous), r.leaf, request("1"), p)
		var e *contract.Error
		So(errors.As(err, &e), ShouldBeTrue)
		So(e.Verdict, ShouldEqual, contract.NotRun)
		So(e.Reason, ShouldEqual, contract.ReasonUnconfirmed)
		So(f.runs.Load(), ShouldEqual, 1)
		Convey("closes no connection, and the next request is sent", func() {
			_, err := r.send(deadline(t, generous), t, "2")
			So(err, ShouldBeNil)
			So(f.opened.Load(), ShouldEqual, 1)
		})
	})
}

// The lease expires, or the caller leaves and is told that nothing was sent, after the last
// check of the exchange but before the first byte. The first write must check both again.
func TestNothingIsWrittenOnceItMayNot(t *testing.T) {
	for reason, stop := range map[contract.Reason]func(*rig, *exchange){
		contract.ReasonUnconfirmed: func(r *rig, _ *exchange) { r.gates.Fence(vm.Now()) },
		contract.ReasonDeadline:    func(_ *rig, x *exchange) { x.leave() },
	} {
		Convey("Stopped with a connection acquired: "+string(reason), t, func() {
			f := newFakeLeaf(t)
			r := newRig(t, f.leaf(), 1, Link{Conns: 1})
			p, _ := r.gates.TryAcquire(r.leaf.Addr)
			pool := r.sender.pool(r.leaf.Addr)
			c, err := pool.get(deadline(t, generous))
			So(err, ShouldBeNil)
			x := &exchange{pool: pool, permit: p, clock: vm.Now, req: *request("1"), cancel: func() {}, done: make(chan struct{})}
			x.setConn(c)
			stop(r, x)
			out := x.roundTrip(c)
			So(out.err.Verdict, ShouldEqual, contract.NotRun)
			So(out.err.Reason, ShouldEqual, reason)
			So(out.dead, ShouldBeFalse)
			So(f.runs.Load(), ShouldEqual, 0)
			p.Release()
		})
	}
}

// The deadline that is sent to the leaf must not exceed the remaining time of the lease, so that
// a request does not run on the leaf after the lease has expired.
func TestDeadlineNeverOutlivesTheLease(t *testing.T) {
	f := newFakeLeaf(t)
	told := make(chan int64, 1)
	f.handle = func(w http.ResponseWriter, r *http.Request, q *contract.LeafRequest) {
		told <- q.DeadlineMS
		answer(w, r, q)
	}
	r := newRig(t, f.leaf(), 1, Link{Conns: 1})
	r.gates.Fence(vm.Now().Add(5 * time.Second))
	if _, err := r.send(deadline(t, time.Hour), t, "1"); err != nil {
		t.Fatal(err)
	}
	if d := <-told; d > 5000 || d < 1 {
		t.Fatalf("the leaf received a deadline of %d ms; the lease is 5000 ms", d)
	}
}
