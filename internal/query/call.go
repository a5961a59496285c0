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
const remoteResultWait = 2 * time.Millisecond

// call sends a sub-query to the homes of one leaf group, one after the other, until a
// home answers or none is left.
type call struct {
	e             *Engine
	st            tierView
	g             *placedGroup
	r             *groupRoute
	q             *subquery
	homes         []vm.Member
	results       chan callResult
	sent          int
	inFlight      int
	localInFlight int // calls in flight that this daemon serves itself
	bestRefusal   *partialAnswer
	firstAnswer   *partialAnswer // answer with missing shards that another home is being asked for
	mayHaveRun    bool           // a home that gave no answer may have sent the request to leaves
}

// callResult is the result of one home: an answer or an error.
type callResult struct {
	home   vm.Member
	local  bool
	answer *partialAnswer
	err    *contract.Error
}

// queryGroup sends q to the homes of a leaf group and returns the group's answer, never nil.
func (e *Engine) queryGroup(ctx context.Context, st tierView, g *placedGroup, q *subquery) *partialAnswer {
	r := e.routeFor(g)
	c := &call{e: e, st: st, g: g, r: r, q: q, homes: e.orderHomes(g, r)}
	c.results = make(chan callResult, len(c.homes))
	r.hedgeBudget.Primary()
	r.retryBudget.Primary()
	return c.run(ctx)
}

func (c *call) run(ctx context.Context) *partialAnswer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !c.send(ctx) {
		p := c.unanswered(contract.ReasonHomeUnreachable)
		p.retryAfter = drainingRetryAfter
		return p
	}
	timer := time.NewTimer(c.hedgeDelay(ctx))
	defer timer.Stop()
	for {
		select {
		case res := <-c.results:
			if p := c.handleResult(ctx, res); p != nil {
				return p
			}
		case <-timer.C:
			c.hedge(ctx)
		case <-ctx.Done():
			return c.finishAtDeadline()
		}
	}
}

// hedgeDelay returns how long to wait for the first home before a second one is asked.
func (c *call) hedgeDelay(ctx context.Context) time.Duration {
	left := time.Minute
	if deadline, ok := ctx.Deadline(); ok {
		left = time.Until(deadline)
	}
	return c.r.hedgeDelay(left)
}

// handleResult processes the result of one home. It returns the answer of the group when
// that ends the call, else nil.
func (c *call) handleResult(ctx context.Context, res callResult) *partialAnswer {
	c.recordResult(&res)
	if c.firstAnswer != nil {
		return c.mergeFill(res)
	}
	if res.err == nil && res.answer.refusal == "" {
		c.raiseIfUncertain(res.answer)
		if c.fillGaps(ctx, res.answer) {
			return nil
		}
		return res.answer
	}
	if res.err == nil {
		c.bestRefusal = betterRefusal(c.bestRefusal, res.answer)
	} else if res.err.Verdict != contract.NotRun {
		c.mayHaveRun = true
	}
	if c.tryNextHome(ctx, res) || c.inFlight > 0 {
		return nil
	}
	if c.mayHaveRun || c.bestRefusal == nil {
		return c.unanswered(contract.ReasonHomeUnreachable)
	}
	return c.bestRefusal
}

// recordResult removes a finished call from the counts and records what the home reported
// about its load and its index versions.
func (c *call) recordResult(res *callResult) {
	c.inFlight--
	if res.local {
		c.localInFlight--
	}
	if res.err == nil && c.wrongVersion(res.answer) {
		res.err = &contract.Error{Verdict: contract.MayHaveRun, Reason: contract.ReasonWrongReply}
	}
	if res.err == nil {
		c.r.recordReply(res.home.Name, res.answer, c.e.Clock())
	}
}

// raiseIfUncertain turns the "not run" verdicts of p into "may have run" when another home
// was asked as well and has not proved that it sent nothing: p covers only the attempts of
// its own home.
func (c *call) raiseIfUncertain(p *partialAnswer) {
	if c.mayHaveRun || c.inFlight > 0 {
		p.raiseNotRun(c.q.service)
	}
}

// wrongVersion reports whether p is of another index version than the pinned one. Accepting
// it would mix two versions in one answer.
func (c *call) wrongVersion(p *partialAnswer) bool {
	return p.refusal == "" && c.q.pin != 0 && p.version != c.q.pin
}

// tryNextHome asks another home after one refused or failed. A refusal proves that nothing
// was sent to a leaf, so the retry does not use the retry budget and is allowed for
// every request. A home that failed may have sent the request, and asking another could run
// it twice: only repeatable requests are retried then, within the budget.
func (c *call) tryNextHome(ctx context.Context, res callResult) bool {
	if ctx.Err() != nil || c.sent >= len(c.homes) {
		return false
	}
	notRun := res.err == nil || res.err.Verdict == contract.NotRun
	if !notRun && (!c.q.repeatable || c.q.canary || !c.r.retryBudget.Spend()) {
		return false
	}
	if c.mayHaveRun && !c.q.repeatable {
		return false
	}
	meters.homeRetries.Inc(1)
	return c.send(ctx)
}

