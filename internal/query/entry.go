package query

import (
	"context"
	"sync"

	"pearmoor/internal/contract"
	"pearmoor/internal/settings"
)

// maxRepins bounds how often a query starts over at another index version.
const maxRepins = 2

// execute scatters p over its services and merges the answer.
func (e *Engine) execute(ctx context.Context, st state, p *plan) (*contract.Answer, *contract.Error) {
	scopes := scopesOf(st, p)
	if err := e.shed(p, scopes); err != nil {
		return nil, err
	}
	outs := make([]*outcome, len(scopes))
	var wg sync.WaitGroup
	for i, targets := range scopes[1:] {
		wg.Go(func() { outs[i+1] = e.runScope(ctx, st, p, targets) })
	}
	outs[0] = e.runScope(ctx, st, p, scopes[0])
	wg.Wait()
	for _, out := range outs {
		for _, part := range out.parts {
			p.leafEnds += part.leafEnds
			p.survived = p.survived || part.answered > 0
		}
	}
	return e.merge(st, p, outs)
}

// scopesOf groups the targets of p that have to share one index version.
func scopesOf(st state, p *plan) [][]*target {
	var scopes [][]*target
	for _, service := range p.services {
		ts := targetsOf(st, service)
		if p.at.Snapshot == settings.Joint && len(scopes) > 0 {
			scopes[0] = append(scopes[0], ts...)
			continue
		}
		scopes = append(scopes, ts)
	}
	return scopes
}

// targetsOf returns the units of a service, at least one.
func targetsOf(st state, service string) []*target {
	eff, ok := st.Effective(service)
	if !ok {
		return []*target{{unit: unit{service: service}, eff: &settings.Effective{Path: service}}}
	}
	var ts []*target
	for i, placed := range st.Placement(service, eff) {
		ts = append(ts, &target{unit: unit{service, i}, eff: eff, placed: placed})
	}
	if len(ts) == 0 {
		ts = append(ts, &target{unit: unit{service: service}, eff: eff})
	}
	return ts
}

// outcome is what the units of one scope came to, at one index version.
type outcome struct {
	targets []*target
	parts   map[unit]*part
	pin     uint64 // 0: the only unit chose itself
	shards  map[string]uint32
	split   map[unit][]uint32 // shards asked of each unit, of services with several
	wasted  int               // attempts whose answers were given up
}

// scopeRun is one scope of a query under way.
type scopeRun struct {
	e       *Engine
	st      state
	p       *plan
	targets []*target
	out     *outcome
	known   catalog
	partial bool
	round   int
	ran     map[string]bool // services of which a round that was given up may have run
	wasted  int             // attempts whose answers were given up with their version
}

func (e *Engine) runScope(ctx context.Context, st state, p *plan, targets []*target) *outcome {
	s := &scopeRun{e: e, st: st, p: p, targets: targets, known: make(catalog), ran: make(map[string]bool)}
	s.reset(0)
	if len(targets) > 1 && !s.pinFirst(ctx) {
		return s.out
	}
	for s.askAll(ctx); s.again(ctx); s.askAll(ctx) {
	}
	s.out.wasted = s.wasted
	for u, p := range s.out.parts {
		if s.ran[u.service] {
			p.raise(u.service)
		}
	}
	return s.out
}

// pinFirst pins the version that several units are to share; false when no
// version is known. A single unit's home chooses itself.
func (s *scopeRun) pinFirst(ctx context.Context) bool {
	s.known = s.e.known(ctx, s.targets, versionsLife)
	pin, complete := s.known.pick()
	if pin == 0 {
		s.refuseAll()
		return false
	}
	s.partial = !complete
	s.reset(pin)
	return true
}

// refuseAll ends a scope of which no version is known. Left to choose themselves,
// its homes could each choose another version.
func (s *scopeRun) refuseAll() {
	for _, t := range s.targets {
		s.out.parts[t.unit] = refusedPart(contract.ReasonNoSnapshot, t.eff.ProbeInterval)
	}
	s.out.shards = nil
}

// reset drops what was answered and starts over at pin.
func (s *scopeRun) reset(pin uint64) {
	if s.out != nil {
		for u, p := range s.out.parts {
			s.wasted += p.answered + p.extra
			s.ran[u.service] = s.ran[u.service] || p.mayHaveRun()
		}
	}
	s.out = &outcome{targets: s.targets, parts: make(map[unit]*part, len(s.targets)), pin: pin}
	s.divide()
}

// again prepares another round and reports whether one is needed. A home may not
// have the pinned version any more, or its leaves dropped it under the query: then
// another version is wholly there, as a rule, and the scope starts over with it.
// When there is none, the units that refused are asked for what they have.
func (s *scopeRun) again(ctx context.Context) bool {
	refused, gaps := s.refused(), s.gaps()
	if s.round >= maxRepins || ctx.Err() != nil || (len(refused) == 0 && !gaps) {
		return false
	}
	s.round++
	if s.mayStartOver() && s.repin(ctx) {
		return true
	}
	if len(refused) == 0 || s.partial {
		return false
	}
	s.partial = true
	for _, u := range refused {
		delete(s.out.parts, u)
	}
	return true
}

