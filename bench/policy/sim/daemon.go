package sim

import (
	"math"
	"slices"
	"time"

	"pearmoor/internal/policy"
	"pearmoor/internal/vm"
)

// daemon simulates the daemon of one VM of the tier.
type daemon struct {
	sim        *simulation
	domain     int
	leafStates map[*leaf]*leafState
	latencies  []policy.LatencyEstimator // by route index
	budgets    *policy.Budgets
}

// leafState is a daemon's state for one leaf: its statistics and its connections.
type leafState struct {
	policy.LeafStats
	connsInUse int
	waiting    []*leafRequest // for a connection, oldest first
}

func newDaemon(sim *simulation, domain int) *daemon {
	return &daemon{
		sim: sim, domain: domain, leafStates: make(map[*leaf]*leafState), latencies: make([]policy.LatencyEstimator, len(sim.cfg.Routes)),
		budgets: policy.NewBudgets(sim.cfg.Budget, func() vm.Instant { return sim.now }, func() int { return sim.cfg.Daemons }),
	}
}

func (d *daemon) leafState(l *leaf) *leafState {
	state := d.leafStates[l]
	if state == nil {
		state = &leafState{}
		d.leafStates[l] = state
	}
	return state
}

// gather is one caller's request, which a daemon sends to a leaf of every shard.
type gather struct {
	d          *daemon // handles the request
	route      *Route
	latency    *policy.LatencyEstimator
	routeIndex int
	arrived    vm.Instant
	schedule   policy.Schedule
	shards     []shard
	required   int  // parts that an answer must contain
	received   int  // parts so far
	answered   bool // the caller has its answer or error
	notSent    bool // no leaf request has been sent yet
}

// shard is the state of one shard within a gather.
type shard struct {
	done        bool           // its part has been received
	blocked     bool           // waits for the next round of sends, or abandoned
	abandoned   bool           // gets no more sends
	inFlight    []*leafRequest // unfinished
	triedLeaves []*leaf        // not sent to again in this round
	sendCount   int
	roundPause  time.Duration // before the next round
}

// leafRequest is one request that a daemon sends to a leaf.
type leafRequest struct {
	g            *gather
	shard        int
	leaf         *leaf
	networkDelay time.Duration
	startedAt    vm.Instant
	state        requestState
	ended        bool // the daemon no longer waits for it
	connClosed   bool // the leaf has seen that its connection was closed
}

type requestState uint8

const (
	awaitingConn requestState = iota // waits for a connection
	inTransit                        // on the network, not yet at the leaf
	queued
	running
	finished
)

// hedgeSendLimit is the number of sends for a shard from which on no hedge is sent to it.
const hedgeSendLimit = 2

// startGather handles a caller's request for the route at the given index.
func (d *daemon) startGather(route int) {
	r := &d.sim.cfg.Routes[route]
	latency := &d.latencies[route]
	limits := policy.TimeLimits{Timeout: r.Timeout, TargetLatency: r.TargetLatency, AnswerMargin: r.AnswerMargin}
	g := &gather{
		d: d, route: r, routeIndex: route, latency: latency, arrived: d.sim.now, schedule: policy.NewSchedule(limits, r.Timeout, 0, latency),
		shards: make([]shard, d.sim.cfg.Shards), required: int(math.Ceil(r.RequiredShare*float64(d.sim.cfg.Shards) - 1e-9)), notSent: true,
	}
	for i := range g.shards {
		d.budgets.RecordRequest(d.serviceName(i))
		g.sendToShard(i, false)
	}
	d.sim.after(g.schedule.HedgeAfter, g.sendHedges)
	d.sim.after(g.schedule.PartialAfter, g.maybeAnswer)
	d.sim.after(g.schedule.AnswerDeadline, g.maybeAnswer)
}

func (d *daemon) serviceName(shard int) string { return d.sim.result.serviceNames[shard] }

