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
	w       *world
	domain  int
	links   map[*leaf]*link
	paces   []policy.LatencyEstimator // by route index
	budgets *policy.Budgets
}

// leafState is a daemon's state for one leaf: its statistics and its connections.
type link struct {
	policy.LeafStats
	used  int
	waits []*send
}

func newDaemon(w *world, domain int) *daemon {
	return &daemon{
		w: w, domain: domain, links: make(map[*leaf]*link), paces: make([]policy.LatencyEstimator, len(w.cfg.Routes)),
		budgets: policy.NewBudgets(w.cfg.Budget, func() vm.Instant { return w.now }, func() int { return w.cfg.Daemons }),
	}
}

func (d *daemon) link(l *leaf) *link {
	k := d.links[l]
	if k == nil {
		k = &link{}
		d.links[l] = k
	}
	return k
}

// gather is one caller's request, which a daemon sends to a leaf of every shard.
type gather struct {
	d           *daemon
	route       *Route
	pace        *policy.LatencyEstimator
	routeNumber int
	arrived     vm.Instant
	times       policy.Schedule
	shards      []shard
	need        int
	have        int
	over        bool
	unsent      bool
}

// shard is the state of one shard within a gather.
type shard struct {
	done  bool
	stuck bool
	ended bool
	sends []*send // unfinished
	tried []*leaf
	tries int
	pause time.Duration
}

// leafRequest is one request that a daemon sends to a leaf.
type send struct {
	g     *gather
	shard int
	leaf  *leaf
	hop   time.Duration
	began vm.Instant
	state sendState
	gone  bool // the daemon no longer waits for it
	left  bool // the leaf has seen that its connection was closed
}

type sendState uint8

const (
	waiting sendState = iota // waits for a connection
	sent                     // on the network, not yet at the leaf
	queued
	running
	over
)

// hedgeSendLimit is the number of sends for a shard from which on no hedge is sent to it.
const attempts = 2

// startGather handles a caller's request for the route at the given index.
func (d *daemon) gather(route int) {
	r := &d.w.cfg.Routes[route]
	pace := &d.paces[route]
	terms := policy.TimeLimits{Timeout: r.Timeout, TargetLatency: r.Aim, AnswerMargin: r.Margin}
	g := &gather{
		d: d, route: r, routeNumber: route, pace: pace, arrived: d.w.now, times: policy.NewSchedule(terms, r.Timeout, 0, pace),
		shards: make([]shard, d.w.cfg.Shards), need: int(math.Ceil(r.Need*float64(d.w.cfg.Shards) - 1e-9)), unsent: true,
	}
	for i := range g.shards {
		d.budgets.RecordRequest(d.service(i))
		g.launch(i, false)
	}
	d.w.after(g.times.HedgeAfter, g.hedge)
	d.w.after(g.times.PartialAfter, g.decide)
	d.w.after(g.times.AnswerDeadline, g.decide)
}

func (d *daemon) service(shard int) string { return d.w.result.services[shard] }

// sendToShard sends a request to the best leaf of shard i, within the retry and hedge budget.
func (g *gather) launch(i int, hedge bool) {
	s := &g.shards[i]
	l := g.choose(i)
	if l == nil {
		if !hedge {
			g.roundOver(i)
		}
		return
	}
	if s.tries > 0 && !g.d.budgets.Spend(g.d.service(i), hedge) {
		g.d.w.result.Denied++
		if !hedge {
			g.roundOver(i)
		}
		return
	}
	if s.tries > 0 {
		g.d.w.result.extra++
	} else {
		g.d.w.result.first++
	}
	s.stuck = false
	s.tries++
	x := &send{g: g, shard: i, leaf: l, began: g.d.w.now, hop: g.d.w.cfg.Near}
	if l.domain != g.d.domain {
		x.hop = g.d.w.cfg.Far
	}
	s.sends = append(s.sends, x)
	s.tried = append(s.tried, l)
	g.d.connect(x)
}

// chooseLeaf returns the leaf of shard i to send to, or nil if every leaf has been tried.
func (g *gather) choose(i int) *leaf {
	var from []*leaf
	var of []policy.Candidate
	for _, l := range g.d.w.leaves[i] {
		if slices.Contains(g.shards[i].tried, l) {
			continue
		}
		c := policy.Candidate{SameDomain: l.domain == g.d.domain, Slots: g.d.w.cfg.Slots}
		if !g.d.w.cfg.Without.Learning {
			c.Stats = &g.d.link(l).LeafStats
		}
		from, of = append(from, l), append(of, c)
	}
	if k := policy.Choose(of, g.d.w.now, g.pace.Median(), g.d.w.rng); k >= 0 {
		return from[k]
	}
	return nil
}

// endRound schedules the next round of sends to shard i, when no leaf is left to try or the budget is spent.
func (g *gather) roundOver(i int) {
	s := &g.shards[i]
	s.stuck = true
	if s.tries >= policy.MaxSends {
		s.ended = true
		return
	}
	s.pause = policy.RoundPause(s.pause)
	s.tried = nil
	for _, x := range s.sends {
		s.tried = append(s.tried, x.leaf)
	}
	g.d.w.after(s.pause, func() {
		if !g.over && !s.done && s.stuck {
			g.launch(i, false)
		}
	})
}

