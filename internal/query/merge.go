package query

import (
	"cmp"
	"slices"

	"pearmoor/internal/contract"
)

// rank sorts hits by score, best first, then by service, shard and ID, so that
// the same hits always come in the same order.
func rank(hits []contract.ServiceHit) {
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

// unique drops the later of two hits with the same ID from one service. Shards of
// one partition map are disjoint; a target that goes on serving a moved range for
// a while after a split would otherwise have the hit billed twice. hits are ranked.
func unique(hits []contract.ServiceHit) (kept []contract.ServiceHit, dropped int) {
	seen := make(map[hitKey]struct{}, len(hits))
	kept = hits[:0]
	for _, h := range hits {
		key := hitKey{h.Service, h.ID}
		if _, twice := seen[key]; twice && h.ID != "" {
			dropped++
			continue
		}
		seen[key] = struct{}{}
		kept = append(kept, h)
	}
	return kept, dropped
}

// top ranks hits, drops doubled ones and cuts the rest to limit; 0 means all.
func top(hits []contract.ServiceHit, limit int) (kept []contract.ServiceHit, omitted int) {
	rank(hits)
	kept, dropped := unique(hits)
	meter.duplicates.Inc(int64(dropped))
	if limit > 0 && len(kept) > limit {
		omitted = len(kept) - limit
		kept = kept[:limit]
	}
	return kept, omitted
}
