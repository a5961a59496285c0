package query

import (
	"encoding/json"
	"math/bits"
	"slices"
	"time"

	"pearmoor/internal/contract"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/quarantine"
	"pearmoor/internal/relay"
	"pearmoor/internal/settings"
)

// leafGroup names a group of a service's leaves. A sub-query addresses one leaf group.
type leafGroup struct {
	service string
	group   int
}

// placedGroup is a leaf group with the settings of its service and the daemons that are its
// homes.
type placedGroup struct {
	leafGroup
	eff       *settings.Effective // effective settings of the service
	placement relay.GroupHomes
}

// subquery is the request of an entry to a home.
type subquery struct {
	leafGroup
	id           string
	body         json.RawMessage
	repeatable   bool
	pin          uint64 // index version to answer at; 0 if the home chooses
	partial      bool   // answer at the pin even if shards of it have no live leaf
	shards       []uint32
	limit        int
	minCoverage  float64
	attemptBase  uint32
	immediate    bool     // use only permits that are free now, without queueing
	avoid        []string // addresses of leaves that were tried already
	canary       bool     // send one attempt to a single shard
	fingerprints quarantine.Fingerprints
}

// partialAnswer is the answer of a home to a subquery.
type partialAnswer struct {
	refusal        contract.Reason // set when nothing was sent to any leaf
	retryAfter     time.Duration
	version        uint64
	shards         uint32 // size of the version's partition map
	answered       int
	missing        []contract.Missing
	hits           []contract.ServiceHit
	hitsOmitted    int
	extraAttempts  int
	early          bool
	versions       []versionState
	shardsInFlight int     // shards queued or running at the home
	admitLevel     float64 // fraction of the queries that the home admits; 0 if not reported
	leafExits      int     // leaves that crashed or exited during the query
}

// mayHaveRun reports whether any leaf may have run the request.
func (p *partialAnswer) mayHaveRun() bool {
	if p.refusal != "" {
		return false
	}
	return p.answered > 0 || slices.ContainsFunc(p.missing, func(m contract.Missing) bool {
		return m.Verdict != contract.NotRun
	})
}

// raiseNotRun turns "not run" into "may have run" for all missing shards of p.
func (p *partialAnswer) raiseNotRun(service string) {
	if p.refusal != "" && len(p.missing) == 0 {
		p.missing = []contract.Missing{{Service: service, Reason: p.refusal}}
		p.version = 0
	}
	p.refusal = ""
	for i := range p.missing {
		if p.missing[i].Verdict == contract.NotRun {
			p.missing[i].Verdict = contract.MayHaveRun
		}
	}
}

// refusedAnswer returns the answer of a home that sent nothing to its leaves.
func refusedAnswer(reason contract.Reason, after time.Duration) *partialAnswer {
	return &partialAnswer{refusal: reason, retryAfter: after}
}

// versionState is the state of an index version in a leaf group, as known to its home.
type versionState struct {
	version    uint64
	shards     uint32
	liveShards shardSet // shards with a live leaf
}

// shardSet is a bitmap: bit s%8 of byte s/8 is set when shard s is in the set.
type shardSet []byte

func newShardSet(shards uint32) shardSet { return make(shardSet, (shards+7)/8) }

func (s shardSet) add(shard uint32) { s[shard/8] |= 1 << (shard % 8) }

func (s shardSet) has(shard uint32) bool {
	return int(shard/8) < len(s) && s[shard/8]&(1<<(shard%8)) != 0
}

func (s shardSet) len() int {
	n := 0
	for _, b := range s {
		n += bits.OnesCount8(b)
	}
	return n
}

// toWire encodes q; left is the time that the home has to answer.
func (q *subquery) toWire(left time.Duration, config uint64, origin string) *wire.SubQuery {
	return &wire.SubQuery{
		QueryId: q.id, Service: q.service, Group: uint32(q.group), Body: q.body,
		DeadlineMs: uint32(left.Milliseconds()), Repeatable: q.repeatable,
		Pin: q.pin, Partial: q.partial, Shards: q.shards, Limit: uint32(q.limit),
		MinCoverage: q.minCoverage, AttemptBase: q.attemptBase,
		Immediate: q.immediate, Avoid: q.avoid, Canary: q.canary, Fingerprints: q.fingerprints.ToWire(),
		ConfigVersion: config, Origin: origin,
	}
}

