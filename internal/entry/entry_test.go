package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"pearmoor/internal/contract"
	"pearmoor/internal/relay"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

const (
	testNow  = vm.Instant(1000)
	testWait = 20 * time.Second
)

type fakeEngine struct {
	run func(ctx context.Context, id string, r *contract.Request) (*contract.Answer, error)
}

func (f *fakeEngine) Query(ctx context.Context, id string, r *contract.Request) (*contract.Answer, error) {
	return f.run(ctx, id, r)
}

func (f *fakeEngine) IssueSession() string { return "session-1" }

type fakeSource struct{ view *relay.View }

func (f *fakeSource) Current() *relay.View     { return f.view }
func (f *fakeSource) Changed() <-chan struct{} { return nil }

func testView(t testing.TB) *relay.View {
	tree, err := settings.New().Apply(1, []settings.Edit{
		{Path: "/desk/a", Name: "leaves", Value: "l1=127.0.0.1:9001@hall-0"},
		{Path: "/desk/a", Name: "body-limit", Value: "1KiB"},
	})
	if err != nil {
		t.Fatal(err)
	}
	m := &vm.Membership{Epoch: 1}
	for i := range 3 {
		m.Members = append(m.Members, vm.Member{Phase: vm.Serving, Identity: vm.Identity{
			Name: fmt.Sprintf("e%d", i), Incarnation: 1, Domain: fmt.Sprintf("hall-%d", i),
			CallerAddr: fmt.Sprintf("http://127.0.0.1:%d", 7000+i),
		}})
	}
	return &relay.View{ConfigVersion: 1, InForce: 1, Tree: tree, Settled: m, LeaseEnd: testNow + 1}
}

func testServer(t testing.TB, engine *fakeEngine, draining bool) *Server {
	view := testView(t)
	s, err := New(Config{
		Self:     view.Settled.Members[0].Identity,
		Engine:   engine,
		Source:   &fakeSource{view: view},
		Clock:    func() vm.Instant { return testNow },
		Draining: func() bool { return draining },
	})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// recorder is a ResponseRecorder that counts the write deadlines set.
type recorder struct {
	*httptest.ResponseRecorder
	deadlines int
}

func newRecorder() *recorder { return &recorder{ResponseRecorder: httptest.NewRecorder()} }

// SetWriteDeadline is called by http.ResponseController.
func (r *recorder) SetWriteDeadline(time.Time) error {
	r.deadlines++
	return nil
}

func post(s *Server, body string) (*recorder, contract.Failure) {
	w := newRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, QueryPath, strings.NewReader(body)))
	var f contract.Failure
	_ = json.Unmarshal(w.Body.Bytes(), &f)
	return w, f
}

const goodRequest = `{"path":"/desk/a","body":{"q":"x"}}`

