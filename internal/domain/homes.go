package domain

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"

	"pearmoor/internal/vm"
)

// Homes returns the n daemons that serve the group key, best first. Only Serving
// members are chosen, each by the hash of (key, member name), and as few as
// possible from one failure domain. Fewer than n are returned when fewer serve.
func Homes(m *vm.Membership, key string, n int) []vm.Member {
	return HomesIn(m, key, "", n)
}

// HomesIn is Homes with a preference for one region: other regions are used only
// while the region has fewer than n Serving members. An empty region prefers none.
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

// rank scores the Serving members and sorts them, best first, those of region
// apart from the others. Of each failure domain only the n best are kept, as no
// more of them can be chosen.
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

// keepBest adds c to the at most n best of a failure domain, best first.
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

// before reports whether c ranks above o.
func (c candidate) before(o candidate) bool {
	if c.score != o.score {
		return c.score > o.score
	}
	return c.member.Name < o.member.Name
}

func byScore(cs []candidate) {
	sort.Slice(cs, func(i, j int) bool { return cs[i].before(cs[j]) })
}

// score depends on the name and not on the incarnation, so that a restarted
// daemon gets the same groups back.
func score(seed uint64, name string) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], seed)
	binary.LittleEndian.PutUint64(buf[8:], xxhash.Sum64String(name))
	return xxhash.Sum64(buf[:])
}

// spread adds the best candidates to homes until there are n, allowing one more
// per failure domain in each round. A round changes by at most one member when a
// candidate comes or goes, which keeps movement minimal.
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
