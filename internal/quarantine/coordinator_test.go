package quarantine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

// coordinatorFixture is a Coordinator with a manual clock and the settings tree that stores
// its cases.
type coordinatorFixture struct {
	t           *testing.T
	now         vm.Instant
	coordinator *Coordinator
	tree        *settings.Tree
}

func newCoordinatorFixture(t *testing.T) *coordinatorFixture {
	tr := &coordinatorFixture{t: t, now: 1, tree: settings.New()}
	tr.changeLeader()
	return tr
}

// changeLeader replaces the Coordinator by a new one, as when another control VM becomes the
// leader. Only the cases in the tree are kept.
func (tr *coordinatorFixture) changeLeader() {
	tr.coordinator = NewCoordinator(func() vm.Instant { return tr.now })
}

func (tr *coordinatorFixture) cases() Cases { return CasesFromTree(tr.tree) }

func (tr *coordinatorFixture) report(rs ...*Report) {
	tr.t.Helper()
	merge := tr.coordinator.Apply(tr.cases(), rs, time.Unix(0, 0).Add(time.Duration(tr.now)))
	next, err := tr.tree.Apply(1, Edits(merge.Changes))
	if err != nil {
		tr.t.Fatal(err)
	}
	tr.coordinator.Commit(merge)
	tr.tree = next
}

func (tr *coordinatorFixture) advance(d time.Duration) { tr.now = tr.now.Add(d) }

func fingerprintsOf(i int) Fingerprints {
	return (&Request{Method: "GET", URI: fmt.Sprint("/", i), Caller: "10.0.0.1"}).Fingerprints()
}

// crashReport is the report of an attempt that took 100 ms.
func crashReport(f Fingerprints, ends int) *Report {
	return &Report{Fingerprints: f, Descriptions: [numScopes]string{"GET shop/ from 10.0.0.1", "b", "c", "d"}, LeafExits: ends, Age: 100 * time.Millisecond}
}

// A request that crashes leaves in every attempt must be blocked even if hours and a change
// of the leader lie between its attempts.
func TestRequestThatKeepsCrashingLeavesIsBlocked(t *testing.T) {
	Convey("It is blocked permanently after three attempts", t, func() {
		tr, f := newCoordinatorFixture(t), fingerprintsOf(1)
		for _, ends := range []int{20, 1, 1} {
			So(tr.coordinator.Try(tr.cases(), f[Exact]), ShouldEqual, Granted)
			tr.report(crashReport(f, ends))
			tr.advance(time.Hour)
			tr.changeLeader()
		}
		So(tr.cases()[f[Exact]].Blocked, ShouldBeTrue)
		So(tr.coordinator.Try(tr.cases(), f[Exact]), ShouldEqual, Denied)
	})
	Convey("It is blocked after four attempts without an answer, whether or not leaves exit", t, func() {
		tr, f := newCoordinatorFixture(t), fingerprintsOf(1)
		tr.report(crashReport(f, 3))
		for range 3 {
			So(tr.cases()[f[Exact]].Blocked, ShouldBeFalse)
			tr.advance(time.Second)
			tr.report(crashReport(f, 0))
		}
		So(tr.cases()[f[Exact]].Blocked, ShouldBeTrue)
	})
	Convey("Only one daemon tries it at a time", t, func() {
		tr, f := newCoordinatorFixture(t), fingerprintsOf(1)
		tr.report(crashReport(f, 3))
		So(tr.coordinator.Try(tr.cases(), f[Exact]), ShouldEqual, Granted)
		So(tr.coordinator.Try(tr.cases(), f[Exact]), ShouldEqual, Wait)
		tr.coordinator.Release(f[Exact])
		So(tr.coordinator.Try(tr.cases(), f[Exact]), ShouldEqual, Granted)
		tr.advance(trialTimeout)
		So(tr.coordinator.Try(tr.cases(), f[Exact]), ShouldEqual, Granted)
	})
}

