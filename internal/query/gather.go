package query

import (
	"time"

	"pearmoor/internal/contract"
)

// answerBuilder merges the answers of all leaf groups into the answer to the caller.
type gathered struct {
	answer     *contract.Answer
	retryAfter time.Duration
	verdict    contract.Verdict
}

// mergeScopes merges the answers of all scopes. It returns an error when no shard answered.
func (e *Engine) merge(st state, p *plan, outs []*outcome) (*contract.Answer, *contract.Error) {
	g := &gathered{verdict: contract.NotRun, answer: &contract.Answer{
		RequestID: p.id, ServedBy: e.Self.Name, ConfigVersion: st.ConfigVersion(),
		IndexVersions: make(map[string]uint64, len(p.services)),
	}}
	for _, out := range outs {
		g.addScope(out)
	}
	a := g.answer
	a.Verdict = g.verdict
	if a.Coverage.Answered == 0 {
		return nil, g.failure()
	}
	var omitted int
	a.Hits, omitted = top(a.Hits, p.limit())
	a.HitsOmitted += omitted
	if a.Hits == nil {
		a.Hits = []contract.ServiceHit{}
	}
	return a, nil
}

func (g *gathered) addScope(out *outcome) {
	g.answer.ExtraAttempts += out.wasted
	for _, t := range out.targets {
		if p := out.parts[t.unit]; p != nil {
			g.addPart(t.service, p)
		}
	}
	for service, shards := range out.shards {
		g.addUnassigned(service, shards, out)
	}
}

// addAnswer adds the answer of a leaf group.
func (g *gathered) addPart(service string, p *part) {
	a := g.answer
	if p.refusal != "" {
		g.addRefusal(service, p)
		return
	}
	if p.version != 0 {
		a.IndexVersions[service] = p.version
	}
	a.Coverage.Answered += p.answered
	a.Coverage.Total += p.answered + len(p.missing)
	a.Coverage.Missing = append(a.Coverage.Missing, p.missing...)
	a.Hits = append(a.Hits, p.hits...)
	a.HitsOmitted += p.omitted
	a.ExtraAttempts += p.extra
	a.Early = a.Early || p.early
	if p.answered > 0 {
		g.verdict = g.verdict.Join(contract.Ran)
	}
	for _, m := range p.missing {
		g.verdict = g.verdict.Join(m.Verdict)
	}
	g.noteRetryAfter(p.retryAfter)
}

// addRefusal counts the shards of a leaf group that refused as missing. If their number is
// unknown, the group counts as one shard.
func (g *gathered) addRefusal(service string, p *part) {
	c := &g.answer.Coverage
	g.noteRetryAfter(p.retryAfter)
	missing := p.missing
	if len(missing) == 0 {
		missing = []contract.Missing{{Service: service, Reason: p.refusal, Verdict: contract.NotRun}}
	} else if p.version != 0 {
		g.answer.IndexVersions[service] = p.version
	}
	c.Total += len(missing)
	c.Missing = append(c.Missing, missing...)
}

// addUnassigned counts the shards that no group holds as missing, for a service with several
// leaf groups.
func (g *gathered) addUnassigned(service string, shards uint32, out *outcome) {
	assigned := newShardSet(shards)
	for u, list := range out.split {
		if u.service != service {
			continue
		}
		for _, s := range list {
			assigned.add(s)
		}
	}
	c := &g.answer.Coverage
	if shards == 0 {
		c.Total++
		c.Missing = append(c.Missing, contract.Missing{Service: service, Reason: contract.ReasonNoSnapshot, Verdict: contract.NotRun})
	}
	for s := range shards {
		if !assigned.has(s) {
			c.Total++
			c.Missing = append(c.Missing, contract.Missing{Service: service, Shard: s, Reason: contract.ReasonNoReplica, Verdict: contract.NotRun})
		}
	}
}

// noteRetryAfter keeps the shortest Retry-After of the answers.
func (g *gathered) noteRetryAfter(d time.Duration) {
	if d > 0 && (g.retryAfter == 0 || d < g.retryAfter) {
		g.retryAfter = d
	}
}

// failure returns the error of a query that no shard answered.
func (g *gathered) failure() *contract.Error {
	err := &contract.Error{Verdict: g.verdict, Reason: contract.ReasonInternal}
	if missing := g.answer.Coverage.Missing; len(missing) > 0 {
		err.Reason = commonReason(missing)
	}
	if err.Verdict == contract.NotRun {
		err.RetryAfter = max(1, g.retryAfter.Milliseconds())
	}
	return err
}
