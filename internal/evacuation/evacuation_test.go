package evacuation

import (
	"testing"

	"pgregory.net/rapid"

	"pearmoor/internal/settings"
)

// agreed is the control group's state as the daemons' orders change it.
type agreed struct {
	t       *rapid.T
	tree    *settings.Tree
	version uint64
}

// apply carries out an order as the leader does and reports whether it was accepted.
func (a *agreed) apply(o Order) bool {
	if !FromTree(a.tree)[o.Domain].Accepts(o) {
		return false
	}
	next, err := a.tree.Apply(a.version+1, Edits(o.Domain, o.Evacuate, a.version+1))
	if err != nil {
		a.t.Fatalf("edits of an accepted order are invalid: %v", err)
	}
	a.tree, a.version = next, a.version+1
	return true
}

// Guards against an order that a daemon still carries and that takes effect after a later
// order of the operator has been acknowledged: a domain would be evacuated again, or its
// evacuation would end, without anybody having asked for it.
func TestDelayedOrderDoesNotUndoAcknowledgedOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := &agreed{t: t, tree: settings.New()}
		var carried []Order // by daemons that have not sent them to the leader yet
		for range rapid.IntRange(1, 12).Draw(t, "orders") {
			evacuate := rapid.Bool().Draw(t, "evacuate")
			// The operator sends the order through daemons that may lag behind. All copies
			// but the one that is acknowledged may arrive at any later time, or never.
			issuedAt := state.version
			for range rapid.IntRange(0, 3).Draw(t, "copies") {
				seen := uint64(rapid.IntRange(0, int(issuedAt)).Draw(t, "seen"))
				carried = append(carried, Order{Domain: "hall", Evacuate: evacuate, SeenVersion: seen})
			}
			if rapid.Bool().Draw(t, "given up") {
				continue // no copy is acknowledged before the operator gives its next order
			}
			if !state.apply(Order{Domain: "hall", Evacuate: evacuate, SeenVersion: state.version}) {
				t.Fatal("an order of a daemon that knows the newest state was refused")
			}
			for range rapid.IntRange(0, 3).Draw(t, "late") {
				if len(carried) == 0 {
					break
				}
				k := rapid.IntRange(0, len(carried)-1).Draw(t, "which")
				late := carried[k]
				carried = append(carried[:k], carried[k+1:]...)
				state.apply(late)
				if got := FromTree(state.tree)["hall"].Evacuated; got != evacuate {
					t.Fatalf("a late order %+v changed the acknowledged state %v", late, evacuate)
				}
			}
		}
	})
}

func TestOrderForOneDomainLeavesOthersAlone(t *testing.T) {
	tree := settings.New()
	for i, domain := range []string{"hall-1", "Hall 2 / left", "hall-3"} {
		var err error
		if tree, err = tree.Apply(uint64(i+1), Edits(domain, i != 2, uint64(i+1))); err != nil {
			t.Fatal(err)
		}
	}
	got := FromTree(tree)
	if len(got) != 3 || got["hall-1"] != (Domain{true, 1}) || got["Hall 2 / left"] != (Domain{true, 2}) || got["hall-3"] != (Domain{false, 3}) {
		t.Errorf("got %+v", got)
	}
	if names := got.Evacuated(); len(names) != 2 || names[0] != "Hall 2 / left" || names[1] != "hall-1" {
		t.Errorf("evacuated: %q", names)
	}
}