func subqueryFromWire(w *wire.SubQuery) *subquery {
	fingerprints, _ := quarantine.FingerprintsFromWire(w.Fingerprints) // without valid fingerprints, the quarantine has no entry for the query
	return &subquery{
		fingerprints: fingerprints, canary: w.Canary,
		leafGroup: leafGroup{w.Service, int(w.Group)}, id: w.QueryId, body: w.Body,
		repeatable: w.Repeatable, pin: w.Pin, partial: w.Partial, shards: w.Shards,
		limit: int(w.Limit), minCoverage: w.MinCoverage, attemptBase: w.AttemptBase,
		immediate: w.Immediate, avoid: w.Avoid,
	}
}

func (p *partialAnswer) toWire(q *subquery) *wire.SubAnswer {
	w := &wire.SubAnswer{
		QueryId: q.id, Service: q.service, Refusal: string(p.refusal),
		RetryAfterMs: uint32(p.retryAfter.Milliseconds()),
		IndexVersion: p.version, Answered: uint32(p.answered), Total: p.shards,
		ExtraAttempts: uint32(p.extraAttempts), Early: p.early, Waiting: uint32(p.shardsInFlight),
		Versions: versionsToWire(p.versions), Omitted: uint32(p.hitsOmitted), AdmitLevel: p.admitLevel, LeafEnds: uint32(p.leafExits),
	}
	for _, m := range p.missing {
		w.Missing = append(w.Missing, &wire.SubMissing{Shard: m.Shard, Reason: string(m.Reason), Verdict: uint32(m.Verdict)})
	}
	hits := make([]wire.SubHit, len(p.hits))
	w.Hits = make([]*wire.SubHit, len(p.hits))
	for i := range p.hits {
		h := &p.hits[i]
		hits[i].Shard, hits[i].Id, hits[i].Score, hits[i].Data = h.Shard, h.ID, h.Score, h.Data
		w.Hits[i] = &hits[i]
	}
	return w
}

func partialAnswerFromWire(w *wire.SubAnswer) *partialAnswer {
	p := &partialAnswer{
		refusal: contract.Reason(w.Refusal), retryAfter: time.Duration(w.RetryAfterMs) * time.Millisecond,
		version: w.IndexVersion, shards: w.Total, answered: int(w.Answered),
		hitsOmitted: int(w.Omitted), extraAttempts: int(w.ExtraAttempts), early: w.Early,
		versions: versionsFromWire(w.Versions), shardsInFlight: int(w.Waiting), admitLevel: w.AdmitLevel, leafExits: int(w.LeafEnds),
	}
	for _, m := range w.Missing {
		p.missing = append(p.missing, contract.Missing{
			Service: w.Service, Shard: m.Shard, Reason: contract.Reason(m.Reason), Verdict: contract.Verdict(m.Verdict),
		})
	}
	p.hits = make([]contract.ServiceHit, len(w.Hits))
	for i, h := range w.Hits {
		p.hits[i] = contract.ServiceHit{
			Service: w.Service, Shard: h.Shard,
			Hit: contract.Hit{ID: h.Id, Score: h.Score, Data: h.Data},
		}
	}
	return p
}

func versionsToWire(vs []versionState) []*wire.VersionState {
	out := make([]*wire.VersionState, len(vs))
	for i, v := range vs {
		out[i] = &wire.VersionState{Version: v.version, Shards: v.shards, Live: v.liveShards}
	}
	return out
}

func versionsFromWire(ws []*wire.VersionState) []versionState {
	out := make([]versionState, len(ws))
	for i, w := range ws {
		out[i] = versionState{version: w.Version, shards: w.Shards, liveShards: w.Live}
	}
	return out
}
