package query

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"pearmoor/internal/contract"
)

// event is a fault or another change of a daemon or a leaf at a point in time.
type event struct {
	at     time.Duration
	kind   int
	leaf   string
	daemon string
	rate   float64
}

const (
	addNextVersion  = iota // a leaf adds the next version and keeps the old one
	dropOldVersions        // a leaf drops all but its newest version
	leafDown
	leafUp
	leafSlow
	leafRefuses
	leafLosesReplies
	leafRepliesWrongVersion
	daemonCrash
	daemonRestart
	eventKinds
)

// scheduledQuery is a query at a point in time. A keyed one is sent once through each of the
// daemons in via, others only through the first.
type scheduledQuery struct {
	at    time.Duration
	via   []string
	keyed bool
}

type schedule struct {
	seed    uint64
	scope   string
	events  []event
	queries []scheduledQuery
}

var daemonNames = []string{"a", "b", "c"}

func drawSchedule(t *rapid.T) *schedule {
	s := &schedule{seed: rapid.Uint64().Draw(t, "seed")}
	s.scope = rapid.SampledFrom([]string{"joint", "per-service"}).Draw(t, "scope")
	drawTime := rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
	})
	s.events = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
		return event{
			at: drawTime.Draw(t, "at"), kind: rapid.IntRange(0, eventKinds-1).Draw(t, "kind"),
			leaf:   fmt.Sprintf("127.0.0.1:%d", 1000+10*rapid.IntRange(0, testServices-1).Draw(t, "service")+rapid.IntRange(0, 1).Draw(t, "leaf")),
			daemon: rapid.SampledFrom(daemonNames).Draw(t, "daemon"),
			rate:   rapid.SampledFrom([]float64{0, 0.1, 0.5, 1}).Draw(t, "part"),
		}
	}), 0, 14).Draw(t, "events")
	s.queries = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) scheduledQuery {
		return scheduledQuery{
			at: drawTime.Draw(t, "at"), keyed: rapid.Bool().Draw(t, "keyed"),
			via: rapid.SliceOfN(rapid.SampledFrom(daemonNames), 1, 3).Draw(t, "via"),
		}
	}), 1, 20).Draw(t, "questions")
	slices.SortFunc(s.events, func(a, b event) int { return int(a.at - b.at) })
	return s
}

// Under random changes of versions and partition maps and random faults of leaves and
// daemons, these invariants hold: an answer has one version, coverage that adds up and
// exactly the hits of its shards; a shard or request reported as not run did not run; a
// non-repeatable request runs at most once per shard, however often and through whichever
// daemons it is sent; and no leaf has more requests in flight than slots.
func TestInvariantsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawSchedule(rt)
		if err := runInTier(t, s.seed, s.scope, s.run); err != nil {
			rt.Fatal(err)
		}
	})
}

func (s *schedule) run(tier *testTier) error {
	start := time.Now()
	tier.goroutines.Go(func() {
		for _, ev := range s.events {
			time.Sleep(time.Until(start.Add(ev.at)))
			tier.apply(ev)
		}
	})
	results := make(chan error, len(s.queries))
	for i, q := range s.queries {
		tier.goroutines.Go(func() {
			time.Sleep(time.Until(start.Add(q.at)))
			results <- s.send(tier, fmt.Sprint("k", i), q)
		})
	}
	var first error
	for range s.queries {
		if err := <-results; err != nil && first == nil {
			first = err
		}
	}
	time.Sleep(10 * time.Second)
	tier.mu.Lock()
	defer tier.mu.Unlock()
	for addr, l := range tier.leaves {
		if l.maxInFlight > leafSlots && first == nil {
			first = errors.Newf("%d requests in flight at leaf %s exceed its slots", l.maxInFlight, addr)
		}
	}
	return first
}

func (s *schedule) send(tier *testTier, key string, q scheduledQuery) error {
	if !q.keyed {
		a, err := sendQuery(tier, q.via[0], key)
		return s.checkOutcome(tier, key, a, err)
	}
	sess := tier.engine(q.via[0]).IssueSession()
	for _, daemon := range q.via {
		a, e := sendKeyed(tier, daemon, sess, key)
		var err error
		if e != nil {
			err = e
		}
		if err := s.checkOutcome(tier, key, a, err); err != nil {
			return errors.Wrapf(err, "sent through daemon %s of %v", daemon, q.via)
		}
		if _, maxAtShard := tier.runCounts(key); maxAtShard > 1 {
			return errors.Newf("key %s ran %d times at one shard when sent through %v", key, maxAtShard, q.via)
		}
	}
	return nil
}

func (s *schedule) checkOutcome(tier *testTier, key string, a *contract.Answer, err error) error {
	if err == nil {
		return errors.Wrapf(errors.CombineErrors(tier.checkNotRun(key, a), checkAnswer(a, s.scope == "joint")), "answer to %s", key)
	}
	var e *contract.Error
	if !errors.As(err, &e) || e.Reason == contract.ReasonInternal {
		return errors.Wrapf(err, "internal or untyped failure of %s", key)
	}
	if total, _ := tier.runCounts(key); e.Verdict == contract.NotRun && total > 0 {
		return errors.Newf("%s is reported as not run (%v) but ran %d times", key, e, total)
	}
	return nil
}

func (tier *testTier) apply(ev event) {
	switch ev.kind {
	case daemonCrash:
		tier.crash(ev.daemon)
		return
	case daemonRestart:
		if tier.isCrashed(ev.daemon) {
			tier.restart(ev.daemon)
		}
		return
	}
	tier.mu.Lock()
	defer tier.mu.Unlock()
	l := tier.leaves[ev.leaf]
	newest := uint64(0)
	for v := range l.versions {
		newest = max(newest, v)
	}
	switch ev.kind {
	case addNextVersion:
		l.versions[newest+1] = shardsAt(newest + 1)
	case dropOldVersions:
		l.versions = map[uint64]uint32{newest: shardsAt(newest)}
	case leafDown, leafUp:
		l.down = ev.kind == leafDown
	case leafSlow:
		l.slowRate = ev.rate
	case leafRefuses:
		l.refusalRate = ev.rate
	case leafLosesReplies:
		l.lossRate = ev.rate
	case leafRepliesWrongVersion:
		l.wrongVersionRate = ev.rate
	}
}

func (tier *testTier) isCrashed(name string) bool {
	tier.mu.Lock()
	d := tier.daemons[name]
	tier.mu.Unlock()
	return d.isCrashed()
}