// A caller decides by status and verdict whether to resend. HTTP clients resend
// automatically on 429 and 503, so neither may be returned for a request that may
// have run, whatever error the engine returned.
func TestFailureStatusAndVerdict(t *testing.T) {
	cases := []struct {
		name    string
		err     error
		status  int
		verdict contract.Verdict
		retry   string
	}{
		{"faults", contract.Faults{{Field: "deadline_ms"}}, 400, contract.NotRun, ""},
		{"unknown path", contract.Refuse(contract.ReasonUnknownPath, nil), 404, contract.NotRun, ""},
		{"overload", &contract.Error{Verdict: contract.NotRun, Reason: contract.ReasonOverload, RetryAfter: 1200}, 429, contract.NotRun, "2"},
		{"overload in doubt", &contract.Error{Reason: contract.ReasonOverload}, 502, contract.MayHaveRun, ""},
		{"unconfirmed", contract.Refuse(contract.ReasonUnconfirmed, nil), 503, contract.NotRun, "1"},
		{"home lost, not sent", contract.Refuse(contract.ReasonHomeUnreachable, nil), 503, contract.NotRun, "1"},
		{"home lost in doubt", &contract.Error{Reason: contract.ReasonHomeUnreachable}, 502, contract.MayHaveRun, ""},
		{"deadline", &contract.Error{Reason: contract.ReasonDeadline}, 504, contract.MayHaveRun, ""},
		{"key in doubt", &contract.Error{Reason: contract.ReasonKeyInDoubt}, 409, contract.MayHaveRun, ""},
		{"key in progress", contract.Refuse(contract.ReasonKeyInProgress, nil), 409, contract.NotRun, ""},
		{"untyped", errors.New("unexpected"), 500, contract.MayHaveRun, ""},
		{"wrapped", errors.Wrap(contract.Refuse(contract.ReasonDraining, nil), "home e2"), 503, contract.NotRun, "1"},
	}
	Convey("Each failure has its status, verdict and Retry-After", t, func() {
		for _, c := range cases {
			s := testServer(t, &fakeEngine{run: func(context.Context, string, *contract.Request) (*contract.Answer, error) {
				return nil, c.err
			}}, false)
			w, f := post(s, goodRequest)
			So(w.Code, ShouldEqual, c.status)
			So(f.Verdict, ShouldEqual, c.verdict)
			So(w.Header().Get("Retry-After"), ShouldEqual, c.retry)
			So(f.RequestID, ShouldNotBeEmpty)
			So(f.RequestID, ShouldEqual, w.Header().Get("X-Request-ID"))
		}
	})

	// The engine panics during a request. net/http would only close the connection;
	// the caller must be told that its request may have run.
	Convey("A panic is answered with may_have_run", t, func() {
		s := testServer(t, &fakeEngine{run: func(context.Context, string, *contract.Request) (*contract.Answer, error) {
			panic("broken")
		}}, false)
		w, f := post(s, goodRequest)
		So(w.Code, ShouldEqual, 500)
		So(f.Verdict, ShouldEqual, contract.MayHaveRun)
		So(f.Reason, ShouldEqual, contract.ReasonInternal)
	})
}

func TestBadRequests(t *testing.T) {
	engineCalls := 0
	s := testServer(t, &fakeEngine{run: func(context.Context, string, *contract.Request) (*contract.Answer, error) {
		engineCalls++
		return &contract.Answer{}, nil
	}}, false)
	Convey("Bad requests never reach the engine and name the field", t, func() {
		cases := []struct {
			body, field string
			status      int
		}{
			{``, "request", 400},
			{`{"path":`, "request", 400},
			{`[]`, "", 400},
			{`{"path":"/desk/a","body":{},"colour":1}`, "colour", 400},
			{`{"path":"/desk/a","body":{}} {}`, "request", 400},
			{`{"path":7}`, "path", 400},
			{`{"path":"/desk/a","body":"` + strings.Repeat("x", 2<<10) + `"}`, "body", 413},
			{`{"path":"/desk/a","body":"` + strings.Repeat("x", 2<<20) + `"}`, "request", 413},
		}
		for _, c := range cases {
			w, f := post(s, c.body)
			So(w.Code, ShouldEqual, c.status)
			So(f.Verdict, ShouldEqual, contract.NotRun)
			So(len(f.Faults), ShouldBeGreaterThan, 0)
			So(f.Faults[0].Field, ShouldEqual, c.field)
		}
		So(engineCalls, ShouldEqual, 0)
	})
	Convey("Unknown routes and methods are answered in JSON", t, func() {
		for target, status := range map[string]int{"/v2/query": 404, QueryPath: 405} {
			w := newRecorder()
			s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, target, nil))
			var f contract.Failure
			So(json.Unmarshal(w.Body.Bytes(), &f), ShouldBeNil)
			So(w.Code, ShouldEqual, status)
			So(f.Verdict, ShouldEqual, contract.NotRun)
		}
	})
}

