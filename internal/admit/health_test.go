package admit

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pearmoor/internal/settings"
)

// A leaf refuses with a retry time. Nothing may be sent to it until then, but for no
// longer than pauseMax, and jitter must keep home daemons from returning together.
func TestRefusalPausesLeaf(t *testing.T) {
	Convey("After a refusal", t, func() {
		w := newTestGates()
		w.Configure(leafA, Limits{Slots: 2, MaxQueue: 4})
		refuse := func(after time.Duration) {
			p, ok := w.TryAcquire(leafA)
			So(ok, ShouldBeTrue)
			p.Done(Refused, after)
		}
		Convey("with a retry time, the leaf is paused for that time and at most a quarter more", func() {
			refuse(2 * time.Second)
			w.advance(2*time.Second - 1)
			_, ok := w.TryAcquire(leafA)
			So(ok, ShouldBeFalse)
			w.advance(time.Second/2 + 1)
			_, ok = w.TryAcquire(leafA)
			So(ok, ShouldBeTrue)
		})
		Convey("with a very long retry time, the pause does not exceed the bound", func() {
			refuse(24 * time.Hour)
			w.advance(pauseMax + pauseMax/4)
			_, ok := w.TryAcquire(leafA)
			So(ok, ShouldBeTrue)
		})
		Convey("without a retry time, the pause doubles, and a reply resets it", func() {
			refuse(0)
			first := w.gateOf(leafA).health.blockedFor(w.now)
			So(first, ShouldBeBetweenOrEqual, pauseBase, pauseBase*5/4)
			w.advance(first)
			refuse(0)
			So(w.gateOf(leafA).health.blockedFor(w.now), ShouldBeGreaterThanOrEqualTo, 2*pauseBase)
			w.advance(pauseMax)
			p, _ := w.TryAcquire(leafA)
			p.Done(Answered, 0)
			refuse(0)
			So(w.gateOf(leafA).health.blockedFor(w.now), ShouldBeLessThanOrEqualTo, pauseBase*5/4)
		})
		Convey("a request that can't wait that long is refused immediately, others are queued", func() {
			refuse(time.Second)
			_, x, _ := w.request(500*ms, settings.Urgent)
			r, ok := x.outcome()
			So(ok, ShouldBeTrue)
			So(requireRefusal(t, r.err).RetryAfter, ShouldBeGreaterThanOrEqualTo, 500)
			_, y, _ := w.request(5*time.Second, settings.Urgent)
			w.advance(1250 * ms)
			r, ok = y.outcome()
			So(ok, ShouldBeTrue)
			So(r.permit, ShouldNotBeNil)
		})
	})
}

// A leaf fails three times in a row. At the full rate every request sent to it would
// be lost, so only one request at a time may probe it.
func TestFailingLeafIsProbedByOneRequest(t *testing.T) {
	Convey("A leaf that keeps failing", t, func() {
		w := newTestGates()
		w.Configure(leafA, Limits{Slots: 4, MaxQueue: 8, Ramp: 10 * time.Second})
		w.learnServiceTime(t, 10*ms)
		for range failThreshold {
			p, ok := w.TryAcquire(leafA)
			So(ok, ShouldBeTrue)
			p.Done(Failed, 0)
		}
		So(w.Load(leafA).Failing, ShouldBeTrue)
		_, x, _ := w.request(time.Minute, settings.Urgent)
		_, y, _ := w.request(time.Minute, settings.Urgent)
		w.advance(backoffBase - 1)
		_, ended := x.outcome()
		So(ended, ShouldBeFalse)
		w.advance(backoffBase)
		r, ended := x.outcome()
		So(ended, ShouldBeTrue)
		_, ended = y.outcome()
		So(ended, ShouldBeFalse)
		_, hedged := w.TryAcquire(leafA)
		So(hedged, ShouldBeFalse)
		Convey("the probe fails: the backoff doubles", func() {
			r.permit.Done(Failed, 0)
			So(w.gateOf(leafA).health.blockedFor(w.now), ShouldBeGreaterThanOrEqualTo, 2*backoffBase)
		})
		Convey("the probe succeeds: the leaf ramps up from a tenth of its rate", func() {
			w.advance(10 * ms)
			r.permit.Done(Answered, 0)
			So(w.Load(leafA).Failing, ShouldBeFalse)
			So(w.gateOf(leafA).limit(w.now), ShouldEqual, 1)
			w.advance(10 * time.Second)
			So(w.gateOf(leafA).limit(w.now), ShouldEqual, 4)
			So(w.gateOf(leafA).health.blockedFor(w.now), ShouldEqual, 0)
		})
	})
}

// A cold leaf with one slot here can't get less concurrency than one, so a slow
// start spaces requests out: about a tenth of the full rate at first, half of it
// over the whole ramp, and the full rate afterwards.
func TestSlowStartWithOneSlot(t *testing.T) {
	w := newTestGates()
	w.Configure(leafA, Limits{Slots: 1, MaxQueue: 8, Ramp: 10 * time.Second})
	w.learnServiceTime(t, 10*ms)
	w.StartRamp(leafA)
	starts := func(d time.Duration) (n int) {
		for end := w.now.Add(d); w.now < end; {
			p, ok := w.TryAcquire(leafA)
			if !ok {
				w.advance(ms)
				continue
			}
			n++
			w.advance(10 * ms)
			p.Done(Answered, 0)
		}
		return n
	}
	first := starts(time.Second)
	rest := starts(9 * time.Second)
	after := starts(time.Second)
	if first < 8 || first > 15 {
		t.Errorf("%d starts in the first second; a tenth of the full rate is 10", first)
	}
	if rest < 300 || rest > 600 {
		t.Errorf("%d starts in the rest of the ramp; about half of the full rate is 480", rest)
	}
	if after < 95 {
		t.Errorf("%d starts in the second after the ramp; the full rate is 100", after)
	}
}

// A leaf may report a wrong load. The report must change the expected wait by at
// most half a service time and must expire after a few seconds.
func TestLoadReportsHaveBoundedEffect(t *testing.T) {
	Convey("A report of a very high load has a bounded effect", t, func() {
		w := newTestGates()
		w.Configure(leafA, Limits{Slots: 1, MaxQueue: 8})
		w.learnServiceTime(t, 10*ms)
		w.ReportLoad(leafA, 1<<30, 1)
		So(w.Load(leafA).ExpectedWait, ShouldEqual, 5*ms)
		_, ok := w.TryAcquire(leafA)
		So(ok, ShouldBeTrue)
		w.advance(loadReportTTL)
		So(w.Load(leafA).ExpectedWait, ShouldBeGreaterThanOrEqualTo, 0)
		Convey("and is ignored once it has expired", func() {
			So(w.gateOf(leafA).loadReport.waitPenalty(w.now, 10*ms), ShouldEqual, 0)
		})
	})
}