// hedge asks a second home when the first has not answered within the hedge delay.
func (c *call) hedge(ctx context.Context) {
	if !c.q.repeatable || c.q.canary || c.inFlight != 1 || c.sent >= len(c.homes) || !c.r.hedgeBudget.Spend() {
		return
	}
	if c.send(ctx) {
		meters.homeHedges.Inc(1)
	}
}

// finishAtDeadline ends the call at its deadline. It first waits for the sub-query that this
// daemon serves itself, which ends at the same deadline with the shards answered by then,
// and up to remoteResultWait for remote calls, whose errors prove that nothing was sent when
// the home was never reached.
func (c *call) finishAtDeadline() *partialAnswer {
	timer := time.NewTimer(remoteResultWait)
	defer timer.Stop()
	graceEnd := timer.C
	for c.localInFlight > 0 || c.inFlight > 0 && graceEnd != nil {
		select {
		case res := <-c.results:
			c.recordResult(&res)
			switch {
			case c.firstAnswer != nil:
				return c.mergeFill(res)
			case res.err == nil && res.answer.refusal == "":
				c.raiseIfUncertain(res.answer)
				return res.answer
			case res.err != nil && res.err.Verdict != contract.NotRun:
				c.mayHaveRun = true
			}
		case <-graceEnd:
			graceEnd = nil
		}
	}
	if c.firstAnswer != nil {
		c.markGapsMayHaveRun(c.firstAnswer)
		return c.firstAnswer
	}
	return c.unanswered(contract.ReasonDeadline)
}

// send sends the sub-query to the next home. It returns false when there is none left.
func (c *call) send(ctx context.Context) bool {
	if c.sent >= len(c.homes) {
		return false
	}
	home := c.homes[c.sent]
	q := *c.q
	q.attemptBase += uint32(c.sent) * attemptStride
	local := home.SameIncarnation(c.e.Self)
	c.sent++
	c.inFlight++
	if local {
		c.localInFlight++
	}
	go func() {
		res := callResult{home: home, local: local}
		start := c.e.Clock()
		if local {
			res.answer = c.e.serve(ctx, c.st, &q)
		} else {
			res.answer, res.err = c.e.queryRemote(ctx, c.st, home, &q)
		}
		if res.err == nil && res.answer.refusal == "" {
			c.r.latency.Observe(c.e.Clock().Sub(start))
		}
		c.results <- res
	}()
	return true
}

// queryRemote sends q to a home on another daemon.
func (e *Engine) queryRemote(ctx context.Context, st tierView, home vm.Member, q *subquery) (*partialAnswer, *contract.Error) {
	left := time.Minute
	if deadline, ok := ctx.Deadline(); ok {
		left = homeTimeLeft(time.Until(deadline))
	}
	if left < time.Millisecond {
		return nil, contract.Refuse(contract.ReasonDeadline, nil)
	}
	conn, err := e.Conns.Conn(ctx, home.PeerAddr)
	if err != nil {
		return nil, contract.Refuse(contract.ReasonHomeUnreachable, err)
	}
	defer conn.Close()
	w, err := wire.NewDRPCHomeClient(conn).Query(ctx, q.toWire(left, st.ConfigVersion(), e.Self.Name))
	if err != nil {
		return nil, homeError(err)
	}
	if w.QueryId != q.id || w.Service != q.service {
		return nil, &contract.Error{Verdict: contract.MayHaveRun, Reason: contract.ReasonWrongReply}
	}
	return partialAnswerFromWire(w), nil
}

// homeError converts the error of a call to a home: "not run" if the call was never sent,
// else "may have run".
func homeError(err error) *contract.Error {
	if peer.NotSent(err) {
		return contract.Refuse(contract.ReasonHomeUnreachable, err)
	}
	return &contract.Error{Verdict: contract.MayHaveRun, Reason: contract.ReasonHomeUnreachable, Cause: err}
}

// betterRefusal returns the refusal with more information: one that lists index versions,
// then one with the size of the partition map, else the one with the shorter Retry-After.
func betterRefusal(a, b *partialAnswer) *partialAnswer {
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
func (c *call) unanswered(reason contract.Reason) *partialAnswer {
	verdict := contract.NotRun
	if c.mayHaveRun || c.inFlight > 0 {
		verdict = contract.MayHaveRun
	}
	p := &partialAnswer{version: c.q.pin}
	shards := c.q.shards
	if seen := c.r.versions.Load(); seen != nil && len(shards) == 0 {
		if v := findVersion(seen.states, c.q.pin); v != nil {
			p.version, shards = v.version, allShards(v.shards)
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
func findVersion(states []versionState, pin uint64) *versionState {
	i := slices.IndexFunc(states, func(v versionState) bool { return pin == 0 || v.version == pin })
	if i < 0 {
		return nil
	}
	return &states[i]
}

// allShards returns the numbers of all shards of a partition map of n shards.
func allShards(n uint32) []uint32 {
	out := make([]uint32, n)
	for i := range out {
		out[i] = uint32(i)
	}
	return out
}
