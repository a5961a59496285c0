package leaf

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pearmoor/internal/contract"
	"pearmoor/internal/settings"
)

// closingLeaf is a leaf that answers the first request of each connection, reads the second one
// completely and closes the connection without a reply.
type closingLeaf struct {
	net.Listener
	runs atomic.Int64
	wg   sync.WaitGroup
}

func newClosingLeaf(t *testing.T) *closingLeaf {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &closingLeaf{Listener: lis}
	d.wg.Go(func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			d.wg.Go(func() { d.serve(c) })
		}
	})
	t.Cleanup(func() { lis.Close(); d.wg.Wait() })
	return d
}

func (d *closingLeaf) serve(c net.Conn) {
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	r := bufio.NewReader(c)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		d.runs.Add(1)
		if n == 2 {
			return
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 70\r\n\r\n"+
			`{"id":"1","attempt":1,"service":"/s","shard":3,"index_version":7   }   `[:70])
	}
}

// A leaf crashes after it has read a request on a reused connection. The verdict must be
// MayHaveRun, and the leaf must have received the request once. An HTTP client that considers
// the request idempotent would resend it, and a fee would be charged twice although the verdict
// accounts for one attempt.
func TestRequestIsNotResent(t *testing.T) {
	Convey("A leaf reads the second request of a connection and closes it", t, func() {
		d := newClosingLeaf(t)
		leaf := settings.Leaf{Name: "a", Addr: d.Addr().String()}
		r := newFixture(t, leaf, 1, ConnConfig{MaxConns: 4})
		_, err := r.send(contextWithTimeout(t, testTimeout), t, "1")
		So(err, ShouldBeNil)
		_, err = r.send(contextWithTimeout(t, testTimeout), t, "2")
		So(err, ShouldNotBeNil)
		So(contract.VerdictOf(err), ShouldEqual, contract.MayHaveRun)
		So(d.runs.Load(), ShouldEqual, 2)
		So(r.gates.Load(leaf.Addr).InFlight, ShouldEqual, 0)
	})
	Convey("By contrast, net/http's transport resends such a request with an Idempotency-Key", t, func() {
		d := newClosingLeaf(t)
		tr := &http.Transport{}
		defer tr.CloseIdleConnections()
		post := func() error {
			req, err := http.NewRequest(http.MethodPost, "http://"+d.Addr().String(), bytes.NewReader([]byte("{}")))
			So(err, ShouldBeNil)
			req.Header.Set("Idempotency-Key", "1")
			resp, err := tr.RoundTrip(req)
			if err == nil {
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
			return err
		}
		So(post(), ShouldBeNil)
		So(post(), ShouldBeNil)
		So(d.runs.Load(), ShouldEqual, 3)
	})
}

// Servers close idle connections. The next request must then be sent on a new connection
// without an error: nothing was written on the closed one, so the request cannot have run.
func TestClosedIdleConnectionIsReplaced(t *testing.T) {
	Convey("After the leaf has closed its idle connections", t, func() {
		f := newFakeLeaf(t)
		r := newFixture(t, f.leaf(), 1, ConnConfig{MaxConns: 1})
		for range 20 {
			_, err := r.send(contextWithTimeout(t, testTimeout), t, "1")
			So(err, ShouldBeNil)
			f.CloseClientConnections()
			eventually(t, "both sides have closed the connection", func() bool {
				n, _ := r.sender.ConnStats(r.leaf.Addr)
				return n == 0 && f.connsOpen.Load() == 0
			})
		}
		So(f.runs.Load(), ShouldEqual, 20)
		So(f.connsAccepted.Load(), ShouldEqual, 20)
	})
}
