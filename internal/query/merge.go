package query

import (
	"cmp"
	"slices"

	"pearmoor/internal/contract"
)

// sortHits sorts hits by score, highest first, then by service, shard and ID, so that the
// same hits always have the same order.
func sortHits(hits []contract.ServiceHit) {
	slices.SortFunc(hits, func(a, b contract.ServiceHit) int {
		return cmp.Or(
			cmp.Compare(b.Score, a.Score),
			cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Shard, b.Shard),
			cmp.Compare(a.ID, b.ID),
		)
	})
}

type hitKey struct {
	service string
	id      string
}

// dropDuplicates drops the later of two hits of one service with the same ID. Shards of one
// partition map are disjoint, but a target may still serve a range for a while after a split
// moved it to another shard, and the hit would then be billed twice. hits must be sorted.
func dropDuplicates(hits []contract.ServiceHit) (kept []contract.ServiceHit, dropped int) {
	seen := make(map[hitKey]struct{}, len(hits))
	kept = hits[:0]
	for _, h := range hits {
		key := hitKey{h.Service, h.ID}
		if _, duplicate := seen[key]; duplicate && h.ID != "" {
			dropped++
			continue
		}
		seen[key] = struct{}{}
		kept = append(kept, h)
	}
	return kept, dropped
}

// topHits sorts hits, drops duplicates and truncates the rest to limit, or not if it is 0.
func topHits(hits []contract.ServiceHit, limit int) (kept []contract.ServiceHit, omitted int) {
	sortHits(hits)
	kept, dropped := dropDuplicates(hits)
	meters.duplicates.Inc(int64(dropped))
	if limit > 0 && len(kept) > limit {
		omitted = len(kept) - limit
		kept = kept[:limit]
	}
	return kept, omitted
}
