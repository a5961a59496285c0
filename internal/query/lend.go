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
type lender struct {
	e      *Engine
	st     state
	unit   unit
	others []vm.Member
}

// otherHomesOf returns the otherHomes of leaf group g, or nil when this daemon is its only
// home.
func (e *Engine) lenderOf(st state, u unit, eff *settings.Effective) scatter.Lender {
	placed := st.Placement(u.service, eff)
	if u.group >= len(placed) {
		return nil
	}
	l := &lender{e: e, st: st, unit: u}
	for _, m := range placed[u.group].Homes {
		if !m.Same(e.Self) {
			l.others = append(l.others, m)
		}
	}
	if len(l.others) == 0 {
		return nil
	}
	return l
}

// Lend implements scatter.Lender.
func (l *lender) Lend(ctx context.Context, job *scatter.Job, shard, base uint32, avoid []string) ([]contract.Hit, error) {
	q := &subquery{
		unit: l.unit, id: job.ID, body: job.Body, repeatable: job.Repeatable,
		pin: job.Version, shards: []uint32{shard}, attemptBase: base,
		immediate: true, avoid: avoid,
	}
	p, err := l.e.askRemote(ctx, l.st, l.others[rand.IntN(len(l.others))], q)
	if err != nil {
		return nil, err
	}
	return lentHits(p, job.Version)
}

// shardHits returns the hits in the answer of another home for one shard.
func lentHits(p *part, version uint64) ([]contract.Hit, error) {
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