// A caller resends a request that is not repeatable to a daemon that has just started,
// or after body-limit was lowered below the size of the request. The daemon can't know
// whether the request ran: on not_run the caller would run it a second time.
func TestNonRepeatableResendIsNeverReportedNotRun(t *testing.T) {
	const requestFormat = `{"path":"/desk/a","repeatable":false,"key":"fee-1","session":"s-1","body":"%s"}`
	Convey("A request that is not repeatable", t, func() {
		engineCalls := 0
		engine := &fakeEngine{run: func(context.Context, string, *contract.Request) (*contract.Answer, error) {
			engineCalls++
			return &contract.Answer{Verdict: contract.Ran}, nil
		}}
		Convey("gets may_have_run from a daemon without a configuration", func() {
			s := testServer(t, engine, false)
			s.conf.Source.(*fakeSource).view = nil
			w, f := post(s, fmt.Sprintf(requestFormat, "x"))
			So(w.Code, ShouldEqual, 409)
			So(f.Verdict, ShouldEqual, contract.MayHaveRun)
			w, f = post(s, goodRequest) // a repeatable request is reported not_run
			So(w.Code, ShouldEqual, 503)
			So(f.Verdict, ShouldEqual, contract.NotRun)
			So(engineCalls, ShouldEqual, 0)
		})
		Convey("reaches the engine although its body exceeds the limit of its path", func() {
			w, _ := post(testServer(t, engine, false), fmt.Sprintf(requestFormat, strings.Repeat("x", 2<<10)))
			So(w.Code, ShouldEqual, 200)
			So(engineCalls, ShouldEqual, 1)
		})
	})
	Convey("The read limit never decreases", t, func() {
		tree := func(limit string) *relay.View {
			v, err := settings.New().Apply(1, []settings.Edit{
				{Path: "/desk/a", Name: "leaves", Value: "l1=127.0.0.1:9001@hall-0"},
				{Path: "/", Name: "body-limit", Value: limit},
			})
			So(err, ShouldBeNil)
			return &relay.View{Tree: v}
		}
		var b readLimit
		So(b.forView(nil), ShouldEqual, defaultReadLimit)
		high, low := tree("8MiB"), tree("2MiB")
		high.ConfigVersion, low.ConfigVersion = 1, 2
		So(b.forView(high), ShouldEqual, 8<<20+requestOverhead)
		So(b.forView(low), ShouldEqual, 8<<20+requestOverhead)
	})
}

func getAddresses(s *Server, path string) (int, contract.Addresses) {
	w := newRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, AddressesPath+"?service="+path, nil))
	var a contract.Addresses
	_ = json.Unmarshal(w.Body.Bytes(), &a)
	return w.Code, a
}

func TestAddresses(t *testing.T) {
	Convey("The address list", t, func() {
		Convey("has addresses, a lifetime and a session", func() {
			status, a := getAddresses(testServer(t, nil, false), "/desk/a")
			So(status, ShouldEqual, 200)
			So(len(a.Addresses), ShouldEqual, 3)
			So(a.LifetimeMS, ShouldBeBetweenOrEqual, 24000, 30000)
			So(a.Session, ShouldEqual, "session-1")
		})
		// The session in a list is valid only until its daemon stops, and the list of a
		// daemon without a lease may name daemons that have left. The caller's
		// non-repeatable requests would fail for the whole lifetime of the list.
		Convey("is refused by a daemon that is draining or has no lease", func() {
			status, _ := getAddresses(testServer(t, nil, true), "/desk/a")
			So(status, ShouldEqual, 503)
			s := testServer(t, nil, false)
			s.conf.Source.(*fakeSource).view.LeaseEnd = testNow
			status, _ = getAddresses(s, "/desk/a")
			So(status, ShouldEqual, 503)
		})
		Convey("is a 404 for an unknown path, and a 400 without a path", func() {
			status, _ := getAddresses(testServer(t, nil, false), "/nowhere")
			So(status, ShouldEqual, 404)
			status, _ = getAddresses(testServer(t, nil, false), "")
			So(status, ShouldEqual, 400)
		})
	})
}

