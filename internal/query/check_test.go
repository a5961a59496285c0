package query

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
)

// checkAnswer checks an answer against the documents of the index: it has one version if
// joint, its coverage adds up, and its hits are exactly those of the shards reported as
// answered, without duplicates.
func checkAnswer(a *contract.Answer, joint bool) error {
	c := a.Coverage
	if c.Answered+len(c.Missing) != c.Total {
		return errors.Newf("%d shards answered and %d missing do not add up to %d", c.Answered, len(c.Missing), c.Total)
	}
	versions := map[uint64]bool{}
	for _, v := range a.IndexVersions {
		versions[v] = true
	}
	if joint && len(versions) > 1 {
		return errors.Newf("answer mixes index versions %v", a.IndexVersions)
	}
	missing := map[string]contract.Missing{}
	for _, m := range c.Missing {
		shardName := fmt.Sprintf("%s/%d", m.Service, m.Shard)
		if _, duplicate := missing[shardName]; duplicate {
			return errors.Newf("shard %s is listed as missing twice", shardName)
		}
		if m.Reason == "" {
			return errors.Newf("missing shard %s has no reason", shardName)
		}
		missing[shardName] = m
	}
	want := map[string]bool{}
	answered := 0
	for service, v := range a.IndexVersions {
		for shard := range shardsAt(v) {
			if _, isMissing := missing[fmt.Sprintf("%s/%d", service, shard)]; isMissing {
				continue
			}
			answered++
			for _, h := range docsOf(service, v, shard) {
				want[h.ID] = true
			}
		}
	}
	return checkHits(a, want, answered)
}

func checkHits(a *contract.Answer, want map[string]bool, answered int) error {
	for _, h := range a.Hits {
		if !want[h.ID] {
			return errors.Newf("hit %s of shard %d is doubled or not of a shard that answered", h.ID, h.Shard)
		}
		delete(want, h.ID)
	}
	if len(want) > 0 {
		return errors.Newf("%d hits of answered shards are not in the answer: %v", len(want), want)
	}
	if unknown := a.Coverage.Answered - answered; unknown != 0 {
		return errors.Newf("coverage counts %d shards as answered, but %d are not listed as missing", a.Coverage.Answered, answered)
	}
	return nil
}

// runCounts returns how often a request ran, in total over all shards and the maximum at one
// shard.
func (tier *testTier) runCounts(key string) (total, maxAtShard int) {
	tier.mu.Lock()
	defer tier.mu.Unlock()
	for s := range tier.services {
		for shard := range uint32(8) {
			n := tier.runs[runKey(body(key), fmt.Sprintf("desk/s%d", s), shard)]
			total += n
			maxAtShard = max(maxAtShard, n)
		}
	}
	return total, maxAtShard
}

// checkNotRun checks that no leaf ran the request for a shard that the answer reports as not
// run.
func (tier *testTier) checkNotRun(key string, a *contract.Answer) error {
	tier.mu.Lock()
	defer tier.mu.Unlock()
	for _, m := range a.Coverage.Missing {
		if n := tier.runs[runKey(body(key), m.Service, m.Shard)]; m.Verdict == contract.NotRun && n > 0 {
			return errors.Newf("shard %d of %s is reported as not run (%s) but ran %d times", m.Shard, m.Service, m.Reason, n)
		}
	}
	return nil
}
