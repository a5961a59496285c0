package domain

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"pearmoor/internal/vm"
)

// MemberChange is the change of one member between two memberships.
type MemberChange struct {
	Name  string
	After vm.Member // phase Gone if the member was removed
}

// MemberChanges returns the members that differ between two memberships.
func MemberChanges(from, to *vm.Membership) []MemberChange {
	d := vm.MembershipDelta(from, to)
	var out []MemberChange
	for _, name := range d.GetRemoves() {
		out = append(out, MemberChange{Name: name, After: vm.Member{Phase: vm.Gone}})
	}
	for _, w := range d.GetUpserts() {
		out = append(out, MemberChange{Name: w.GetName(), After: vm.MemberFromWire(w)})
	}
	return out
}

// HomesUnchanged reports whether HomesInRegion with the same key, region and n is known to
// return the same homes after the changes. It examines only the changed members. It may
// return false although the homes are the same.
//
// With one home in each of n failure domains, each home is the highest-ranked member of
// its domain. Then only a change of a home itself, or of a member that ranks above one of
// the homes, can change the result.
func HomesUnchanged(homes []vm.Member, key, region string, n int, changes []MemberChange) bool {
	if len(homes) != n {
		return false
	}
	seed := xxhash.Sum64String(key)
	lowestScore := uint64(math.MaxUint64)
	seenDomains := make(map[string]bool, n)
	for i := range homes {
		h := &homes[i]
		if seenDomains[h.Domain] || (region != "" && h.Region != region) {
			return false
		}
		seenDomains[h.Domain] = true
		lowestScore = min(lowestScore, score(seed, h.Name))
	}
	for i := range changes {
		if changes[i].mayChangeHomes(homes, seed, lowestScore) {
			return false
		}
	}
	return true
}

// mayChangeHomes reports whether c affects one of the homes or adds a Serving member whose
// score reaches that of the lowest-ranked home.
func (c *MemberChange) mayChangeHomes(homes []vm.Member, seed, lowestScore uint64) bool {
	for i := range homes {
		if homes[i].Name == c.Name {
			return true
		}
	}
	return c.After.Phase == vm.Serving && score(seed, c.Name) >= lowestScore
}
