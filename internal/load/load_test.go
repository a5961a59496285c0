package load

import (
	"context"
	"encoding/json"
	"math"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"pearmoor/internal/contract"
	"pearmoor/internal/standin"
)

// A tier answers no request until the last scheduled one has arrived. A closed-loop load
// generator would never send that one, and latency measured from the send would hide the
// wait. The result must show that the first request waited for the whole schedule.
func TestNoCoordinatedOmission(t *testing.T) {
	const n, gap = 200, time.Millisecond
	e := startFakeEntry(t)
	var arrived sync.WaitGroup
	arrived.Add(n)
	e.reply = func(http.ResponseWriter, *contract.Request) bool {
		arrived.Done()
		arrived.Wait()
		return false
	}
	res, err := Run(context.Background(), Config{
		EntryURLs: []string{e.URL}, Paths: []string{testPath}, Callers: 1,
		Rate: float64(time.Second / gap), Arrivals: Constant, Duration: (n + 1) * gap, Deadline: time.Minute,
	})
	if err != nil {
		t.Fatal(err)
	}
	if res.Scheduled != n || res.Answered != n || res.Check.HasErrors() {
		t.Fatalf("%+v", res)
	}
	span := float64((n - 1) * gap.Milliseconds())
	if res.Answers.Max < span*0.99 { // the histogram has three significant digits
		t.Fatalf("the first request waited at least %.0f ms, maximum latency in the result is %.1f", span, res.Answers.Max)
	}
}

// The load generator reaches its own limit of requests in flight. Requests that it can't
// start must be counted: otherwise the result would show a lower load than scheduled.
func TestSkippedArrivalsAreCounted(t *testing.T) {
	e := startFakeEntry(t)
	release := make(chan struct{})
	e.reply = func(http.ResponseWriter, *contract.Request) bool { <-release; return false }
	done := make(chan *Result)
	go func() {
		res, _ := Run(context.Background(), Config{
			EntryURLs: []string{e.URL}, Paths: []string{testPath}, MaxInFlight: 3,
			Rate: 1000, Arrivals: Constant, Duration: 50 * time.Millisecond, Deadline: time.Minute,
		})
		done <- res
	}()
	time.AfterFunc(100*time.Millisecond, func() { close(release) })
	res := <-done
	if res.Scheduled != 49 || res.Skipped+res.Answered != 49 || res.Answered < 3 {
		t.Fatalf("%+v", res)
	}
}

func TestScheduleRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(10, 5000).Draw(t, "rate")
		seed := rapid.Uint64().Draw(t, "seed")
		for _, a := range []Arrivals{Poisson, Constant} {
			const span = 100 * time.Second
			s, err := NewSchedule(a, rate, span, seed)
			if err != nil {
				t.Fatal(err)
			}
			n, last := 0, time.Duration(0)
			for at, ok := s.Next(); ok; at, ok = s.Next() {
				if at < last {
					t.Fatalf("start %v after %v", at, last)
				}
				last = at
				n++
			}
			// Six standard deviations of a Poisson count.
			want, slack := rate*span.Seconds(), 6*rate*span.Seconds()/max(1, math.Sqrt(rate*span.Seconds()))
			if float64(n) < want-slack-1 || float64(n) > want+slack+1 {
				t.Fatalf("%s: %d starts, want about %.0f", a, n, want)
			}
		}
	})
}

func TestCallerFailover(t *testing.T) {
	Convey("A caller", t, func() {
		first, second := startFakeEntry(t), startFakeEntry(t)
		first.list = addressesOf(first.URL, second.URL)
		cfg := Config{EntryURLs: []string{first.URL}, Paths: []string{testPath}, Callers: 1,
			Rate: 1000, Arrivals: Constant, Duration: 20 * time.Millisecond, Deadline: 10 * time.Second}
		Convey("fails over to the next address if one is draining", func() {
			first.reply = func(w http.ResponseWriter, _ *contract.Request) bool {
				return refuse(w, contract.Failure{Verdict: contract.NotRun, Reason: contract.ReasonDraining})
			}
			res, err := Run(context.Background(), cfg)
			So(err, ShouldBeNil)
			So(res.Answered, ShouldEqual, res.Scheduled)
			So(res.Failovers, ShouldEqual, res.Scheduled)
		})
		Convey("asks another daemon if a draining one returns a list without a session", func() {
			first.list = addressesOf(second.URL)
			first.list.Session = ""
			var mu sync.Mutex
			sessions := map[string]bool{}
			second.reply = func(_ http.ResponseWriter, q *contract.Request) bool {
				mu.Lock()
				defer mu.Unlock()
				sessions[q.Session] = true
				return false
			}
			cfg.NonRepeatableShare = 1
			res, err := Run(context.Background(), cfg)
			So(err, ShouldBeNil)
			So(res.NonRepeatable.Ran, ShouldEqual, res.Scheduled)
			So(sessions, ShouldResemble, map[string]bool{"session-1": true})
		})
		Convey("does not fail over after a refusal for overload", func() {
			first.reply = func(w http.ResponseWriter, _ *contract.Request) bool {
				return refuse(w, contract.Failure{Verdict: contract.NotRun, Reason: contract.ReasonOverload})
			}
			res, err := Run(context.Background(), cfg)
			So(err, ShouldBeNil)
			So(res.Refused, ShouldEqual, res.Scheduled)
			So(res.Reasons[contract.ReasonOverload], ShouldEqual, res.Scheduled)
		})
		Convey("fails over after a broken connection under the same session and key", func() {
			var mu sync.Mutex
			seen := map[string]int{}
			note := func(q *contract.Request) {
				mu.Lock()
				defer mu.Unlock()
				seen[q.Session+" "+q.Key]++
			}
			first.reply = func(_ http.ResponseWriter, q *contract.Request) bool {
				note(q)
				panic(http.ErrAbortHandler)
			}
			second.reply = func(_ http.ResponseWriter, q *contract.Request) bool { note(q); return false }
			cfg.NonRepeatableShare = 1
			cfg.Callers = 100 // one for each request, since a caller avoids a daemon after a failure
			res, err := Run(context.Background(), cfg)
			So(err, ShouldBeNil)
			So(res.NonRepeatable.Ran, ShouldEqual, res.Scheduled)
			So(res.NonRepeatable.Resends, ShouldEqual, res.Scheduled)
			So(len(seen), ShouldEqual, res.Scheduled)
			for _, times := range seen {
				So(times, ShouldEqual, 2)
			}
		})
	})
}

