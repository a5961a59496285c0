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
func (e *Engine) execute(ctx context.Context, st tierView, p *plan) (*contract.Answer, *contract.Error) {
	scopes := versionScopes(st, p)
	if err := e.shed(p, scopes); err != nil {
		return nil, err
	}
	results := make([]*scopeResult, len(scopes))
	var wg sync.WaitGroup
	for i, groups := range scopes[1:] {
		wg.Go(func() { results[i+1] = e.runScope(ctx, st, p, groups) })
	}
	results[0] = e.runScope(ctx, st, p, scopes[0])
	wg.Wait()
	for _, result := range results {
		for _, answer := range result.answers {
			p.leafExits += answer.leafExits
			p.leafAnswered = p.leafAnswered || answer.answered > 0
		}
	}
	return e.mergeScopes(st, p, results)
}

// versionScopes returns the leaf groups of p, divided into scopes. The groups of one scope
// must answer at the same index version: all groups of the query if the snapshot setting is
// Joint, else the groups of one service.
func versionScopes(st tierView, p *plan) [][]*placedGroup {
	var scopes [][]*placedGroup
	for _, service := range p.services {
		groups := serviceGroups(st, service)
		if p.eff.Snapshot == settings.Joint && len(scopes) > 0 {
			scopes[0] = append(scopes[0], groups...)
			continue
		}
		scopes = append(scopes, groups)
	}
	return scopes
}

// serviceGroups returns the leaf groups of a service, at least one.
func serviceGroups(st tierView, service string) []*placedGroup {
	eff, ok := st.Effective(service)
	if !ok {
		return []*placedGroup{{leafGroup: leafGroup{service: service}, eff: &settings.Effective{Path: service}}}
	}
	var groups []*placedGroup
	for i, placement := range st.Placement(service, eff) {
		groups = append(groups, &placedGroup{leafGroup: leafGroup{service, i}, eff: eff, placement: placement})
	}
	if len(groups) == 0 {
		groups = append(groups, &placedGroup{leafGroup: leafGroup{service: service}, eff: eff})
	}
	return groups
}

// scopeResult holds the answers of the leaf groups of one scope at one index version.
type scopeResult struct {
	groups            []*placedGroup
	answers           map[leafGroup]*partialAnswer
	pin               uint64                 // index version of all answers; 0 if the scope has one group, whose home chose the version
	shardCounts       map[string]uint32      // number of shards, for services with several groups
	assigned          map[leafGroup][]uint32 // shards requested from each group, for services with several groups
	discardedAttempts int                    // attempts whose answers were discarded by restarts
}

// scopeRun is the execution of a query over one scope.
type scopeRun struct {
	e                 *Engine
	st                tierView
	p                 *plan
	groups            []*placedGroup
	result            *scopeResult
	versions          groupVersions
	allowPartial      bool // accept missing shards at the pinned version
	round             int
	mayHaveRun        map[string]bool // services on which a discarded round may have run the request
	discardedAttempts int             // attempts whose answers were discarded by restarts
}

// runScope runs p over the groups of one scope, in up to 1+maxRepins rounds.
func (e *Engine) runScope(ctx context.Context, st tierView, p *plan, groups []*placedGroup) *scopeResult {
	s := &scopeRun{e: e, st: st, p: p, groups: groups, versions: make(groupVersions), mayHaveRun: make(map[string]bool)}
	s.restart(0)
	if len(groups) > 1 && !s.pinVersion(ctx) {
		return s.result
	}
	for s.queryGroups(ctx); s.prepareRound(ctx); s.queryGroups(ctx) {
	}
	s.result.discardedAttempts = s.discardedAttempts
	for g, p := range s.result.answers {
		if s.mayHaveRun[g.service] {
			p.raiseNotRun(g.service)
		}
	}
	return s.result
}

// pinVersion pins the index version that the leaf groups of the scope share. It returns false
// when no version is known. It is not needed for a scope of one group, whose home chooses
// the version.
func (s *scopeRun) pinVersion(ctx context.Context) bool {
	s.versions = s.e.versionsOf(ctx, s.groups, versionsMaxAge)
	pin, complete := s.versions.pickVersion()
	if pin == 0 {
		s.refuseAll()
		return false
	}
	s.allowPartial = !complete
	s.restart(pin)
	return true
}

