package query

import (
	"context"

	"pearmoor/internal/contract"
)

// fill asks another home for the shards that p lacks although nothing of them was
// sent: its home has no permit for them, or doesn't know their leaves yet, as
// after it has just become a home. It reports whether there was anyone to ask.
func (c *call) fill(ctx context.Context, p *part) bool {
	if ctx.Err() != nil || c.inFlight > 0 || c.sent >= len(c.homes) {
		return false
	}
	var gaps []uint32
	for _, m := range p.missing {
		if fillable(m) {
			gaps = append(gaps, m.Shard)
		}
	}
	if len(gaps) == 0 {
		return false
	}
	q := *c.q
	q.shards, q.pin, q.partial = gaps, p.version, true
	c.first, c.q = p, &q
	return c.send(ctx)
}

func fillable(m contract.Missing) bool {
	return m.Verdict == contract.NotRun && (m.Reason == contract.ReasonNoReplica || m.Reason == contract.ReasonOverload)
}

// filled joins what a second home answered for the gaps of the first part.
func (c *call) filled(d callDone) *part {
	p := c.first
	switch {
	case d.err != nil && d.err.Verdict != contract.NotRun:
		c.markDoubt(p)
	case d.err == nil && d.part.refusal == "":
		c.join(p, d.part)
	}
	return p
}

// markDoubt says of the shards that a lost home was asked for that they may have run.
func (c *call) markDoubt(p *part) {
	for i := range p.missing {
		if fillable(p.missing[i]) {
			p.missing[i].Reason, p.missing[i].Verdict = contract.ReasonHomeLost, contract.MayHaveRun
		}
	}
}

// join takes the outcome of the shards asked again from o.
func (c *call) join(p, o *part) {
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
	p.missing = append(kept, o.missing...)
	p.answered += o.answered
	p.hits = append(p.hits, o.hits...)
	p.omitted += o.omitted
	p.extra += o.extra
	p.early = p.early || o.early
}