// A request that crashes leaves must be blocked even if each attempt has another query or
// comes from another address.
func TestRequestThatVariesIsBlocked(t *testing.T) {
	for _, c := range []struct {
		what string
		nth  func(n int) *Request
	}{
		{"another query each time", func(n int) *Request { return &Request{URI: fmt.Sprint("/a?page=", n), Caller: "10.0.0.1"} }},
		{"another address each time", func(n int) *Request { return &Request{URI: "/a", Caller: fmt.Sprint("10.0.0.", n)} }},
		{"one of two queries", func(n int) *Request { return &Request{URI: fmt.Sprint("/a?page=", n%2), Caller: "10.0.0.1"} }},
		{"one of two addresses", func(n int) *Request { return &Request{URI: "/a", Caller: fmt.Sprint("10.0.0.", n%2)} }},
		{"both", func(n int) *Request {
			return &Request{URI: fmt.Sprint("/a?page=", n), Caller: fmt.Sprint("10.0.0.", n)}
		}},
	} {
		Convey(c.what, t, func() {
			tr := newCoordinatorFixture(t)
			for n := range 3 {
				tr.report(crashReport(c.nth(n).Fingerprints(), 3))
				tr.advance(time.Second)
			}
			g := NewRegistry(vm.Monotonic, nil)
			g.SetCases(tr.cases())
			So(g.Check(c.nth(4).Fingerprints()), ShouldEqual, Blocked)
			So(g.Check(fingerprintsOf(9)), ShouldEqual, Unrestricted)
		})
	}
	rule := func(tr *coordinatorFixture, r *Request) Ruling {
		g := NewRegistry(vm.Monotonic, nil)
		g.SetCases(tr.cases())
		return g.Check(r.Fingerprints())
	}
	fatal, other := &Request{URI: "/a?q=1", Caller: "10.0.0.1"}, &Request{URI: "/a?q=2", Caller: "10.0.0.1"}
	Convey("A request that does not vary is blocked alone, even if no request to its path is answered", t, func() {
		tr := newCoordinatorFixture(t)
		for range 3 {
			tr.report(crashReport(fatal.Fingerprints(), 3))
			tr.advance(time.Second)
		}
		So(rule(tr, fatal), ShouldEqual, Blocked)
		So(rule(tr, other), ShouldEqual, Canary)
		for n := range 5 {
			tr.report(crashReport((&Request{URI: fmt.Sprint("/a?late=", n), Caller: "10.0.0.1"}).Fingerprints(), 0))
			tr.advance(time.Second)
		}
		So(rule(tr, other), ShouldEqual, Canary)
		tr.report(&Report{Fingerprints: other.Fingerprints(), Answered: true})
		So(rule(tr, fatal), ShouldEqual, Blocked)
		So(rule(tr, other), ShouldEqual, Unrestricted)
	})
}

// Guards against a request that many callers repeat at once: its attempts overlap all the
// time, and it goes on crashing leaves unblocked.
func TestOverlappingAttemptsOfCrashingRequestAreBlocked(t *testing.T) {
	Convey("It is blocked when three attempts that do not overlap have crashed leaves", t, func() {
		tr := newCoordinatorFixture(t)
		nth := func(n int) Fingerprints {
			return (&Request{Method: "GET", URI: "/a", Caller: fmt.Sprint("10.0.0.", n)}).Fingerprints()
		}
		attempts := 0
		for ; attempts < 100 && !tr.cases()[nth(0)[AnyCaller]].Blocked; attempts++ {
			tr.report(crashReport(nth(attempts), 1)) // attempts of 100 ms, one more each 20 ms
			tr.advance(20 * time.Millisecond)
		}
		So(attempts, ShouldBeLessThanOrEqualTo, 13)
	})
}

// Guards against a crashed attempt that is not counted because the change with its report
// lost a race with an operator's change and was made again.
func TestReportOfConflictingChangeIsCounted(t *testing.T) {
	tr, f := newCoordinatorFixture(t), fingerprintsOf(1)
	reports := []*Report{crashReport(f, 3)}
	tr.coordinator.Apply(tr.cases(), reports, time.Unix(0, 0)) // its change is refused
	tr.report(reports...)
	if got := tr.cases()[f[Exact]].CrashedAttempts; got != 1 {
		t.Errorf("%d crashed attempts counted, want 1", got)
	}
}

