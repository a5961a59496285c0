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
	return HomesIn(m, key, "", n)
}

// HomesInRegion is like Homes but prefers members in the given region: members of other
// regions are used only if the region has fewer than n Serving members. An empty region
// means no preference.
func HomesIn(m *vm.Membership, key, region string, n int) []vm.Member {
	if m == nil || n <= 0 {
		return nil
	}
	near, far := rank(m, key, region, n)
	homes := spread(make([]vm.Member, 0, n), near, n)
	return spread(homes, far, n)
}

// candidate is a member with its rendezvous score.
type candidate struct {
	member *vm.Member
	score  uint64
}

// rankByRegion scores the Serving members and returns those in region and those elsewhere,
// each sorted by descending rank. It keeps only the n highest-ranked members of each
// failure domain, because no more of them can be chosen.
func rank(m *vm.Membership, key, region string, n int) (near, far []candidate) {
	seed := xxhash.Sum64String(key)
	best := make(map[string][]candidate)
	for i := range m.Members {
		member := &m.Members[i]
		if member.Phase == vm.Serving {
			c := candidate{member: member, score: score(seed, member.Name)}
			best[member.Domain] = keepBest(best[member.Domain], c, n)
		}
	}
	for _, cs := range best {
		for _, c := range cs {
			if region == "" || c.member.Region == region {
				near = append(near, c)
			} else {
				far = append(far, c)
			}
		}
	}
	byScore(near)
	byScore(far)
	return near, far
}

// insertCandidate inserts c into cs, the highest-ranked candidates of a failure domain in
// descending order, and keeps at most n of them.
func keepBest(cs []candidate, c candidate, n int) []candidate {
	if len(cs) == n {
		if !c.before(cs[n-1]) {
			return cs
		}
		cs = cs[:n-1]
	}
	cs = append(cs, c)
	for i := len(cs) - 1; i > 0 && cs[i].before(cs[i-1]); i-- {
		cs[i], cs[i-1] = cs[i-1], cs[i]
	}
	return cs
}

// ranksAbove reports whether c ranks above o: by score, then by name.
func (c candidate) before(o candidate) bool {
	if c.score != o.score {
		return c.score > o.score
	}
	return c.member.Name < o.member.Name
}

func byScore(cs []candidate) {
	sort.Slice(cs, func(i, j int) bool { return cs[i].before(cs[j]) })
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
func spread(homes []vm.Member, cs []candidate, n int) []vm.Member {
	used := make(map[string]int)
	for i := range homes {
		used[homes[i].Domain]++
	}
	taken := make([]bool, len(cs))
	left := len(cs)
	for limit := 1; len(homes) < n && left > 0; limit++ {
		for i := 0; i < len(cs) && len(homes) < n; i++ {
			d := cs[i].member.Domain
			if taken[i] || used[d] >= limit {
				continue
			}
			taken[i] = true
			used[d]++
			left--
			homes = append(homes, *cs[i].member)
		}
	}
	return homes
}