// refuseAll refuses the query for all groups of the scope because no index version is known.
// Without a pin, each home could choose a different version.
func (s *scopeRun) refuseAll() {
	for _, g := range s.groups {
		s.result.answers[g.leafGroup] = refusedAnswer(contract.ReasonNoCommonVersion, g.eff.ProbeInterval)
	}
	s.result.shardCounts = nil
}

// restart discards the answers so far and prepares a new round at pin.
func (s *scopeRun) restart(pin uint64) {
	if s.result != nil {
		for g, p := range s.result.answers {
			s.discardedAttempts += p.answered + p.extraAttempts
			s.mayHaveRun[g.service] = s.mayHaveRun[g.service] || p.mayHaveRun()
		}
	}
	s.result = &scopeResult{groups: s.groups, answers: make(map[leafGroup]*partialAnswer, len(s.groups)), pin: pin}
	s.assignShards()
}

// prepareRound prepares another round and reports whether one is needed. It is when a home
// no longer has the pinned version, or when leaves dropped that version during the query.
// Usually another version is complete by then, and the scope is restarted with it. If there
// is none, the groups that refused are asked again for the shards of the pinned version that
// they still hold.
func (s *scopeRun) prepareRound(ctx context.Context) bool {
	refused, gaps := s.refusedGroups(), s.hasUnheldShards()
	if s.round >= maxRepins || ctx.Err() != nil || (len(refused) == 0 && !gaps) {
		return false
	}
	s.round++
	if s.canRestart() && s.repin(ctx) {
		return true
	}
	if len(refused) == 0 || s.allowPartial {
		return false
	}
	s.allowPartial = true
	for _, g := range refused {
		delete(s.result.answers, g)
	}
	return true
}

// repin restarts the scope at another version that is complete in all groups, and reports
// whether there is one. If the known versions show none, it fetches versions that are not
// fresh from their homes again before giving up.
func (s *scopeRun) repin(ctx context.Context) bool {
	pin, complete := s.versions.pickVersion()
	if !complete || pin == s.version() {
		s.versions = s.e.versionsOf(ctx, s.groups, versionsMaxAgeOnRepin)
		pin, complete = s.versions.pickVersion()
	}
	if !complete || pin == s.version() {
		return false
	}
	meters.repinned.Inc(1)
	s.allowPartial = false
	if len(s.groups) == 1 {
		pin = 0
	}
	s.restart(pin)
	return true
}

// version returns the index version of the round that has just ended.
func (s *scopeRun) version() uint64 {
	if s.result.pin == 0 {
		for _, p := range s.result.answers {
			return p.version
		}
	}
	return s.result.pin
}

// canRestart reports whether the request may be sent again to all groups.
func (s *scopeRun) canRestart() bool {
	if s.p.req.IsRepeatable() {
		return true
	}
	for _, p := range s.result.answers {
		if p.refusal == "" {
			return false
		}
	}
	return true
}

// refusedGroups returns the leaf groups that refused because they can't serve the pinned
// version.
func (s *scopeRun) refusedGroups() []leafGroup {
	var groups []leafGroup
	for g, p := range s.result.answers {
		if p.refusal == contract.ReasonNoCommonVersion {
			groups = append(groups, g)
		}
	}
	return groups
}

// hasUnheldShards reports whether shards are missing because no leaf held them at the pinned
// version.
func (s *scopeRun) hasUnheldShards() bool {
	for _, p := range s.result.answers {
		for _, m := range p.missing {
			if m.Reason == contract.ReasonNoLiveTarget {
				return true
			}
		}
	}
	return false
}

type groupResult struct {
	group  *placedGroup
	answer *partialAnswer
}

