package query

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
)

// checkAnswer holds an answer against the documents: one version, coverage that
// adds up, exactly the hits of the shards said to have answered, none twice.
func checkAnswer(a *contract.Answer, joint bool) error {
	c := a.Coverage
	if c.Answered+len(c.Missing) != c.Total {
		return errors.Newf("answered %d and missing %d of %d", c.Answered, len(c.Missing), c.Total)
	}
	versions := map[uint64]bool{}
	for _, v := range a.IndexVersions {
		versions[v] = true
	}
	if joint && len(versions) > 1 {
		return errors.Newf("mixed versions %v", a.IndexVersions)
	}
	missing := map[string]contract.Missing{}
	for _, m := range c.Missing {
		at := fmt.Sprintf("%s/%d", m.Service, m.Shard)
		if _, twice := missing[at]; twice {
			return errors.Newf("shard %s is missing twice", at)
		}
		if m.Reason == "" {
			return errors.Newf("shard %s is missing without a reason", at)
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
			return errors.Newf("hit %s of shard %d is doubled or of no shard that answered", h.ID, h.Shard)
		}
		delete(want, h.ID)
	}
	if len(want) > 0 {
		return errors.Newf("%d hits of answered shards are lost: %v", len(want), want)
	}
	if unknown := a.Coverage.Answered - answered; unknown != 0 {
		return errors.Newf("%d shards answered and %d are not missing", a.Coverage.Answered, answered)
	}
	return nil
}

// ran returns how often a request ran, over all shards, and the most at one.
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

// checkNotRun holds each shard said not to have run against the leaves' count.
func (w *world) checkNotRun(key string, a *contract.Answer) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range a.Coverage.Missing {
		if n := w.runs[runKey(body(key), m.Service, m.Shard)]; m.Verdict == contract.NotRun && n > 0 {
			return errors.Newf("shard %d of %s is said not to have run (%s) and ran %d times", m.Shard, m.Service, m.Reason, n)
		}
	}
	return nil
}
