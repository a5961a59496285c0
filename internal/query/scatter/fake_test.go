package scatter

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"pearmoor/internal/admit"
	"pearmoor/internal/contract"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

// bubbleClock returns the fake time of a synctest bubble as an instant.
func bubbleClock() vm.Instant { return vm.Instant(time.Now().UnixNano()) }

// leafAction is what a fake leaf does with one attempt.
type leafAction uint8

const (
	succeed          leafAction = iota
	wrongVersion                // runs and replies for another version
	wrongRequest                // runs and replies for another request
	resetConnection             // runs and loses the connection before the reply
	refuse                      // 429 without running
	declineShard                // 409 without running
	refuseConnection            // nothing was written
	hang                        // runs and never replies
	crash                       // exits while running
	actionCount
)

type behavior struct {
	action leafAction
	delay  time.Duration
}

// fakeLeaves is a Sender to leaves whose behaviour a test defines. It counts the runs, and
// the attempts in flight at each leaf as seen by the leaf.
type fakeLeaves struct {
	behave func(leaf string, req *contract.LeafRequest) behavior

	mu       sync.Mutex
	runs     map[uint32]int // by shard
	inFlight map[string]int
	peak     map[string]int
	sent     int
	active   sync.WaitGroup
}

func newFakeLeaves(behave func(string, *contract.LeafRequest) behavior) *fakeLeaves {
	return &fakeLeaves{behave: behave, runs: map[uint32]int{}, inFlight: map[string]int{}, peak: map[string]int{}}
}

type sendResult struct {
	reply *contract.LeafReply
	err   error
}

// Send implements Sender: the permit is held until the leaf is done, even if the caller
// returns first.
func (f *fakeLeaves) Send(ctx context.Context, leaf settings.Leaf, req *contract.LeafRequest, permit *admit.Permit) (*contract.LeafReply, error) {
	b := f.behave(leaf.Name, req)
	if b.action == refuseConnection {
		permit.Done(admit.Failed, 0)
		return nil, contract.Refuse(contract.ReasonTargetFailed, errors.New("connection refused"))
	}
	if err := permit.Check(); err != nil {
		permit.Release()
		return nil, err
	}
	f.recordStart(leaf.Name, req.Shard, b.action)
	done := make(chan sendResult, 1)
	f.active.Add(1)
	go f.run(ctx, leaf.Name, b, *req, permit, done)
	select {
	case r := <-done:
		return r.reply, r.err
	case <-ctx.Done():
		return nil, &contract.Error{Verdict: contract.MayHaveRun, Reason: contract.ReasonDeadline, Cause: ctx.Err()}
	}
}

func (f *fakeLeaves) recordStart(leaf string, shard uint32, a leafAction) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent++
	f.inFlight[leaf]++
	f.peak[leaf] = max(f.peak[leaf], f.inFlight[leaf])
	if a != refuse && a != declineShard {
		f.runs[shard]++
	}
}

func (f *fakeLeaves) run(ctx context.Context, leaf string, b behavior, req contract.LeafRequest, permit *admit.Permit, done chan sendResult) {
	defer f.active.Done()
	if b.action == hang {
		<-ctx.Done()
	} else {
		time.Sleep(b.delay)
	}
	f.mu.Lock()
	f.inFlight[leaf]--
	f.mu.Unlock()
	done <- f.finish(b, req, permit)
}

func (f *fakeLeaves) finish(b behavior, req contract.LeafRequest, permit *admit.Permit) sendResult {
	r := &contract.LeafReply{ID: req.ID, Attempt: req.Attempt, Service: req.Service, Shard: req.Shard, IndexVersion: req.IndexVersion}
	r.Hits = []contract.Hit{{ID: hitID(&req)}}
	switch b.action {
	case wrongVersion:
		r.IndexVersion++
	case wrongRequest:
		r.ID += "x"
	case refuse:
		permit.Done(admit.Refused, 0)
		return sendResult{err: contract.Refuse(contract.ReasonTargetRefused, nil)}
	case declineShard:
		permit.Done(admit.Declined, 0)
		return sendResult{err: contract.Refuse(contract.ReasonNoLiveTarget, nil)}
	case crash:
		permit.Done(admit.Failed, 0)
		return sendResult{err: &contract.Error{Verdict: contract.MayHaveRun, Reason: contract.ReasonTargetFailed, Cause: contract.ErrLeafExited}}
	case resetConnection, hang:
		permit.Done(admit.Failed, 0)
		return sendResult{err: &contract.Error{Verdict: contract.MayHaveRun, Reason: contract.ReasonTargetFailed}}
	}
	permit.Done(admit.Answered, 0)
	return sendResult{reply: r}
}

func hitID(req *contract.LeafRequest) string {
	return fmt.Sprintf("%s/%d/%d", req.ID, req.Shard, req.IndexVersion)
}

// fixture is a Group with fake leaves inside a synctest bubble.
type fixture struct {
	leaves *fakeLeaves
	gates  *admit.Gates
	group  *Group
}

const testSlots = 2

func newFixture(behave func(string, *contract.LeafRequest) behavior, names []string) *fixture {
	r := &fixture{leaves: newFakeLeaves(behave), gates: admit.NewGates(bubbleClock)}
	for _, n := range names {
		r.gates.Configure(addrOf(n), admit.Limits{Slots: testSlots, MaxQueue: 64})
	}
	r.gates.SetLeaseEnd(bubbleClock().Add(time.Hour))
	budget := func() Budget {
		return admit.NewBudget(func() float64 { return 0.5 }, 10, bubbleClock)
	}
	r.group = NewGroup(r.gates, r.leaves, bubbleClock, budget(), budget())
	return r
}

func addrOf(name string) string { return name + ":1" }

func leavesOf(names ...string) []settings.Leaf {
	out := make([]settings.Leaf, len(names))
	for i, n := range names {
		out[i] = settings.Leaf{Name: n, Addr: addrOf(n)}
	}
	return out
}

// run performs job with a timeout. Leaves may still be running when it returns.
func (r *fixture) run(job *Job, timeout time.Duration) *Result {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return r.group.Run(ctx, job)
}

// waitIdle waits for the attempts that a finished job left in flight.
func (r *fixture) waitIdle() {
	r.group.Wait()
	r.leaves.active.Wait()
	synctest.Wait()
}

func testJob(shards int, replicas []settings.Leaf) *Job {
	j := &Job{ID: "q", Service: "/s", Version: 7, Repeatable: true, HedgeShare: 0.5}
	for range shards {
		j.Replicas = append(j.Replicas, replicas)
	}
	return j
}

// inBubble runs f with fake time in a synctest bubble.
func inBubble(t *testing.T, f func()) {
	t.Helper()
	synctest.Test(t, func(*testing.T) { f() })
}

// go-metrics starts a single goroutine for all meters when the first one is created. It must
// not belong to a bubble, whose fake time would then never advance.
var _ = newMeters(metrics.DefaultRegistry)
