package query

import (
	"context"
	"sync"

	"pearmoor/internal/contract"
	"pearmoor/internal/settings"
)

// maxRepins bounds how often a query is restarted at another index version.
const maxRepins = 2

// execute sends p to all services below its path and merges their answers.
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

// versionScopes returns the leaf groups of p, divided into scopes. The groups of one scope
// must answer at the same index version: all groups of the query if the snapshot setting is
// Joint, else the groups of one service.
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

// serviceGroups returns the leaf groups of a service, at least one.
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

// scopeResult holds the answers of the leaf groups of one scope at one index version.
type outcome struct {
	targets []*target
	parts   map[unit]*part
	pin     uint64            // index version of all answers; 0 if the scope has one group, whose home chose the version
	shards  map[string]uint32 // number of shards, for services with several groups
	split   map[unit][]uint32 // shards requested from each group, for services with several groups
	wasted  int               // attempts whose answers were discarded by restarts
}

// scopeRun is the execution of a query over one scope.
type scopeRun struct {
	e       *Engine
	st      state
	p       *plan
	targets []*target
	out     *outcome
	known   catalog
	partial bool // accept missing shards at the pinned version
	round   int
	ran     map[string]bool // services on which a discarded round may have run the request
	wasted  int             // attempts whose answers were discarded by restarts
}

// runScope runs p over the groups of one scope, in up to 1+maxRepins rounds.
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

// pinVersion pins the index version that the leaf groups of the scope share. It returns false
// when no version is known. It is not needed for a scope of one group, whose home chooses
// the version.
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

// refuseAll refuses the query for all groups of the scope because no index version is known.
// Without a pin, each home could choose a different version.
func (s *scopeRun) refuseAll() {
	for _, t := range s.targets {
		s.out.parts[t.unit] = refusedPart(contract.ReasonNoSnapshot, t.eff.ProbeInterval)
	}
	s.out.shards = nil
}

// restart discards the answers so far and prepares a new round at pin.
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

// prepareRound prepares another round and reports whether one is needed. It is when a home
// no longer has the pinned version, or when leaves dropped that version during the query.
// Usually another version is complete by then, and the scope is restarted with it. If there
// is none, the groups that refused are asked again for the shards of the pinned version that
// they still hold.
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

// repin restarts the scope at another version that is complete in all groups, and reports
// whether there is one. If the known versions show none, it fetches versions that are not
// fresh from their homes again before giving up.
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

// version returns the index version of the round that has just ended.
func (s *scopeRun) version() uint64 {
	if s.out.pin == 0 {
		for _, p := range s.out.parts {
			return p.version
		}
	}
	return s.out.pin
}

// canRestart reports whether the request may be sent again to all groups.
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

// refusedGroups returns the leaf groups that refused because they can't serve the pinned
// version.
func (s *scopeRun) refused() []unit {
	var us []unit
	for u, p := range s.out.parts {
		if p.refusal == contract.ReasonNoSnapshot {
			us = append(us, u)
		}
	}
	return us
}

// hasUnheldShards reports whether shards are missing because no leaf held them at the pinned
// version.
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

// queryGroups queries, in parallel, the leaf groups that have no answer yet.
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
			cancel() // the other groups would answer at a version that is about to be discarded
		}
	}
}

// store records the answer of a leaf group and the index versions that its home reported.
func (s *scopeRun) keep(t *target, p *part) {
	s.out.parts[t.unit] = p
	if len(p.versions) > 0 {
		s.known[t.unit] = p.versions
	}
}

// willRepin reports whether the scope will be restarted at another version after this round.
func (s *scopeRun) willRepin() bool {
	if s.round >= maxRepins || !s.p.req.IsRepeatable() {
		return false
	}
	pin, complete := s.known.pick()
	return complete && pin != s.out.pin
}

// subquery returns the sub-query for a leaf group in the current round.
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

// minPositiveCoverage replaces a min_coverage of 0, which accepts any coverage: in a
// subquery, 0 means that no early answer is wanted.
const leastCoverage = 1e-9

// hitLimit returns the maximum number of hits in the answer, or 0 for all.
func (p *plan) limit() int {
	if p.req.Limit == 0 || (p.at.HitLimit > 0 && p.at.HitLimit < p.req.Limit) {
		return p.at.HitLimit
	}
	return p.req.Limit
}

// assignShards assigns the shards of the pinned version to the leaf groups of each service
// that has several. Each shard is assigned to at most one group, so that replicas in two
// groups never answer for it twice.
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

// hasNoShards reports whether the service has several leaf groups and this one was assigned
// no shard.
func (s *scopeRun) idle(t *target) bool {
	_, several := s.out.shards[t.service]
	return several && len(s.out.split[t.unit]) == 0
}

// groupHolding returns the first of groups that has a live leaf for shard at the pinned
// version, or nil.
func holder(c catalog, ts []*target, pin uint64, shard uint32) *target {
	for _, t := range ts {
		if v := expected(c[t.unit], pin); v != nil && v.live.has(shard) {
			return t
		}
	}
	return nil
}
