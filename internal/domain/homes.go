package domain

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"

	"pearmoor/internal/vm"
)

// Homes returns the n daemons that serve the group with the given key, in order of
// preference. Only Serving members are chosen, by the hash of (key, member name), with as
// few as possible from each failure domain. If fewer than n members are Serving, it
// returns fewer.
func Homes(m *vm.Membership, key string, n int) []vm.Member {
	return HomesInRegion(m, key, "", n)
}

// HomesInRegion is like Homes but prefers members in the given region: members of other
// regions are used only if the region has fewer than n Serving members. An empty region
// means no preference.
func HomesInRegion(m *vm.Membership, key, region string, n int) []vm.Member {
	if m == nil || n <= 0 {
		return nil
	}
	inRegion, elsewhere := rankByRegion(m, key, region, n)
	homes := addSpreadOverDomains(make([]vm.Member, 0, n), inRegion, n)
	return addSpreadOverDomains(homes, elsewhere, n)
}

// candidate is a member with its rendezvous score.
type candidate struct {
	member *vm.Member
	score  uint64
}

// rankByRegion scores the Serving members and returns those in region and those elsewhere,
// each sorted by descending rank. It keeps only the n highest-ranked members of each
// failure domain, because no more of them can be chosen.
func rankByRegion(m *vm.Membership, key, region string, n int) (inRegion, elsewhere []candidate) {
	seed := xxhash.Sum64String(key)
	bestByDomain := make(map[string][]candidate)
	for i := range m.Members {
		member := &m.Members[i]
		if member.Phase == vm.Serving {
			c := candidate{member: member, score: score(seed, member.Name)}
			bestByDomain[member.Domain] = insertCandidate(bestByDomain[member.Domain], c, n)
		}
	}
	for _, cs := range bestByDomain {
		for _, c := range cs {
			if region == "" || c.member.Region == region {
				inRegion = append(inRegion, c)
			} else {
				elsewhere = append(elsewhere, c)
			}
		}
	}
	sortByRank(inRegion)
	sortByRank(elsewhere)
	return inRegion, elsewhere
}

// insertCandidate inserts c into cs, the highest-ranked candidates of a failure domain in
// descending order, and keeps at most n of them.
func insertCandidate(cs []candidate, c candidate, n int) []candidate {
	if len(cs) == n {
		if !c.ranksAbove(cs[n-1]) {
			return cs
		}
		cs = cs[:n-1]
	}
	cs = append(cs, c)
	for i := len(cs) - 1; i > 0 && cs[i].ranksAbove(cs[i-1]); i-- {
		cs[i], cs[i-1] = cs[i-1], cs[i]
	}
	return cs
}

// ranksAbove reports whether c ranks above o: by score, then by name.
func (c candidate) ranksAbove(o candidate) bool {
	if c.score != o.score {
		return c.score > o.score
	}
	return c.member.Name < o.member.Name
}

func sortByRank(cs []candidate) {
	sort.Slice(cs, func(i, j int) bool { return cs[i].ranksAbove(cs[j]) })
}

// score returns the rendezvous score of a member. It depends on the name and not on the
// incarnation, so that a restarted daemon is assigned the same groups again.
func score(seed uint64, name string) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], seed)
	binary.LittleEndian.PutUint64(buf[8:], xxhash.Sum64String(name))
	return xxhash.Sum64(buf[:])
}

// addSpreadOverDomains appends the highest-ranked candidates to homes until there are n.
// Each round allows one more home per failure domain. Adding or removing one candidate
// changes at most one member of a round, which minimizes reassignment.
func addSpreadOverDomains(homes []vm.Member, cs []candidate, n int) []vm.Member {
	homesPerDomain := make(map[string]int)
	for i := range homes {
		homesPerDomain[homes[i].Domain]++
	}
	taken := make([]bool, len(cs))
	remaining := len(cs)
	for limit := 1; len(homes) < n && remaining > 0; limit++ {
		for i := 0; i < len(cs) && len(homes) < n; i++ {
			domain := cs[i].member.Domain
			if taken[i] || homesPerDomain[domain] >= limit {
				continue
			}
			taken[i] = true
			homesPerDomain[domain]++
			remaining--
			homes = append(homes, *cs[i].member)
		}
	}
	return homes
}