// Guards against a request that crashes leaves under several callers and reaches a leaf at
// every VM at once when the leaves are back.
func TestRequestOfSeveralCallersIsTriedByOneDaemonAtATime(t *testing.T) {
	tr := newCoordinatorFixture(t)
	nth := func(n int) *Request { return &Request{Method: "GET", URI: "/a", Caller: fmt.Sprint("10.0.0.", n)} }
	check := func(r *Request) (Ruling, Fingerprint) {
		g := NewRegistry(vm.Monotonic, nil)
		g.SetCases(tr.cases())
		fs := r.Fingerprints()
		return g.Check(fs), fs[g.TrialScope(fs)]
	}
	Convey("After a crash under one caller others are not held up", t, func() {
		tr.report(crashReport(nth(0).Fingerprints(), 3))
		ruling, _ := check(nth(1))
		So(ruling, ShouldEqual, Canary)
	})
	Convey("After crashes under two callers at once, one daemon tries it for all", t, func() {
		tr.report(crashReport(nth(1).Fingerprints(), 1))
		ruling, first := check(nth(2))
		So(ruling, ShouldEqual, Suspect)
		So(tr.coordinator.Try(tr.cases(), first), ShouldEqual, Granted)
		_, second := check(nth(3))
		So(tr.coordinator.Try(tr.cases(), second), ShouldEqual, Wait)
		ruling, _ = check(&Request{Method: "GET", URI: "/a?q=1", Caller: "10.0.0.9"})
		So(ruling, ShouldNotEqual, Suspect)
	})
	Convey("The report of the trial lets the next one begin", t, func() {
		tr.report(&Report{Fingerprints: nth(2).Fingerprints(), Answered: true})
		ruling, third := check(nth(3))
		So(ruling, ShouldNotEqual, Suspect)
		So(tr.coordinator.Try(tr.cases(), third), ShouldEqual, Granted)
	})
}

// When a rack loses power, twenty leaves exit under each of the requests in flight. These
// requests must not be blocked.
func TestRequestsInFlightDuringPowerLossAreNotBlocked(t *testing.T) {
	Convey("Concurrent copies of a request count once, and an answer clears it", t, func() {
		tr := newCoordinatorFixture(t)
		for range 5 {
			tr.report(crashReport(fingerprintsOf(1), 20), crashReport(fingerprintsOf(1), 20), crashReport(fingerprintsOf(2), 7))
			tr.advance(20 * time.Millisecond)
		}
		So(tr.cases()[fingerprintsOf(1)[Exact]].Blocked, ShouldBeFalse)
		So(tr.cases()[fingerprintsOf(1)[Exact]].CrashedAttempts, ShouldEqual, 1)
		So(tr.coordinator.Try(tr.cases(), fingerprintsOf(1)[Exact]), ShouldEqual, Granted)
		tr.report(&Report{Fingerprints: fingerprintsOf(1), Answered: true})
		So(tr.cases(), ShouldNotContainKey, fingerprintsOf(1)[Exact])
		So(tr.cases(), ShouldContainKey, fingerprintsOf(2)[Exact])
	})
	Convey("An attempt without leaf exits raises no suspicion", t, func() {
		tr := newCoordinatorFixture(t)
		tr.report(crashReport(fingerprintsOf(1), 0), &Report{Fingerprints: fingerprintsOf(2), Answered: true})
		So(tr.cases(), ShouldBeEmpty)
	})
}

// A caller that varies its requests can create thousands of cases. Their number and size
// must stay bounded.
func TestQuarantineIsBounded(t *testing.T) {
	Convey("Blocked requests are kept, and the suspected ones with the oldest report are evicted", t, func() {
		tr := newCoordinatorFixture(t)
		for range 3 {
			tr.report(crashReport(fingerprintsOf(0), 1))
			tr.advance(time.Second)
		}
		const requests = maxCases / 2 // each has several fingerprints
		for i := range requests {
			tr.advance(time.Second)
			tr.report(crashReport(fingerprintsOf(i+1), 1))
		}
		So(len(tr.cases()), ShouldEqual, maxCases)
		So(tr.cases()[fingerprintsOf(0)[Exact]].Blocked, ShouldBeTrue)
		So(tr.cases(), ShouldContainKey, fingerprintsOf(requests)[Exact])
		So(tr.cases(), ShouldNotContainKey, fingerprintsOf(1)[Exact])
	})
	Convey("Descriptions with text from a caller are a single printable line", t, func() {
		tr := newCoordinatorFixture(t)
		r := crashReport(fingerprintsOf(1), 1)
		r.Descriptions[Exact] = "GET shop/\x00\n\xff from 10.0.0.1" + string(make([]byte, 2*maxDescriptionLen))
		tr.report(r)
		So(tr.cases()[fingerprintsOf(1)[Exact]].Description, ShouldStartWith, "GET shop/??")
		So(len(tr.cases()[fingerprintsOf(1)[Exact]].Description), ShouldBeLessThanOrEqualTo, maxDescriptionLen)
	})
}
