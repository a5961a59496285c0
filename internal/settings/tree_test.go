package settings

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"pearmoor/internal/contract"
)

// exampleTree returns a tree with one region, two groups of services and three query
// services.
func exampleTree(t testing.TB) *Tree {
	t.Helper()
	return mustApply(t, New(), 1,
		Edit{Path: "/", Name: "deadline-default", Value: "220ms"},
		Edit{Path: "gj-west", Name: "goal", Value: "tail"},
		Edit{Path: "gj-west/storefront", Name: "priority", Value: "urgent"},
		Edit{Path: "gj-west/storefront/s1", Name: "leaves", Value: "s1-b=10.0.0.2:80@kheda-rack,s1-a=10.0.0.1:80@anand-hall"},
		Edit{Path: "gj-west/storefront/s2", Name: "leaves", Value: "s2-a=10.0.0.3:80@anand-hall"},
		Edit{Path: "gj-west/ledger-desk", Name: "leaves", Value: "ledger-a=10.0.1.1:80@vadodara-a"},
	)
}

func mustApply(t testing.TB, from *Tree, version uint64, edits ...Edit) *Tree {
	t.Helper()
	next, err := from.Apply(version, edits)
	if err != nil {
		t.Fatalf("apply: %v", err)
	}
	return next
}

// applyFaults returns the faults of applying edits.
func applyFaults(t testing.TB, from *Tree, edits ...Edit) contract.Faults {
	t.Helper()
	_, err := from.Apply(99, edits)
	if err == nil {
		return nil
	}
	faults, ok := err.(contract.Faults)
	if !ok {
		t.Fatalf("the error has type %T, want contract.Faults", err)
	}
	return faults
}

// faultFields returns the Field of each fault.
func faultFields(faults contract.Faults) []string {
	out := make([]string, len(faults))
	for i, f := range faults {
		out[i] = f.Field
	}
	return out
}

func TestInheritance(t *testing.T) {
	Convey("Given a tree with two groups of services", t, func() {
		tree := exampleTree(t)
		s1, ok := tree.Effective("gj-west/storefront/s1")
		So(ok, ShouldBeTrue)

		Convey("a service inherits from the nearest ancestor that sets a value, or has the default", func() {
			So(s1.Priority, ShouldEqual, Urgent)
			So(s1.Goal, ShouldEqual, Tail)
			So(s1.DeadlineDefault.String(), ShouldEqual, "220ms")
			So(s1.LeafSlots, ShouldEqual, 2)
			So(FormatLeaves(s1.Leaves), ShouldEqual, "s1-a=10.0.0.1:80@anand-hall,s1-b=10.0.0.2:80@kheda-rack")
		})
		Convey("a sibling node does not inherit the value", func() {
			ledger, _ := tree.Effective("gj-west/ledger-desk")
			So(ledger.Priority, ShouldEqual, Ordinary)
		})
		Convey("the query services of a node are listed", func() {
			So(tree.Services("/"), ShouldResemble, []string{"gj-west/ledger-desk", "gj-west/storefront/s1", "gj-west/storefront/s2"})
			So(tree.Services("gj-west/storefront"), ShouldResemble, []string{"gj-west/storefront/s1", "gj-west/storefront/s2"})
			So(tree.Services("nowhere"), ShouldBeEmpty)
		})
		Convey("Explain names the node and the version that set each value", func() {
			next := mustApply(t, tree, 7, Edit{Path: "gj-west/storefront", Name: "homes", Value: "1"})
			explanations, err := next.Explain("gj-west/storefront/s1")
			So(err, ShouldBeNil)
			got := map[string]Explanation{}
			for _, x := range explanations {
				got[x.Name] = x
			}
			So(got["homes"], ShouldResemble, Explanation{Name: "homes", Value: "1", Source: "gj-west/storefront", Version: 7})
			So(got["deadline-default"], ShouldResemble, Explanation{Name: "deadline-default", Value: "220ms", Source: "/", Version: 1})
			So(got["ramp"], ShouldResemble, Explanation{Name: "ramp", Value: "10s", Source: "default"})
		})
	})
}
