package query

import (
	"time"

	"pearmoor/internal/contract"
)

// answerBuilder merges the answers of all leaf groups into the answer to the caller.
type answerBuilder struct {
	answer     *contract.Answer
	retryAfter time.Duration
	verdict    contract.Verdict
}

// mergeScopes merges the answers of all scopes. It returns an error when no shard answered.
func (e *Engine) mergeScopes(st tierView, p *plan, results []*scopeResult) (*contract.Answer, *contract.Error) {
	b := &answerBuilder{verdict: contract.NotRun, answer: &contract.Answer{
		RequestID: p.id, ServedBy: e.Self.Name, ConfigVersion: st.ConfigVersion(),
		IndexVersions: make(map[string]uint64, len(p.services)),
	}}
	for _, result := range results {
		b.addScope(result)
	}
	a := b.answer
	a.Verdict = b.verdict
	if a.Coverage.Answered == 0 {
		return nil, b.failure()
	}
	var omitted int
	a.Hits, omitted = topHits(a.Hits, p.hitLimit())
	a.HitsOmitted += omitted
	if a.Hits == nil {
		a.Hits = []contract.ServiceHit{}
	}
	return a, nil
}

func (b *answerBuilder) addScope(result *scopeResult) {
	b.answer.ExtraAttempts += result.discardedAttempts
	for _, group := range result.groups {
		if p := result.answers[group.leafGroup]; p != nil {
			b.addAnswer(group.service, p)
		}
	}
	for service, shards := range result.shardCounts {
		b.addUnassigned(service, shards, result)
	}
}

// addAnswer adds the answer of a leaf group.
func (b *answerBuilder) addAnswer(service string, p *partialAnswer) {
	a := b.answer
	if p.refusal != "" {
		b.addRefusal(service, p)
		return
	}
	if p.version != 0 {
		a.IndexVersions[service] = p.version
	}
	a.Coverage.Answered += p.answered
	a.Coverage.Total += p.answered + len(p.missing)
	a.Coverage.Missing = append(a.Coverage.Missing, p.missing...)
	a.Hits = append(a.Hits, p.hits...)
	a.HitsOmitted += p.hitsOmitted
	a.ExtraAttempts += p.extraAttempts
	a.Early = a.Early || p.early
	if p.answered > 0 {
		b.verdict = b.verdict.Combine(contract.Ran)
	}
	for _, m := range p.missing {
		b.verdict = b.verdict.Combine(m.Verdict)
	}
	b.noteRetryAfter(p.retryAfter)
}

// addRefusal counts the shards of a leaf group as missing, after the group refused. If their
// number is unknown, the group counts as one shard.
func (b *answerBuilder) addRefusal(service string, p *partialAnswer) {
	c := &b.answer.Coverage
	b.noteRetryAfter(p.retryAfter)
	missing := p.missing
	if len(missing) == 0 {
		missing = []contract.Missing{{Service: service, Reason: p.refusal, Verdict: contract.NotRun}}
	} else if p.version != 0 {
		b.answer.IndexVersions[service] = p.version
	}
	c.Total += len(missing)
	c.Missing = append(c.Missing, missing...)
}

// addUnassigned counts the shards that no group holds as missing, for a service with several
// leaf groups.
func (b *answerBuilder) addUnassigned(service string, shards uint32, result *scopeResult) {
	assigned := newShardSet(shards)
	for g, list := range result.assigned {
		if g.service != service {
			continue
		}
		for _, s := range list {
			assigned.add(s)
		}
	}
	c := &b.answer.Coverage
	if shards == 0 {
		c.Total++
		c.Missing = append(c.Missing, contract.Missing{Service: service, Reason: contract.ReasonNoCommonVersion, Verdict: contract.NotRun})
	}
	for s := range shards {
		if !assigned.has(s) {
			c.Total++
			c.Missing = append(c.Missing, contract.Missing{Service: service, Shard: s, Reason: contract.ReasonNoLiveTarget, Verdict: contract.NotRun})
		}
	}
}

// noteRetryAfter keeps the shortest Retry-After of the answers.
func (b *answerBuilder) noteRetryAfter(d time.Duration) {
	if d > 0 && (b.retryAfter == 0 || d < b.retryAfter) {
		b.retryAfter = d
	}
}

// failure returns the error of a query that no shard answered.
func (b *answerBuilder) failure() *contract.Error {
	err := &contract.Error{Verdict: b.verdict, Reason: contract.ReasonInternal}
	if missing := b.answer.Coverage.Missing; len(missing) > 0 {
		err.Reason = mostCommonReason(missing)
	}
	if err.Verdict == contract.NotRun {
		err.RetryAfter = max(1, b.retryAfter.Milliseconds())
	}
	return err
}