// queryGroups queries, in parallel, the leaf groups that have no answer yet.
func (s *scopeRun) queryGroups(ctx context.Context) {
	if len(s.groups) == 1 {
		g := s.groups[0]
		s.store(g, s.e.queryGroup(ctx, s.st, g, s.subquery(g)))
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan groupResult, len(s.groups))
	n := 0
	for _, g := range s.groups {
		if s.result.answers[g.leafGroup] != nil || s.hasNoShards(g) {
			continue
		}
		n++
		go func() { done <- groupResult{g, s.e.queryGroup(ctx, s.st, g, s.subquery(g))} }()
	}
	for range n {
		res := <-done
		s.store(res.group, res.answer)
		if res.answer.refusal == contract.ReasonNoCommonVersion && s.willRepin() {
			cancel() // the other groups would answer at a version that is about to be discarded
		}
	}
}

// store records the answer of a leaf group and the index versions that its home reported.
func (s *scopeRun) store(g *placedGroup, p *partialAnswer) {
	s.result.answers[g.leafGroup] = p
	if len(p.versions) > 0 {
		s.versions[g.leafGroup] = p.versions
	}
}

// willRepin reports whether the scope will be restarted at another version after this round.
func (s *scopeRun) willRepin() bool {
	if s.round >= maxRepins || !s.p.req.IsRepeatable() {
		return false
	}
	pin, complete := s.versions.pickVersion()
	return complete && pin != s.result.pin
}

// subquery returns the sub-query for a leaf group in the current round.
func (s *scopeRun) subquery(g *placedGroup) *subquery {
	r := s.p.req
	q := &subquery{
		fingerprints: s.p.fingerprints, leafGroup: g.leafGroup, id: s.p.id, body: r.Body, repeatable: r.IsRepeatable(),
		pin: s.result.pin, partial: s.allowPartial, shards: s.result.assigned[g.leafGroup],
		limit: s.p.hitLimit(), attemptBase: uint32(s.round) * attemptStride * attemptStride,
	}
	if r.MinCoverage != nil {
		q.minCoverage = max(*r.MinCoverage, minPositiveCoverage)
	}
	return q
}

// minPositiveCoverage replaces a min_coverage of 0, which accepts any coverage: in a
// subquery, 0 means that no early answer is wanted.
const minPositiveCoverage = 1e-9

// hitLimit returns the maximum number of hits in the answer, or 0 for all.
func (p *plan) hitLimit() int {
	if p.req.Limit == 0 || (p.eff.HitLimit > 0 && p.eff.HitLimit < p.req.Limit) {
		return p.eff.HitLimit
	}
	return p.req.Limit
}

// assignShards assigns the shards of the pinned version to the leaf groups of each service
// that has several. Each shard is assigned to at most one group, so that replicas in two
// groups never answer for it twice.
func (s *scopeRun) assignShards() {
	s.result.shardCounts = make(map[string]uint32)
	s.result.assigned = make(map[leafGroup][]uint32)
	byService := make(map[string][]*placedGroup)
	for _, g := range s.groups {
		byService[g.service] = append(byService[g.service], g)
	}
	merged := s.versions.byService()
	for service, groups := range byService {
		if len(groups) == 1 {
			continue
		}
		v := merged[service][s.result.pin]
		s.result.shardCounts[service] = v.shards
		for shard := range v.shards {
			if g := groupHolding(s.versions, groups, s.result.pin, shard); g != nil {
				s.result.assigned[g.leafGroup] = append(s.result.assigned[g.leafGroup], shard)
			}
		}
	}
}

// hasNoShards reports whether the service has several leaf groups and this one was assigned
// no shard.
func (s *scopeRun) hasNoShards(g *placedGroup) bool {
	_, several := s.result.shardCounts[g.service]
	return several && len(s.result.assigned[g.leafGroup]) == 0
}

// groupHolding returns the first of groups that has a live leaf for shard at the pinned
// version, or nil.
func groupHolding(versions groupVersions, groups []*placedGroup, pin uint64, shard uint32) *placedGroup {
	for _, g := range groups {
		if v := findVersion(versions[g.leafGroup], pin); v != nil && v.liveShards.has(shard) {
			return g
		}
	}
	return nil
}