// repin starts over at another version that is complete everywhere, if there is
// one. What homes said a while ago is asked for anew before it is given up.
func (s *scopeRun) repin(ctx context.Context) bool {
	pin, complete := s.known.pick()
	if !complete || pin == s.version() {
		s.known = s.e.known(ctx, s.targets, versionsFresh)
		pin, complete = s.known.pick()
	}
	if !complete || pin == s.version() {
		return false
	}
	meter.repinned.Inc(1)
	s.partial = false
	if len(s.targets) == 1 {
		pin = 0
	}
	s.reset(pin)
	return true
}

// version returns the index version of the round that has ended.
func (s *scopeRun) version() uint64 {
	if s.out.pin == 0 {
		for _, p := range s.out.parts {
			return p.version
		}
	}
	return s.out.pin
}

// mayStartOver reports whether the request may be sent again as a whole.
func (s *scopeRun) mayStartOver() bool {
	if s.p.req.IsRepeatable() {
		return true
	}
	for _, p := range s.out.parts {
		if p.refusal == "" {
			return false
		}
	}
	return true
}

// refused returns the units that can't serve the pin.
func (s *scopeRun) refused() []unit {
	var us []unit
	for u, p := range s.out.parts {
		if p.refusal == contract.ReasonNoSnapshot {
			us = append(us, u)
		}
	}
	return us
}

// gaps reports whether shards are missing that no leaf held at the pin.
func (s *scopeRun) gaps() bool {
	for _, p := range s.out.parts {
		for _, m := range p.missing {
			if m.Reason == contract.ReasonNoReplica {
				return true
			}
		}
	}
	return false
}

type unitDone struct {
	t *target
	p *part
}

// askAll asks the units that have no part, in parallel.
func (s *scopeRun) askAll(ctx context.Context) {
	if len(s.targets) == 1 {
		t := s.targets[0]
		s.keep(t, s.e.ask(ctx, s.st, t, s.subquery(t)))
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan unitDone, len(s.targets))
	n := 0
	for _, t := range s.targets {
		if s.out.parts[t.unit] != nil || s.idle(t) {
			continue
		}
		n++
		go func() { done <- unitDone{t, s.e.ask(ctx, s.st, t, s.subquery(t))} }()
	}
	for range n {
		d := <-done
		s.keep(d.t, d.p)
		if d.p.refusal == contract.ReasonNoSnapshot && s.willRepin() {
			cancel() // what the others would answer is of a version that is given up
		}
	}
}

func (s *scopeRun) keep(t *target, p *part) {
	s.out.parts[t.unit] = p
	if len(p.versions) > 0 {
		s.known[t.unit] = p.versions
	}
}

func (s *scopeRun) willRepin() bool {
	if s.round >= maxRepins || !s.p.req.IsRepeatable() {
		return false
	}
	pin, complete := s.known.pick()
	return complete && pin != s.out.pin
}

func (s *scopeRun) subquery(t *target) *subquery {
	r := s.p.req
	q := &subquery{
		names: s.p.names, unit: t.unit, id: s.p.id, body: r.Body, repeatable: r.IsRepeatable(),
		pin: s.out.pin, partial: s.partial, shards: s.out.split[t.unit],
		limit: s.p.limit(), attemptBase: uint32(s.round) * attemptStride * attemptStride,
	}
	if r.MinCoverage != nil {
		q.minCoverage = max(*r.MinCoverage, leastCoverage)
	}
	return q
}

// leastCoverage stands for a caller that takes any coverage.
const leastCoverage = 1e-9

// limit returns the most hits of the answer; 0 means all.
func (p *plan) limit() int {
	if p.req.Limit == 0 || (p.at.HitLimit > 0 && p.at.HitLimit < p.req.Limit) {
		return p.at.HitLimit
	}
	return p.req.Limit
}

// divide deals out the shards of the pinned version over the units of each
// service that has several. A shard goes to exactly one unit, so that replicas in
// two groups never answer for it twice.
func (s *scopeRun) divide() {
	s.out.shards = make(map[string]uint32)
	s.out.split = make(map[unit][]uint32)
	byService := make(map[string][]*target)
	for _, t := range s.targets {
		byService[t.service] = append(byService[t.service], t)
	}
	merged := s.known.byService()
	for service, ts := range byService {
		if len(ts) == 1 {
			continue
		}
		v := merged[service][s.out.pin]
		s.out.shards[service] = v.shards
		for shard := range v.shards {
			if t := holder(s.known, ts, s.out.pin, shard); t != nil {
				s.out.split[t.unit] = append(s.out.split[t.unit], shard)
			}
		}
	}
}

// idle reports whether t is one of several units of its service and has no shard.
func (s *scopeRun) idle(t *target) bool {
	_, several := s.out.shards[t.service]
	return several && len(s.out.split[t.unit]) == 0
}

func holder(c catalog, ts []*target, pin uint64, shard uint32) *target {
	for _, t := range ts {
		if v := expected(c[t.unit], pin); v != nil && v.live.has(shard) {
			return t
		}
	}
	return nil
}
