package query

import (
	"context"
	"math/rand/v2"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
	"pearmoor/internal/query/scatter"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

// otherHomes sends the request for a shard through another home of the same leaf group when
// this daemon has no free permit for it.
type otherHomes struct {
	e     *Engine
	st    tierView
	group leafGroup
	homes []vm.Member
}

// otherHomesOf returns the otherHomes of leaf group g, or nil when this daemon is its only
// home.
func (e *Engine) otherHomesOf(st tierView, g leafGroup, eff *settings.Effective) scatter.Lender {
	placed := st.Placement(g.service, eff)
	if g.group >= len(placed) {
		return nil
	}
	o := &otherHomes{e: e, st: st, group: g}
	for _, m := range placed[g.group].Homes {
		if !m.SameIncarnation(e.Self) {
			o.homes = append(o.homes, m)
		}
	}
	if len(o.homes) == 0 {
		return nil
	}
	return o
}

// Lend implements scatter.Lender.
func (o *otherHomes) Lend(ctx context.Context, job *scatter.Job, shard, base uint32, avoid []string) ([]contract.Hit, error) {
	q := &subquery{
		leafGroup: o.group, id: job.ID, body: job.Body, repeatable: job.Repeatable,
		pin: job.Version, shards: []uint32{shard}, attemptBase: base,
		immediate: true, avoid: avoid,
	}
	p, err := o.e.queryRemote(ctx, o.st, o.homes[rand.IntN(len(o.homes))], q)
	if err != nil {
		return nil, err
	}
	return shardHits(p, job.Version)
}

// shardHits returns the hits in the answer of another home for one shard.
func shardHits(p *partialAnswer, version uint64) ([]contract.Hit, error) {
	switch {
	case p.refusal != "":
		return nil, contract.Refuse(p.refusal, errors.New("another home had no free permit"))
	case len(p.missing) > 0:
		m := p.missing[0]
		return nil, &contract.Error{Verdict: m.Verdict, Reason: m.Reason}
	case p.version != version || p.answered != 1:
		return nil, &contract.Error{Verdict: contract.MayHaveRun, Reason: contract.ReasonWrongReply}
	}
	hits := make([]contract.Hit, len(p.hits))
	for i := range p.hits {
		hits[i] = p.hits[i].Hit
	}
	return hits, nil
}
