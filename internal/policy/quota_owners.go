package policy

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pearmoor/internal/vm"
)

// QuotaOwners returns the owners of the places of an organisation: one in each failure domain
// with serving members, the domains in the order in which they have a place if there are fewer
// places than domains. All daemons with the same membership get the same result. A member that
// joins or leaves moves only places that it gets or had.
func QuotaOwners(organisation string, ms *vm.Membership) []*vm.Member {
	type candidate struct {
		member *vm.Member
		score  uint64
	}
	var best []candidate // of each domain
	for i := range ms.Members {
		m := &ms.Members[i]
		if m.Phase != vm.Serving || m.CallerAddr == "" {
			continue
		}
		c := candidate{m, quotaScore(organisation, m.Name)}
		j := slices.IndexFunc(best, func(o candidate) bool { return o.member.Domain == m.Domain })
		switch {
		case j < 0:
			best = append(best, c)
		case c.score > best[j].score || c.score == best[j].score && m.Name < best[j].member.Name:
			best[j] = c
		}
	}
	// The order depends on the names of the domains alone, so that a change of an owner moves
	// no other place.
	for i := range best {
		best[i].score = quotaScore(organisation, best[i].member.Domain)
	}
	slices.SortFunc(best, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.Domain, b.member.Domain))
	})
	owners := make([]*vm.Member, len(best))
	for i := range best {
		owners[i] = best[i].member
	}
	return owners
}

func quotaScore(organisation, name string) uint64 {
	var buf [128]byte
	key := append(buf[:0], organisation...)
	key = append(key, 0)
	return xxhash.Sum64(append(key, name...))
}
