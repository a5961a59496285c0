package query

import (
	"context"

	"pearmoor/internal/contract"
)

// fillGaps asks another home for the shards that are missing from p and provably did not
// run: the home had no permit for them, or did not know their leaves yet because it has just
// become a home. It reports whether a home was asked.
func (c *call) fillGaps(ctx context.Context, p *partialAnswer) bool {
	if ctx.Err() != nil || c.inFlight > 0 || c.sent >= len(c.homes) {
		return false
	}
	var gaps []uint32
	for _, m := range p.missing {
		if canFill(m) {
			gaps = append(gaps, m.Shard)
		}
	}
	if len(gaps) == 0 {
		return false
	}
	q := *c.q
	q.shards, q.pin, q.partial = gaps, p.version, true
	c.firstAnswer, c.q = p, &q
	return c.send(ctx)
}

// canFill reports whether a missing shard may be requested from another home.
func canFill(m contract.Missing) bool {
	return m.Verdict == contract.NotRun && (m.Reason == contract.ReasonNoLiveTarget || m.Reason == contract.ReasonOverload)
}

// mergeFill merges the second home's result for the missing shards into the first answer and
// returns that.
func (c *call) mergeFill(res callResult) *partialAnswer {
	p := c.firstAnswer
	switch {
	case res.err != nil && res.err.Verdict != contract.NotRun:
		c.markGapsMayHaveRun(p)
	case res.err == nil && res.answer.refusal == "":
		c.mergeAnswer(p, res.answer)
	}
	return p
}

// markGapsMayHaveRun marks the shards of p that the second home was asked for as "may have
// run", because that home gave no answer.
func (c *call) markGapsMayHaveRun(p *partialAnswer) {
	for i := range p.missing {
		if canFill(p.missing[i]) {
			p.missing[i].Reason, p.missing[i].Verdict = contract.ReasonHomeUnreachable, contract.MayHaveRun
		}
	}
}

// mergeAnswer merges other, the answer of the second home, into p. For the shards that the
// second home was asked for, the outcome in other replaces that in p.
func (c *call) mergeAnswer(p, other *partialAnswer) {
	asked := make(map[uint32]bool, len(c.q.shards))
	for _, s := range c.q.shards {
		asked[s] = true
	}
	kept := p.missing[:0]
	for _, m := range p.missing {
		if !asked[m.Shard] {
			kept = append(kept, m)
		}
	}
	p.missing = append(kept, other.missing...)
	p.answered += other.answered
	p.hits = append(p.hits, other.hits...)
	p.hitsOmitted += other.hitsOmitted
	p.extraAttempts += other.extraAttempts
	p.early = p.early || other.early
}