// acquireConn sends req on one of the daemon's connections to the leaf, or waits for one to become free.
func (d *daemon) connect(x *send) {
	k := d.link(x.leaf)
	k.Begin(x.began)
	if k.used < policy.ConnectionsPerDaemon(d.w.cfg.Connections, d.w.cfg.Daemons) {
		k.used++
		d.transmit(x)
		return
	}
	wait := policy.ConnWait(x.g.pace.Median())
	if d.w.cfg.Without.Waits {
		wait = 0
	}
	k.waits = append(k.waits, x)
	d.w.after(wait, func() {
		if x.state == waiting && !x.gone {
			d.unwait(x)
			d.result(x, policy.RequestResult{Outcome: policy.Inconclusive}, false)
		}
	})
}

func (d *daemon) unwait(x *send) {
	k := d.link(x.leaf)
	k.waits = slices.DeleteFunc(k.waits, func(y *send) bool { return y == x })
}

func (d *daemon) transmit(x *send) {
	x.state = sent
	x.g.unsent = false
	d.w.after(x.hop, func() { x.leaf.arrive(x) })
}

// releaseConn hands a connection over to the request that has waited longest, if there is one.
func (d *daemon) free(l *leaf) {
	k := d.link(l)
	if len(k.waits) == 0 {
		k.used--
		return
	}
	first := k.waits[0]
	k.waits = k.waits[1:]
	d.transmit(first)
}

// handleReply handles a leaf's reply.
func (d *daemon) replied(x *send, refused bool, load *policy.Load) {
	if x.gone {
		return
	}
	d.free(x.leaf)
	e := policy.RequestResult{Outcome: policy.Replied, ReplyReceived: true, Load: load}
	if refused {
		e.Outcome = policy.Rejected
	}
	d.result(x, e, !refused)
}

// finish records the result of req. hasPart says whether the leaf returned its part of the answer.
func (d *daemon) result(x *send, e policy.RequestResult, part bool) {
	g := x.g
	s := &g.shards[x.shard]
	x.gone = true
	e.Elapsed, e.MedianLatency = d.w.now.Sub(x.began), g.pace.Median()
	d.link(x.leaf).End(d.w.now, x.began, e, d.w.rng)
	if e.Outcome == policy.Replied {
		g.pace.Observe(e.Elapsed)
	}
	s.sends = slices.DeleteFunc(s.sends, func(y *send) bool { return y == x })
	switch {
	case g.over || s.done:
	case part:
		s.done = true
		g.have++
		for _, y := range slices.Clone(s.sends) {
			d.abandon(y)
		}
	case len(s.sends) == 0 && s.tries < policy.MaxSends:
		g.launch(x.shard, false)
	case len(s.sends) == 0:
		s.stuck, s.ended = true, true
	}
	g.decide()
}

// cancel ends a request whose reply is no longer needed and closes its connection.
func (d *daemon) abandon(x *send) {
	if x.gone {
		return
	}
	x.gone = true
	s := &x.g.shards[x.shard]
	s.sends = slices.DeleteFunc(s.sends, func(y *send) bool { return y == x })
	e := policy.RequestResult{Outcome: policy.Overdue, Elapsed: d.w.now.Sub(x.began), MedianLatency: x.g.pace.Median()}
	if x.state == waiting {
		e.Outcome = policy.Inconclusive
		d.unwait(x)
	} else {
		x.g.pace.Observe(e.Elapsed)
		d.free(x.leaf)
		d.w.after(x.hop, func() { x.leaf.leave(x) })
	}
	d.link(x.leaf).End(d.w.now, x.began, e, d.w.rng)
}

// sendHedges sends a second request to every shard whose reply is late.
func (g *gather) hedge() {
	if g.over || g.d.w.cfg.Without.Hedges {
		return
	}
	if policy.SuppressHedges(len(g.shards)-g.have, len(g.shards)) {
		g.d.w.after(policy.HedgeRecheckInterval, g.hedge)
		return
	}
	for i := range g.shards {
		if s := &g.shards[i]; !s.done && len(s.sends) == 1 && s.tries < attempts {
			g.launch(i, true)
		}
	}
}

// maybeAnswer answers the caller if the policy says that it is time.
func (g *gather) decide() {
	if g.over {
		return
	}
	p := policy.Progress{
		Shards: len(g.shards), Required: g.need, Received: g.have, NotRun: g.unsent, Elapsed: g.d.w.now.Sub(g.arrived),
	}
	for i := range g.shards {
		switch s := &g.shards[i]; {
		case s.done:
		case s.stuck && len(s.sends) == 0:
			p.Blocked++
			if s.ended {
				p.Abandoned++
			}
		default:
			p.Pending++
		}
	}
	step := p.Decide(g.times)
	if step == policy.Continue {
		return
	}
	g.over = true
	g.d.w.result.answer(g, step == policy.AnswerNow)
	for i := range g.shards {
		for _, x := range slices.Clone(g.shards[i].sends) {
			g.d.abandon(x)
		}
	}
}
