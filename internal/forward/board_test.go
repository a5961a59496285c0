package forward

import (
	"testing"
	"time"

	"pearmoor/internal/discovery"
	"pearmoor/internal/policy"
	"pearmoor/internal/vm"
)

type leafTrackerFixture struct {
	now     vm.Instant
	tracker *LeafTracker
	a, b    *discovery.Leaf
}

func newLeafTrackerFixture() *leafTrackerFixture {
	r := &leafTrackerFixture{now: 1}
	r.tracker = NewLeafTracker(func() vm.Instant { return r.now }, "here")
	r.a = &discovery.Leaf{ID: "a", Service: "s", Domain: "here", Slots: 2}
	r.b = &discovery.Leaf{ID: "b", Service: "s", Domain: "here", Slots: 2}
	return r
}

const usualTime = 20 * time.Millisecond

// countChoicesOfA returns how many of 100 calls to Choose return leaf a.
func (r *leafTrackerFixture) countChoicesOfA() int {
	n := 0
	for range 100 {
		if r.tracker.Choose([]*discovery.Leaf{r.a, r.b}, nil, usualTime) == r.a {
			n++
		}
	}
	return n
}

func (r *leafTrackerFixture) exchange(l *discovery.Leaf, took time.Duration, out policy.Outcome) {
	began := r.tracker.Begin(l.RunID())
	r.now = r.now.Add(took)
	r.tracker.End(l.RunID(), began, policy.RequestResult{Outcome: out, Elapsed: took, MedianLatency: usualTime, ReplyReceived: out == policy.Replied})
}

func TestChooseSkipsDrainingLeaf(t *testing.T) {
	r := newLeafTrackerFixture()
	r.a.Draining = true
	if n := r.countChoicesOfA(); n != 0 {
		t.Errorf("%d of 100 choices returned the draining leaf", n)
	}
	if got := r.tracker.Choose([]*discovery.Leaf{r.a}, nil, usualTime); got != nil {
		t.Errorf("Choose returned the draining leaf when there was no other")
	}
}

// Guards against a restarted leaf that gets no requests because of the health recorded for
// its previous process, which was slow, failing and marked as misplaced.
func TestRestartedLeafStartsWithoutHistory(t *testing.T) {
	r := newLeafTrackerFixture()
	for range 20 {
		r.exchange(r.a, 6*usualTime, policy.Failed)
		r.exchange(r.b, usualTime, policy.Replied)
	}
	r.tracker.MarkMisplaced(r.a.RunID())
	began := r.tracker.Begin(r.a.RunID())
	oldLife := r.a.RunID()
	r.a = &discovery.Leaf{ID: "a", StartMs: 7, Service: "s", Domain: "here", Slots: 2}
	if n := r.countChoicesOfA(); n < 20 {
		t.Errorf("%d of 100 choices returned the restarted leaf", n)
	}
	r.tracker.End(oldLife, began, policy.RequestResult{Outcome: policy.Failed, Elapsed: usualTime, MedianLatency: usualTime}) // a request to the previous process
	if n := r.countChoicesOfA(); n < 20 {
		t.Errorf("%d of 100 choices returned the restarted leaf after a failure of its previous process", n)
	}
}
