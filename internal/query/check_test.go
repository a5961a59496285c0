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
		at := fmt.Sprintf("%s/%d", m.Service, m.Shard)
		if _, twice := missing[at]; twice {
			return errors.Newf("shard %s is listed as missing twice", at)
		}
		if m.Reason == "" {
			return errors.Newf("missing shard %s has no reason", at)
		}
		missing[at] = m
	}
	want := map[string]bool{}
	answered := 0
	for service, v := range a.IndexVersions {
		for shard := range shardsAt(v) {
			if _, gone := missing[fmt.Sprintf("%s/%d", service, shard)]; gone {
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
func (w *world) ran(key string) (total, most int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for s := range w.services {
		for shard := range uint32(8) {
			n := w.runs[runKey(body(key), fmt.Sprintf("desk/s%d", s), shard)]
			total += n
			most = max(most, n)
		}
	}
	return total, most
}

// checkNotRun checks that no leaf ran the request for a shard that the answer reports as not
// run.
func (w *world) checkNotRun(key string, a *contract.Answer) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range a.Coverage.Missing {
		if n := w.runs[runKey(body(key), m.Service, m.Shard)]; m.Verdict == contract.NotRun && n > 0 {
			return errors.Newf("shard %d of %s is reported as not run (%s) but ran %d times", m.Shard, m.Service, m.Reason, n)
		}
	}
	return nil
}
