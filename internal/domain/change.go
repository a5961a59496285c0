package domain

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"pearmoor/internal/vm"
)

// Change is one member's difference between two memberships.
type Change struct {
	Name  string
	After vm.Member // phase Gone when the member is no longer there
}

// Changes lists the members that differ between two memberships.
func Changes(from, to *vm.Membership) []Change {
	d := vm.Delta(from, to)
	var out []Change
	for _, name := range d.GetRemoves() {
		out = append(out, Change{Name: name, After: vm.Member{Phase: vm.Gone}})
	}
	for _, w := range d.GetUpserts() {
		out = append(out, Change{Name: w.GetName(), After: vm.FromWire(w)})
	}
	return out
}

// Unmoved reports that HomesIn with the same key, region and n gives the same
// homes after the changes, without looking at the other members. It may be false
// although they are the same.
//
// With one home in each of n failure domains, a home is the best of its domain.
// Only a change of a home itself, or a member that ranks above one of the homes,
// can move them.
func Unmoved(homes []vm.Member, key, region string, n int, changes []Change) bool {
	if len(homes) != n {
		return false
	}
	seed := xxhash.Sum64String(key)
	lowest := uint64(math.MaxUint64)
	used := make(map[string]bool, n)
	for i := range homes {
		h := &homes[i]
		if used[h.Domain] || (region != "" && h.Region != region) {
			return false
		}
		used[h.Domain] = true
		lowest = min(lowest, score(seed, h.Name))
	}
	for i := range changes {
		if changes[i].moves(homes, seed, lowest) {
			return false
		}
	}
	return true
}

func (c *Change) moves(homes []vm.Member, seed, lowest uint64) bool {
	for i := range homes {
		if homes[i].Name == c.Name {
			return true
		}
	}
	return c.After.Phase == vm.Serving && score(seed, c.Name) >= lowest
}