// A planned stop begins while a query runs. Serve must wait for the query, and the
// caller must receive its complete answer.
func TestGracefulShutdown(t *testing.T) {
	Convey("Serve finishes the request in flight", t, func() {
		started, release := make(chan struct{}), make(chan struct{})
		s := testServer(t, &fakeEngine{run: func(context.Context, string, *contract.Request) (*contract.Answer, error) {
			close(started)
			<-release
			hits := make([]contract.ServiceHit, 5000)
			return &contract.Answer{Verdict: contract.Ran, Hits: hits}, nil
		}}, false)
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- s.Serve(ctx, lis, nil) }()
		type outcome struct {
			body []byte
			err  error
		}
		got := make(chan outcome, 1)
		go func() {
			resp, err := http.Post("http://"+lis.Addr().String()+QueryPath, "application/json", strings.NewReader(goodRequest))
			if err != nil {
				got <- outcome{err: err}
				return
			}
			defer resp.Body.Close()
			raw, err := io.ReadAll(resp.Body)
			got <- outcome{body: raw, err: err}
		}()
		<-started
		cancel()
		close(release)
		out := <-got
		So(out.err, ShouldBeNil)
		var a contract.Answer
		So(json.Unmarshal(out.body, &a), ShouldBeNil)
		So(len(a.Hits), ShouldEqual, 5000)
		select {
		case err := <-done:
			So(err, ShouldBeNil)
		case <-time.After(testWait):
			t.Fatal("Serve did not return")
		}
	})
}

// Each chunk of an answer must have its own write deadline. A caller on a slow network
// needs longer than one deadline for a large answer and must receive all of it; a
// caller that reads nothing must not hold its connection forever.
func TestEachChunkSetsWriteDeadline(t *testing.T) {
	Convey("Each chunk of an answer sets a new deadline", t, func() {
		s := testServer(t, &fakeEngine{run: func(context.Context, string, *contract.Request) (*contract.Answer, error) {
			return &contract.Answer{Verdict: contract.Ran, ServedBy: strings.Repeat("x", 3*writeChunkBytes)}, nil
		}}, false)
		w, _ := post(s, goodRequest)
		So(w.Code, ShouldEqual, 200)
		So(w.deadlines, ShouldEqual, 4)
		So(w.Body.Len(), ShouldBeGreaterThan, 3*writeChunkBytes)
	})
}

// A draining daemon must close each connection after its answer. On a connection that
// is kept until the listener closes, a request sent during the close is lost, and the
// caller does not know whether it ran.
func TestDrainingClosesConnections(t *testing.T) {
	Convey("A draining daemon closes the connection after each answer", t, func() {
		engine := &fakeEngine{run: func(context.Context, string, *contract.Request) (*contract.Answer, error) {
			return &contract.Answer{Verdict: contract.Ran}, nil
		}}
		for _, draining := range []bool{false, true} {
			server := httptest.NewServer(testServer(t, engine, draining))
			resp, err := http.Post(server.URL+QueryPath, "application/json", strings.NewReader(goodRequest))
			So(err, ShouldBeNil)
			So(resp.Body.Close(), ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, 200)
			So(resp.Close, ShouldEqual, draining)
			server.Close()
		}
	})
}

// FuzzQuery sends arbitrary bytes as the request body. The answer must be JSON with a
// verdict, and the status is 200 only if the engine ran the request.
func FuzzQuery(f *testing.F) {
	for _, seed := range []string{goodRequest, ``, `{`, `{"path":1}`, `null`, `{"path":"/desk/a","body":null,"deadline_ms":-1}`, "\xff\xfe{}"} {
		f.Add([]byte(seed))
	}
	s := testServer(f, &fakeEngine{run: func(_ context.Context, id string, r *contract.Request) (*contract.Answer, error) {
		return &contract.Answer{RequestID: id, Verdict: contract.Ran}, nil
	}}, false)
	f.Fuzz(func(t *testing.T, body []byte) {
		w := newRecorder()
		s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, QueryPath, bytes.NewReader(body)))
		var out struct {
			Verdict contract.Verdict `json:"verdict"`
		}
		if err := json.Unmarshal(w.Body.Bytes(), &out); err != nil {
			t.Fatalf("status %d: %v", w.Code, err)
		}
		if (w.Code == http.StatusOK) != (out.Verdict == contract.Ran) {
			t.Fatalf("status %d with verdict %v", w.Code, out.Verdict)
		}
	})
}
