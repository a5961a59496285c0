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

// attemptStride keeps the attempt numbers of different homes and rounds apart, so
// that a reply crossed between them never matches.
const attemptStride = 1 << 10

// expiredWait bounds the wait for the ends of remote calls after their deadline; it is
// taken from wayBack.
const expiredWait = 2 * time.Millisecond

// call asks the homes of one unit until one answers or none is left.
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
	local    int // of those in flight, run by this daemon itself
	refused  *part
	first    *part // answered with gaps that another home is asked to fill
	doubt    bool  // a home that did not answer may have sent
}

type callDone struct {
	home  vm.Member
	local bool
	part  *part
	err   *contract.Error
}

// ask sends q to a home of t and returns its part, never nil.
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

func (c *call) patience(ctx context.Context) time.Duration {
	left := time.Minute
	if at, ok := ctx.Deadline(); ok {
		left = time.Until(at)
	}
	return c.r.patience(left)
}

// take handles one result and returns the part that ends the call, if it does.
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

// landed counts a result out and learns from it.
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

// settle raises what p says was not run when another home was asked as well and
// has not proved that it sent nothing: p only knows of its own home's attempts.
func (c *call) settle(p *part) {
	if c.doubt || c.inFlight > 0 {
		p.raise(c.q.service)
	}
}

// crossed reports a part of another index version than the pinned one. Taken, it
// would mix two versions in one answer.
func (c *call) crossed(p *part) bool {
	return p.refusal == "" && c.q.pin != 0 && p.version != c.q.pin
}

// next asks another home after one has refused or was lost. A refusal proves that
// nothing was sent, so it costs no budget and is open to every request; a lost
// home may have sent, and asking again could run the request twice.
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

// hedge asks a second home when the first is silent.
func (c *call) hedge(ctx context.Context) {
	if !c.q.repeatable || c.q.canary || c.inFlight != 1 || c.sent >= len(c.homes) || !c.r.hedges.Spend() {
		return
	}
	if c.send(ctx) {
		meter.homeHedges.Inc(1)
	}
}

// expired ends the call at its deadline. A part run by this daemon itself ends at the same
// deadline with what it has, and a call to another home that was never sent says so: both
// are worth a moment's wait.
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

// send asks the next home in order.
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

// askRemote sends q to another daemon.
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

// lostHome types the error of a call to a home.
func lostHome(err error) *contract.Error {
	if peer.NotSent(err) {
		return contract.Refuse(contract.ReasonHomeLost, err)
	}
	return &contract.Error{Verdict: contract.MayHaveRun, Reason: contract.ReasonHomeLost, Cause: err}
}

// better returns the refusal that tells more: one that knows versions, then one
// that knows the partition map, else the one that names the sooner return.
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

// lost returns the part of a unit that no home answered for: every shard it was
// asked for is missing. The partition map is that of the pinned version as last
// seen; unknown, it counts as one shard, and no version is stated.
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

// expected returns the state of the pinned version, or of the newest one.
func expected(states []versionState, pin uint64) *versionState {
	at := slices.IndexFunc(states, func(v versionState) bool { return pin == 0 || v.version == pin })
	if at < 0 {
		return nil
	}
	return &states[at]
}

func firstShards(n uint32) []uint32 {
	out := make([]uint32, n)
	for i := range out {
		out[i] = uint32(i)
	}
	return out
}
