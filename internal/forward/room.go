package forward

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"pearmoor/internal/contract"
	"pearmoor/internal/policy"
	"pearmoor/internal/route"
	"pearmoor/internal/vm"
)

var (
	roomAdmitted    = metrics.GetOrRegisterCounter("room.admitted", metrics.DefaultRegistry)
	roomQueued      = metrics.GetOrRegisterCounter("room.queued", metrics.DefaultRegistry)
	roomRefusedFull = metrics.GetOrRegisterCounter("room.refused.full", metrics.DefaultRegistry)
	roomRefusedLate = metrics.GetOrRegisterCounter("room.refused.late", metrics.DefaultRegistry)
	roomBacklog     = metrics.GetOrRegisterGauge("room.backlog_us", metrics.DefaultRegistry)
	roomWait        = metrics.GetOrRegisterHistogram("room.wait_us", metrics.DefaultRegistry, metrics.NewExpDecaySample(512, 0.015))
)

// room lets requests wait for this VM's CPU as policy.Room decides. It has no goroutine of its
// own; a timer runs only while requests wait. It is safe for concurrent use.
type room struct {
	clock vm.Clock

	mu       sync.Mutex
	policy   *policy.Room
	wake     map[*policy.RoomTicket]chan bool // receives whether the request was admitted
	timer    *time.Timer
	armed    bool // timer is set to call at timerAt
	timerAt  vm.Instant
	started  []*policy.RoomTicket // reused by advance
	timedOut []*policy.RoomTicket // reused by advance
}

func newRoom(clock vm.Clock) *room {
	return &room{clock: clock, policy: policy.NewRoom(policy.RoomLimits{}), wake: make(map[*policy.RoomTicket]chan bool)}
}

// roomLimits returns the limits for a VM and a table. The most urgent route is the one with the
// shortest target latency of those with the highest priority.
func roomLimits(t *route.Table, millicores uint32) policy.RoomLimits {
	limits := policy.RoomLimits{Millicores: millicores}
	for i, e := range t.Entries() {
		switch {
		case i == 0 || e.Priority < limits.UrgentPriority:
			limits.UrgentPriority, limits.UrgentLatency = e.Priority, e.TargetLatency
		case e.Priority == limits.UrgentPriority && e.TargetLatency > 0 && (limits.UrgentLatency == 0 || e.TargetLatency < limits.UrgentLatency):
			limits.UrgentLatency = e.TargetLatency
		}
	}
	return limits
}

// setLimits replaces the limits.
func (q *room) setLimits(limits policy.RoomLimits) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.policy.SetLimits(limits)
	q.advance(q.clock())
}

// roomRefusal says why a request was not admitted.
type roomRefusal struct {
	decision policy.RoomDecision
	reason   contract.Reason
}

// enter waits until the request is admitted. It returns leave, which must be called when the
// request has ended, or the reason why the request was refused. Both are nil if ctx is cancelled
// because the caller has left.
func (q *room) enter(ctx context.Context, finishing <-chan struct{}, req policy.RoomRequest) (leave func(), refused *roomRefusal) {
	q.mu.Lock()
	now := q.clock()
	if q.armed && q.timerAt <= now {
		q.advance(now)
	}
	ticket, d := q.policy.Enter(now, req)
	var wake chan bool
	if d.Outcome == policy.RoomQueued {
		wake = make(chan bool, 1)
		q.wake[ticket] = wake
		q.arm()
	}
	q.mu.Unlock()
	switch d.Outcome {
	case policy.RoomAdmitted:
		roomAdmitted.Inc(1)
		return func() { q.leave(ticket) }, nil
	case policy.RoomFull:
		roomRefusedFull.Inc(1)
		return nil, &roomRefusal{d, contract.ReasonOverload}
	case policy.RoomLate:
		roomRefusedLate.Inc(1)
		return nil, &roomRefusal{d, contract.ReasonOverload}
	}
	roomQueued.Inc(1)
	began := time.Now()
	defer func() { roomWait.Update(time.Since(began).Microseconds()) }()
	select {
	case admitted := <-wake:
		if !admitted {
			roomRefusedLate.Inc(1)
			return nil, &roomRefusal{d, contract.ReasonOverload}
		}
		roomAdmitted.Inc(1)
		return func() { q.leave(ticket) }, nil
	case <-finishing:
		q.leave(ticket)
		return nil, &roomRefusal{d, contract.ReasonDraining}
	case <-ctx.Done():
		q.leave(ticket)
		return nil, nil
	}
}

