package query

import (
	"context"
	"slices"
	"time"

	"pearmoor/internal/contract"
	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/vm"
)

// attemptStride is the distance between the attempt numbers of different homes, and its
// square the distance between those of different rounds, so that a late reply to one of
// them never matches the attempt of another.
const attemptStride = 1 << 10

// remoteResultWait bounds how long the results of remote calls are awaited after their
// deadline. It is part of replyMargin.
const expiredWait = 2 * time.Millisecond

// call sends a sub-query to the homes of one leaf group, one after the other, until a
// home answers or none is left.
type call struct {
	e        *Engine
	st       state
	t        *target
	r        *route
	q        *subquery
	homes    []vm.Member
	results  chan callDone
	sent     int
	inFlight int
	local    int // calls in flight that this daemon serves itself
	refused  *part
	first    *part // answer with missing shards that another home is being asked for
	doubt    bool  // a home that gave no answer may have sent the request to leaves
}

// callResult is the result of one home: an answer or an error.
type callDone struct {
	home  vm.Member
	local bool
	part  *part
	err   *contract.Error
}

// queryGroup sends q to the homes of a leaf group and returns the group's answer, never nil.
func (e *Engine) ask(ctx context.Context, st state, t *target, q *subquery) *part {
	r := e.route(t)
	c := &call{e: e, st: st, t: t, r: r, q: q, homes: e.order(t, r)}
	c.results = make(chan callDone, len(c.homes))
	r.hedges.Primary()
	r.retries.Primary()
	return c.run(ctx)
}

func (c *call) run(ctx context.Context) *part {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !c.send(ctx) {
		p := c.lost(contract.ReasonHomeLost)
		p.retryAfter = drainingWait
		return p
	}
	timer := time.NewTimer(c.patience(ctx))
	defer timer.Stop()
	for {
		select {
		case d := <-c.results:
			if p := c.take(ctx, d); p != nil {
				return p
			}
		case <-timer.C:
			c.hedge(ctx)
		case <-ctx.Done():
			return c.expired()
		}
	}
}

// hedgeDelay returns how long to wait for the first home before a second one is asked.
func (c *call) patience(ctx context.Context) time.Duration {
	left := time.Minute
	if at, ok := ctx.Deadline(); ok {
		left = time.Until(at)
	}
	return c.r.patience(left)
}

// handleResult processes the result of one home. It returns the answer of the group when
// that ends the call, else nil.
func (c *call) take(ctx context.Context, d callDone) *part {
	c.landed(&d)
	if c.first != nil {
		return c.filled(d)
	}
	if d.err == nil && d.part.refusal == "" {
		c.settle(d.part)
		if c.fill(ctx, d.part) {
			return nil
		}
		return d.part
	}
	if d.err == nil {
		c.refused = better(c.refused, d.part)
	} else if d.err.Verdict != contract.NotRun {
		c.doubt = true
	}
	if c.next(ctx, d) || c.inFlight > 0 {
		return nil
	}
	if c.doubt || c.refused == nil {
		return c.lost(contract.ReasonHomeLost)
	}
	return c.refused
}

// recordResult removes a finished call from the counts and records what the home reported
// about its load and its index versions.
func (c *call) landed(d *callDone) {
	c.inFlight--
	if d.local {
		c.local--
	}
	if d.err == nil && c.crossed(d.part) {
		d.err = &contract.Error{Verdict: contract.MayHaveRun, Reason: contract.ReasonWrongReply}
	}
	if d.err == nil {
		c.r.learn(d.home.Name, d.part, c.e.Clock())
	}
}

// raiseIfUncertain turns the "not run" verdicts of p into "may have run" when another home
// was asked as well and has not proved that it sent nothing: p covers only the attempts of
// its own home.
func (c *call) settle(p *part) {
	if c.doubt || c.inFlight > 0 {
		p.raise(c.q.service)
	}
}

// wrongVersion reports whether p is of another index version than the pinned one. Accepting
// it would mix two versions in one answer.
func (c *call) crossed(p *part) bool {
	return p.refusal == "" && c.q.pin != 0 && p.version != c.q.pin
}

// tryNextHome asks another home after one refused or failed. A refusal proves that nothing
// was sent to a leaf, so the retry is free of the retry budget and allowed for every
// request. A home that failed may have sent the request, and asking another could run it
// twice: only repeatable requests are retried then, within the budget.
func (c *call) next(ctx context.Context, d callDone) bool {
	if ctx.Err() != nil || c.sent >= len(c.homes) {
		return false
	}
	certain := d.err == nil || d.err.Verdict == contract.NotRun
	if !certain && (!c.q.repeatable || c.q.canary || !c.r.retries.Spend()) {
		return false
	}
	if c.doubt && !c.q.repeatable {
		return false
	}
	meter.homeRetry.Inc(1)
	return c.send(ctx)
}

// hedge asks a second home when the first has not answered within the hedge delay.
func (c *call) hedge(ctx context.Context) {
	if !c.q.repeatable || c.q.canary || c.inFlight != 1 || c.sent >= len(c.homes) || !c.r.hedges.Spend() {
		return
	}
	if c.send(ctx) {
		meter.homeHedges.Inc(1)
	}
}

