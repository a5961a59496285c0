package settings

import (
	"encoding/json"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"pearmoor/internal/contract"
	"pearmoor/internal/link/wire"
)

func TestPlanListsAffectedServices(t *testing.T) {
	Convey("Given a tree in which one group of services sets its own hedge delay", t, func() {
		tree := mustApply(t, exampleTree(t), 2, Edit{Path: "gj-west/storefront", Name: "hedge-after", Value: "30ms"})

		Convey("a change at the region lists only the query services that it affects", func() {
			next := mustApply(t, tree, 3, Edit{Path: "gj-west", Name: "hedge-after", Value: "20ms"})
			So(Plan(tree, next), ShouldResemble, []Effect{
				{Service: "gj-west/ledger-desk", Name: "hedge-after", Before: "0s", After: "20ms"},
			})
		})
		Convey("setting a value that is already in effect has no effect", func() {
			next := mustApply(t, tree, 3, Edit{Path: "gj-west/storefront/s1", Name: "hedge-after", Value: "0.030s"})
			So(Plan(tree, next), ShouldBeEmpty)
			So(next.Digest(), ShouldNotEqual, tree.Digest())
		})
		Convey("an added or removed service has a single effect, on its leaves", func() {
			next := mustApply(t, tree, 3,
				Edit{Path: "gj-west/storefront", Op: Remove},
				Edit{Path: "gj-west/route-plan", Name: "leaves", Value: "route-a=10.0.2.1:80@kheda-rack"})
			So(Plan(tree, next), ShouldResemble, []Effect{
				{Service: "gj-west/route-plan", Name: "leaves", After: "route-a=10.0.2.1:80@kheda-rack"},
				{Service: "gj-west/storefront/s1", Name: "leaves", Before: "s1-a=10.0.0.1:80@anand-hall,s1-b=10.0.0.2:80@kheda-rack"},
				{Service: "gj-west/storefront/s2", Name: "leaves", Before: "s2-a=10.0.0.3:80@anand-hall"},
			})
		})
		Convey("a tier setting is listed for the root", func() {
			next := mustApply(t, tree, 3, Edit{Path: "/", Name: "daemon-lease", Value: "9s"})
			So(Plan(tree, next), ShouldResemble, []Effect{{Service: "/", Name: "daemon-lease", Before: "6s", After: "9s"}})
		})
	})
}

func TestExplainRejectsUnknownPath(t *testing.T) {
	Convey("Explain and Effective reject a path without a node", t, func() {
		tree := exampleTree(t)
		for _, path := range []string{"nowhere", "gj-west/storefront/s1/x", "gj-west/", "//", "A", "gj-west//storefront"} {
			_, err := tree.Explain(path)
			So(err, ShouldHaveSameTypeAs, contract.Faults{})
			_, ok := tree.Effective(path)
			So(ok, ShouldBeFalse)
		}
		for _, path := range []string{"", "/", "/gj-west", "gj-west"} {
			_, err := tree.Explain(path)
			So(err, ShouldBeNil)
			_, ok := tree.Effective(path)
			So(ok, ShouldBeTrue)
		}
	})
}

func TestEditsRoundTripThroughWireAndJSON(t *testing.T) {
	Convey("Edits survive a round trip through protobuf messages and JSON", t, func() {
		edits := []Edit{{Path: "a", Name: "homes", Value: "1"}, {Path: "a", Name: "homes", Op: Unset}, {Path: "a", Op: Remove}}
		So(EditsFromWire(EditsToWire(edits)), ShouldResemble, edits)
		text, err := json.Marshal(edits)
		So(err, ShouldBeNil)
		var decoded []Edit
		So(json.Unmarshal(text, &decoded), ShouldBeNil)
		So(decoded, ShouldResemble, edits)
	})
	Convey("An operation of a later release is rejected and not mistaken for another", t, func() {
		edits := EditsFromWire([]*wire.Edit{{Path: "gj-west", Name: "goal", Value: "tail", Op: 9}, {Path: "gj-west", Op: -1}})
		So(faultFields(applyFaults(t, exampleTree(t), edits...)), ShouldResemble, []string{"gj-west:goal", "gj-west"})
	})
}