// leave ends a request, whether it waits or was admitted.
func (q *room) leave(ticket *policy.RoomTicket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.wake, ticket)
	now := q.clock()
	q.policy.Leave(now, ticket)
	q.advance(now)
}

// advance admits the requests whose turn it is and sets the timer for the next one. The caller
// holds mu.
func (q *room) advance(now vm.Instant) {
	q.started, q.timedOut = q.policy.Advance(now, q.started[:0], q.timedOut[:0])
	for _, t := range q.started {
		q.notify(t, true)
	}
	for _, t := range q.timedOut {
		q.notify(t, false)
	}
	clear(q.started)
	clear(q.timedOut)
	roomBacklog.Update(q.policy.Backlog(now).Microseconds())
	q.arm()
}

func (q *room) notify(t *policy.RoomTicket, admitted bool) {
	q.wake[t] <- admitted
	delete(q.wake, t)
}

// arm sets the timer to the next time at which advance has something to do.
func (q *room) arm() {
	at, ok := q.policy.NextAdvance()
	if !ok || q.armed && q.timerAt <= at {
		return // a timer that expires early sets itself again
	}
	q.armed, q.timerAt = true, at
	if d := at.Sub(q.clock()); q.timer == nil {
		q.timer = time.AfterFunc(d, q.onTimer)
	} else {
		q.timer.Reset(d)
	}
}

func (q *room) onTimer() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.armed = false
	q.advance(q.clock())
}

// enterRoom waits for this VM's CPU if the configuration has organisations. It returns ok and a
// function to call when the request has ended, or the answer, which is nil if the caller leaves.
//
// A request is refused if the wait would make it miss the target latency of its route: a caller
// that is told at once can reach another VM in time. If it would miss the target without a wait as
// well, it may wait until its deadline, since a late answer is better than none.
func (r *run) enterRoom(ctx context.Context) (leave func(), a *Answer, ok bool) {
	if !r.active.table.RequiresKeys() {
		return func() {}, nil, true
	}
	now := r.e.cfg.Clock()
	req := policy.RoomRequest{
		Cost: policy.PartCost * time.Duration(max(1, len(r.entry.Shards))), Priority: r.priority, Weight: 1,
		Organisation: r.req.identity.name(),
	}
	if org := r.req.identity.organisation; org != nil && org.Rate > 0 {
		req.Weight = org.Rate
	}
	needed := r.e.room.runTime(req.Cost) + r.stats.pace.Median()
	spare := time.Until(r.afterArrival(r.times.PartialAfter)) - needed
	if spare <= 0 {
		spare = time.Until(r.afterArrival(r.times.AnswerDeadline)) - needed
	}
	req.LatestStart = now.Add(spare)
	leave, refused := r.e.room.enter(ctx, r.e.finishing, req)
	switch {
	case leave != nil:
		// The checks for late replies count from the start of the sends.
		if waited := r.e.cfg.Clock().Sub(now); waited > 0 && !r.hedgeAt.IsZero() {
			r.hedgeAt = r.hedgeAt.Add(waited)
		}
		return leave, nil, true
	case refused == nil:
		r.logCallerLeft(ctx)
		return nil, nil, false
	}
	a = &Answer{
		Status: http.StatusServiceUnavailable, Verdict: contract.NotRun, Reason: refused.reason,
		RetryAfter: policy.RoomRetryAfter(refused.decision.ExpectedWait),
	}
	r.e.cfg.Log.Line("room", "refused").Str("id", r.req.ID).Str("route", r.entry.Name).Str("reason", string(refused.reason)).
		Int("priority", int64(req.Priority)).Str("organisation", req.Organisation).Ms("backlog", refused.decision.Backlog).
		Ms("expected_wait", refused.decision.ExpectedWait).Int("queue", int64(refused.decision.Waiting)).
		Bool("waited", refused.decision.Outcome == policy.RoomQueued).End()
	return nil, a, false
}

// runTime returns how long this VM computes for the given CPU time on a full core.
func (q *room) runTime(cost time.Duration) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.policy.RunTime(cost)
}