// finishAtDeadline ends the call at its deadline. It first waits for the sub-query that this
// daemon serves itself, which ends at the same deadline with the shards answered by then,
// and up to remoteResultWait for remote calls, whose errors prove that nothing was sent when
// the home was never reached.
func (c *call) expired() *part {
	timer := time.NewTimer(expiredWait)
	defer timer.Stop()
	overdue := timer.C
	for c.local > 0 || c.inFlight > 0 && overdue != nil {
		select {
		case d := <-c.results:
			c.landed(&d)
			switch {
			case c.first != nil:
				return c.filled(d)
			case d.err == nil && d.part.refusal == "":
				c.settle(d.part)
				return d.part
			case d.err != nil && d.err.Verdict != contract.NotRun:
				c.doubt = true
			}
		case <-overdue:
			overdue = nil
		}
	}
	if c.first != nil {
		c.markDoubt(c.first)
		return c.first
	}
	return c.lost(contract.ReasonDeadline)
}

// send sends the sub-query to the next home. It returns false when there is none left.
func (c *call) send(ctx context.Context) bool {
	if c.sent >= len(c.homes) {
		return false
	}
	home := c.homes[c.sent]
	q := *c.q
	q.attemptBase += uint32(c.sent) * attemptStride
	local := home.Same(c.e.Self)
	c.sent++
	c.inFlight++
	if local {
		c.local++
	}
	go func() {
		d := callDone{home: home, local: local}
		began := c.e.Clock()
		if local {
			d.part = c.e.serve(ctx, c.st, &q)
		} else {
			d.part, d.err = c.e.askRemote(ctx, c.st, home, &q)
		}
		if d.err == nil && d.part.refusal == "" {
			c.r.latency.Observe(c.e.Clock().Sub(began))
		}
		c.results <- d
	}()
	return true
}

// queryRemote sends q to a home on another daemon.
func (e *Engine) askRemote(ctx context.Context, st state, home vm.Member, q *subquery) (*part, *contract.Error) {
	left := time.Minute
	if at, ok := ctx.Deadline(); ok {
		left = hopLeft(time.Until(at))
	}
	if left < time.Millisecond {
		return nil, contract.Refuse(contract.ReasonDeadline, nil)
	}
	conn, err := e.Conns.Conn(ctx, home.PeerAddr)
	if err != nil {
		return nil, contract.Refuse(contract.ReasonHomeLost, err)
	}
	defer conn.Close()
	w, err := wire.NewDRPCHomeClient(conn).Query(ctx, q.toWire(left, st.ConfigVersion(), e.Self.Name))
	if err != nil {
		return nil, lostHome(err)
	}
	if w.QueryId != q.id || w.Service != q.service {
		return nil, &contract.Error{Verdict: contract.MayHaveRun, Reason: contract.ReasonWrongReply}
	}
	return partFromWire(w), nil
}

// homeError converts the error of a call to a home: "not run" if the call was never sent,
// else "may have run".
func lostHome(err error) *contract.Error {
	if peer.NotSent(err) {
		return contract.Refuse(contract.ReasonHomeLost, err)
	}
	return &contract.Error{Verdict: contract.MayHaveRun, Reason: contract.ReasonHomeLost, Cause: err}
}

// betterRefusal returns the refusal with more information: one that lists index versions,
// then one with the size of the partition map, else the one with the shorter Retry-After.
func better(a, b *part) *part {
	switch {
	case a == nil || (len(a.versions) == 0 && len(b.versions) > 0):
		return b
	case len(b.versions) == 0 && len(a.versions) > 0:
		return a
	case a.shards == 0 && b.shards > 0:
		return b
	case b.retryAfter > 0 && (a.retryAfter == 0 || b.retryAfter < a.retryAfter):
		return b
	}
	return a
}

// unanswered returns the answer of a leaf group whose homes gave none: every requested
// shard is missing. The number of shards is that of the pinned version as last reported;
// when it is unknown, the group counts as one shard and the answer has no version.
func (c *call) lost(reason contract.Reason) *part {
	verdict := contract.NotRun
	if c.doubt || c.inFlight > 0 {
		verdict = contract.MayHaveRun
	}
	p := &part{version: c.q.pin}
	shards := c.q.shards
	if seen := c.r.versions.Load(); seen != nil && len(shards) == 0 {
		if v := expected(seen.states, c.q.pin); v != nil {
			p.version, shards = v.version, firstShards(v.shards)
		}
	}
	if len(shards) == 0 {
		p.version, shards = 0, []uint32{0}
	}
	p.shards = uint32(len(shards))
	for _, s := range shards {
		p.missing = append(p.missing, contract.Missing{Service: c.q.service, Shard: s, Reason: reason, Verdict: verdict})
	}
	if verdict == contract.NotRun {
		p.refusal = reason
	}
	return p
}

// findVersion returns the state of the pinned version, or of the newest one if pin is 0.
// It returns nil when states lacks the version.
func expected(states []versionState, pin uint64) *versionState {
	at := slices.IndexFunc(states, func(v versionState) bool { return pin == 0 || v.version == pin })
	if at < 0 {
		return nil
	}
	return &states[at]
}

// allShards returns the numbers of all shards of a partition map of n shards.
func firstShards(n uint32) []uint32 {
	out := make([]uint32, n)
	for i := range out {
		out[i] = uint32(i)
	}
	return out
}