// The context of a caller has ended before it requests an address list, as after a stall of
// the machine. The outcome must be an error: the caller must not use the missing list.
func TestCallerWithEndedContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c := newCaller(http.DefaultClient, []string{"http://127.0.0.1:1"})
	o := c.Query(ctx, contract.Request{Path: testPath}, time.Now())
	if o.Answer != nil || o.Err == nil {
		t.Fatalf("%+v", o)
	}
}

// CheckAnswer must find a single error in an answer of any size.
func TestCheckAnswerFindsErrors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shards := rapid.Uint32Range(1, 9).Draw(t, "shards")
		version := rapid.Uint64Range(1, 99).Draw(t, "version")
		a := wholeAnswer(shards, version, "mine")
		if c := CheckAnswer(a, "mine"); c.HasErrors() {
			t.Fatalf("errors found in a correct answer: %+v", c)
		}
		i := rapid.IntRange(0, len(a.Hits)-1).Draw(t, "hit")
		switch rapid.IntRange(0, 4).Draw(t, "fault") {
		case 0:
			a.Hits = append(a.Hits[:i:i], a.Hits[i+1:]...)
			expectCheck(t, a, Check{Lost: 1})
		case 1:
			a.Hits = append(a.Hits, a.Hits[i])
			expectCheck(t, a, Check{Doubled: 1})
		case 2:
			o := standin.Origin{Version: version + 1, Shards: shards, Documents: standin.DefaultDocuments, RunKey: "mine"}
			a.Hits[i].Data, _ = json.Marshal(o)
			if c := CheckAnswer(a, "mine"); c.Mixed != 1 {
				t.Fatalf("%+v", c)
			}
		case 3:
			if c := CheckAnswer(a, "another"); c.Foreign != len(a.Hits) {
				t.Fatalf("%+v", c)
			}
		case 4:
			a.Coverage.Total++
			expectCheck(t, a, Check{Coverage: 1})
		}
	})
}

func expectCheck(t *rapid.T, a *contract.Answer, want Check) {
	if got := CheckAnswer(a, "mine"); got != want {
		t.Fatalf("found %+v, want %+v", got, want)
	}
}

func TestPlotsAreWritten(t *testing.T) {
	b := standin.DefaultBehavior()
	b.Latency = 0
	fleet, err := standin.StartFleet(standin.FleetConfig{Host: "127.0.0.1", Services: []standin.ServiceSpec{{Path: testPath, Leaves: []string{"a", "b"}, Behavior: b}}})
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Close()
	control := &http.Server{Handler: fleet.Handler()}
	lis := listen(t)
	go func() { _ = control.Serve(lis) }()
	defer control.Close()
	e := startFakeEntry(t)
	res, err := Run(context.Background(), Config{EntryURLs: []string{e.URL}, Paths: []string{testPath}, Rate: 200,
		Duration: 300 * time.Millisecond, Window: 50 * time.Millisecond, StandinURL: "http://" + lis.Addr().String() + "\n"})
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := res.WriteFiles(dir); err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string][]string{
		LatencyFile: {"<svg", "p99.9"},
		LeavesFile:  {"<svg", testPath + " b"},
		ResultFile:  {`"answer_latency"`, `"most_in_flight"`},
	} {
		data, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			t.Fatal(err)
		}
		for _, w := range want {
			if !strings.Contains(string(data), w) {
				t.Errorf("%s has no %q", name, w)
			}
		}
	}
	var out strings.Builder
	if err := res.WriteTable(&out); err != nil || !strings.Contains(out.String(), "scheduled") {
		t.Fatalf("%v\n%s", err, out.String())
	}
}

func listen(t *testing.T) net.Listener {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return lis
}
