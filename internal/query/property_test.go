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
	at   time.Duration
	kind int
	leaf string
	name string
	part float64
}

const (
	publishNext = iota // a leaf adds the next version and keeps the old one
	dropOld            // a leaf drops all but its newest version
	leafDown
	leafUp
	leafSlow
	leafRefuses
	leafLoses
	leafCrosses
	daemonCrash
	daemonRestart
	eventKinds
)

// scheduledQuery is a query at a point in time. A keyed one is sent once through each of the
// daemons in via, others only through the first.
type question struct {
	at    time.Duration
	via   []string
	keyed bool
}

type schedule struct {
	seed      uint64
	scope     string
	events    []event
	questions []question
}

var daemonNames = []string{"a", "b", "c"}

func drawSchedule(t *rapid.T) *schedule {
	s := &schedule{seed: rapid.Uint64().Draw(t, "seed")}
	s.scope = rapid.SampledFrom([]string{"joint", "per-service"}).Draw(t, "scope")
	moment := rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
	})
	s.events = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
		return event{
			at: moment.Draw(t, "at"), kind: rapid.IntRange(0, eventKinds-1).Draw(t, "kind"),
			leaf: fmt.Sprintf("127.0.0.1:%d", 1000+10*rapid.IntRange(0, worldServices-1).Draw(t, "service")+rapid.IntRange(0, 1).Draw(t, "leaf")),
			name: rapid.SampledFrom(daemonNames).Draw(t, "daemon"),
			part: rapid.SampledFrom([]float64{0, 0.1, 0.5, 1}).Draw(t, "part"),
		}
	}), 0, 14).Draw(t, "events")
	s.questions = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) question {
		return question{
			at: moment.Draw(t, "at"), keyed: rapid.Bool().Draw(t, "keyed"),
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
func TestAnyHistory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawSchedule(rt)
		if err := inWorld(t, s.seed, s.scope, s.play); err != nil {
			rt.Fatal(err)
		}
	})
}

func (s *schedule) play(w *world) error {
	began := time.Now()
	w.busy.Go(func() {
		for _, ev := range s.events {
			time.Sleep(time.Until(began.Add(ev.at)))
			w.apply(ev)
		}
	})
	results := make(chan error, len(s.questions))
	for i, q := range s.questions {
		w.busy.Go(func() {
			time.Sleep(time.Until(began.Add(q.at)))
			results <- s.ask(w, fmt.Sprint("k", i), q)
		})
	}
	var first error
	for range s.questions {
		if err := <-results; err != nil && first == nil {
			first = err
		}
	}
	time.Sleep(10 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	for addr, l := range w.leaves {
		if l.peak > worldSlots && first == nil {
			first = errors.Newf("%d requests in flight at leaf %s exceed its slots", l.peak, addr)
		}
	}
	return first
}

func (s *schedule) ask(w *world, key string, q question) error {
	if !q.keyed {
		a, err := ask(w, q.via[0], key)
		return s.judge(w, key, a, err)
	}
	sess := w.engine(q.via[0]).IssueSession()
	for _, daemon := range q.via {
		a, e := charge(w, daemon, sess, key)
		var err error
		if e != nil {
			err = e
		}
		if err := s.judge(w, key, a, err); err != nil {
			return errors.Wrapf(err, "sent through daemon %s of %v", daemon, q.via)
		}
		if _, most := w.ran(key); most > 1 {
			return errors.Newf("key %s ran %d times at one shard when sent through %v", key, most, q.via)
		}
	}
	return nil
}

func (s *schedule) judge(w *world, key string, a *contract.Answer, err error) error {
	if err == nil {
		return errors.Wrapf(errors.CombineErrors(w.checkNotRun(key, a), checkAnswer(a, s.scope == "joint")), "answer to %s", key)
	}
	var e *contract.Error
	if !errors.As(err, &e) || e.Reason == contract.ReasonInternal {
		return errors.Wrapf(err, "internal or untyped failure of %s", key)
	}
	if total, _ := w.ran(key); e.Verdict == contract.NotRun && total > 0 {
		return errors.Newf("%s is reported as not run (%v) but ran %d times", key, e, total)
	}
	return nil
}

func (w *world) apply(ev event) {
	switch ev.kind {
	case daemonCrash:
		w.crash(ev.name)
		return
	case daemonRestart:
		if w.isCrashed(ev.name) {
			w.restart(ev.name)
		}
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	l := w.leaves[ev.leaf]
	newest := uint64(0)
	for v := range l.versions {
		newest = max(newest, v)
	}
	switch ev.kind {
	case publishNext:
		l.versions[newest+1] = shardsAt(newest + 1)
	case dropOld:
		l.versions = map[uint64]uint32{newest: shardsAt(newest)}
	case leafDown, leafUp:
		l.down = ev.kind == leafDown
	case leafSlow:
		l.slow = ev.part
	case leafRefuses:
		l.refuses = ev.part
	case leafLoses:
		l.loses = ev.part
	case leafCrosses:
		l.crosses = ev.part
	}
}

func (w *world) isCrashed(name string) bool {
	w.mu.Lock()
	d := w.daemons[name]
	w.mu.Unlock()
	return d.isCrashed()
}