// sendToShard sends a request to the best leaf of shard i, within the retry and hedge budget.
func (g *gather) sendToShard(i int, hedge bool) {
	s := &g.shards[i]
	l := g.chooseLeaf(i)
	if l == nil {
		if !hedge {
			g.endRound(i)
		}
		return
	}
	if s.sendCount > 0 && !g.d.budgets.Spend(g.d.serviceName(i), hedge) {
		g.d.sim.result.Denied++
		if !hedge {
			g.endRound(i)
		}
		return
	}
	if s.sendCount > 0 {
		g.d.sim.result.extraSends++
	} else {
		g.d.sim.result.firstSends++
	}
	s.blocked = false
	s.sendCount++
	req := &leafRequest{g: g, shard: i, leaf: l, startedAt: g.d.sim.now, networkDelay: g.d.sim.cfg.SameDomainDelay}
	if l.domain != g.d.domain {
		req.networkDelay = g.d.sim.cfg.CrossDomainDelay
	}
	s.inFlight = append(s.inFlight, req)
	s.triedLeaves = append(s.triedLeaves, l)
	g.d.acquireConn(req)
}

// chooseLeaf returns the leaf of shard i to send to, or nil if every leaf has been tried.
func (g *gather) chooseLeaf(i int) *leaf {
	var leaves []*leaf
	var candidates []policy.Candidate
	for _, l := range g.d.sim.leaves[i] {
		if slices.Contains(g.shards[i].triedLeaves, l) {
			continue
		}
		c := policy.Candidate{SameDomain: l.domain == g.d.domain, Slots: g.d.sim.cfg.Slots}
		if !g.d.sim.cfg.Disabled.LeafStats {
			c.Stats = &g.d.leafState(l).LeafStats
		}
		leaves, candidates = append(leaves, l), append(candidates, c)
	}
	if k := policy.Choose(candidates, g.d.sim.now, g.latency.Median(), g.d.sim.rng); k >= 0 {
		return leaves[k]
	}
	return nil
}

// endRound schedules the next round of sends to shard i, when no leaf is left to try or the budget is spent.
func (g *gather) endRound(i int) {
	s := &g.shards[i]
	s.blocked = true
	if s.sendCount >= policy.MaxSends {
		s.abandoned = true
		return
	}
	s.roundPause = policy.RoundPause(s.roundPause)
	s.triedLeaves = nil
	for _, req := range s.inFlight {
		s.triedLeaves = append(s.triedLeaves, req.leaf)
	}
	g.d.sim.after(s.roundPause, func() {
		if !g.answered && !s.done && s.blocked {
			g.sendToShard(i, false)
		}
	})
}

// acquireConn sends req on one of the daemon's connections to the leaf, or waits for one to become free.
func (d *daemon) acquireConn(req *leafRequest) {
	state := d.leafState(req.leaf)
	state.Begin(req.startedAt)
	if state.connsInUse < policy.ConnectionsPerDaemon(d.sim.cfg.MaxConns, d.sim.cfg.Daemons) {
		state.connsInUse++
		d.transmit(req)
		return
	}
	wait := policy.ConnWait(req.g.latency.Median())
	if d.sim.cfg.Disabled.ConnWaits {
		wait = 0
	}
	state.waiting = append(state.waiting, req)
	d.sim.after(wait, func() {
		if req.state == awaitingConn && !req.ended {
			d.stopWaiting(req)
			d.finish(req, policy.RequestResult{Outcome: policy.Inconclusive}, false)
		}
	})
}

func (d *daemon) stopWaiting(req *leafRequest) {
	state := d.leafState(req.leaf)
	state.waiting = slices.DeleteFunc(state.waiting, func(other *leafRequest) bool { return other == req })
}

func (d *daemon) transmit(req *leafRequest) {
	req.state = inTransit
	req.g.notSent = false
	d.sim.after(req.networkDelay, func() { req.leaf.receive(req) })
}

// releaseConn hands a connection over to the request that has waited longest, if there is one.
func (d *daemon) releaseConn(l *leaf) {
	state := d.leafState(l)
	if len(state.waiting) == 0 {
		state.connsInUse--
		return
	}
	first := state.waiting[0]
	state.waiting = state.waiting[1:]
	d.transmit(first)
}

// handleReply handles a leaf's reply.
func (d *daemon) handleReply(req *leafRequest, rejected bool, load *policy.Load) {
	if req.ended {
		return
	}
	d.releaseConn(req.leaf)
	res := policy.RequestResult{Outcome: policy.Replied, ReplyReceived: true, Load: load}
	if rejected {
		res.Outcome = policy.Rejected
	}
	d.finish(req, res, !rejected)
}

// finish records the result of req. hasPart says whether the leaf returned its part of the answer.
func (d *daemon) finish(req *leafRequest, res policy.RequestResult, hasPart bool) {
	g := req.g
	s := &g.shards[req.shard]
	req.ended = true
	res.Elapsed, res.MedianLatency = d.sim.now.Sub(req.startedAt), g.latency.Median()
	d.leafState(req.leaf).End(d.sim.now, req.startedAt, res, d.sim.rng)
	if res.Outcome == policy.Replied {
		g.latency.Observe(res.Elapsed)
	}
	s.inFlight = slices.DeleteFunc(s.inFlight, func(other *leafRequest) bool { return other == req })
	switch {
	case g.answered || s.done:
	case hasPart:
		s.done = true
		g.received++
		for _, other := range slices.Clone(s.inFlight) {
			d.cancel(other)
		}
	case len(s.inFlight) == 0 && s.sendCount < policy.MaxSends:
		g.sendToShard(req.shard, false)
	case len(s.inFlight) == 0:
		s.blocked, s.abandoned = true, true
	}
	g.maybeAnswer()
}

// cancel ends a request whose reply is no longer needed and closes its connection.
func (d *daemon) cancel(req *leafRequest) {
	if req.ended {
		return
	}
	req.ended = true
	s := &req.g.shards[req.shard]
	s.inFlight = slices.DeleteFunc(s.inFlight, func(other *leafRequest) bool { return other == req })
	res := policy.RequestResult{Outcome: policy.Overdue, Elapsed: d.sim.now.Sub(req.startedAt), MedianLatency: req.g.latency.Median()}
	if req.state == awaitingConn {
		res.Outcome = policy.Inconclusive
		d.stopWaiting(req)
	} else {
		req.g.latency.Observe(res.Elapsed)
		d.releaseConn(req.leaf)
		d.sim.after(req.networkDelay, func() { req.leaf.cancelRequest(req) })
	}
	d.leafState(req.leaf).End(d.sim.now, req.startedAt, res, d.sim.rng)
}

// sendHedges sends a second request to every shard whose reply is late.
func (g *gather) sendHedges() {
	if g.answered || g.d.sim.cfg.Disabled.Hedges {
		return
	}
	if policy.SuppressHedges(len(g.shards)-g.received, len(g.shards)) {
		g.d.sim.after(policy.HedgeRecheckInterval, g.sendHedges)
		return
	}
	for i := range g.shards {
		if s := &g.shards[i]; !s.done && len(s.inFlight) == 1 && s.sendCount < hedgeSendLimit {
			g.sendToShard(i, true)
		}
	}
}

// maybeAnswer answers the caller if the policy says that it is time.
func (g *gather) maybeAnswer() {
	if g.answered {
		return
	}
	progress := policy.Progress{
		Shards: len(g.shards), Required: g.required, Received: g.received, NotRun: g.notSent, Elapsed: g.d.sim.now.Sub(g.arrived),
	}
	for i := range g.shards {
		switch s := &g.shards[i]; {
		case s.done:
		case s.blocked && len(s.inFlight) == 0:
			progress.Blocked++
			if s.abandoned {
				progress.Abandoned++
			}
		default:
			progress.Pending++
		}
	}
	step := progress.Decide(g.schedule)
	if step == policy.Continue {
		return
	}
	g.answered = true
	g.d.sim.result.recordOutcome(g, step == policy.AnswerNow)
	for i := range g.shards {
		for _, req := range slices.Clone(g.shards[i].inFlight) {
			g.d.cancel(req)
		}
	}
}
