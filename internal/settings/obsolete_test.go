package settings

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// schemaOfOlderRelease returns a schema with one more setting and one more value of goal
// than the current one.
func schemaOfOlderRelease() *schema {
	settings := allSettings()
	for i := range settings {
		if settings[i].Name == "goal" {
			settings[i].Choices = append(settings[i].Choices, "cost")
		}
	}
	return newSchema(append(settings, Setting{
		Name: "cache-size", Kind: Bytes, Min: "1KiB", Max: "1GiB", Default: "1MiB", Inherits: true,
		assign: func(*Effective, *Tier, *value) {},
	}))
}

// A tree written by an older release contains a setting that this release has removed. If
// it were rejected, a control VM could not read its own log after an upgrade, and daemons
// of the two releases would have different trees.
func TestObsoleteSettingsAreKeptWithoutEffect(t *testing.T) {
	Convey("Given a tree of a release with one more setting", t, func() {
		older := newTree(schemaOfOlderRelease(), &node{}, nil)
		edits := []Edit{
			{Path: "gj-west", Name: "cache-size", Value: "4MiB"},
			{Path: "gj-west", Name: "goal", Value: "cost"},
			{Path: "gj-west", Name: "homes", Value: "1"},
			{Path: "gj-west/desk", Name: "cache-size", Value: "8MiB"},
			{Path: "gj-west/s", Name: "leaves", Value: "a=10.0.0.1:80@hall"},
		}
		older = mustApply(t, older, 4, edits...)
		tree, err := Decode(older.Encode())
		So(err, ShouldBeNil)

		Convey("this release keeps it byte for byte", func() {
			So(tree.Digest(), ShouldEqual, older.Digest())
			So(tree.Encode(), ShouldResemble, older.Encode())
		})
		Convey("replaying the accepted change gives the same tree as the snapshot", func() {
			So(New().Replay(4, edits).Digest(), ShouldEqual, older.Digest())
		})
		Convey("it has no effect, and a value that is no longer valid is replaced by the inherited one", func() {
			e, _ := tree.Effective("gj-west/s")
			So(e.Goal, ShouldEqual, Coverage)
			So(e.Homes, ShouldEqual, 1)
		})
		Convey("Explain lists it as obsolete with the node and version that set it", func() {
			explanations, err := tree.Explain("gj-west/desk")
			So(err, ShouldBeNil)
			So(explanations[len(explanations)-3:], ShouldResemble, []Explanation{
				{Name: "cache-size", Value: "4MiB", Source: "gj-west", Version: 4, Obsolete: true},
				{Name: "goal", Value: "cost", Source: "gj-west", Version: 4, Obsolete: true},
				{Name: "cache-size", Value: "8MiB", Source: "gj-west/desk", Version: 4, Obsolete: true},
			})
		})
		Convey("it cannot be set again", func() {
			faults := applyFaults(t, tree, Edit{Path: "gj-west", Name: "cache-size", Value: "2MiB"})
			So(faultFields(faults), ShouldResemble, []string{"gj-west:cache-size"})
			So(faults[0].Why, ShouldContainSubstring, "obsolete")
			So(faults[0].Fix, ShouldContainSubstring, "unset")
		})
		Convey("it can be unset without changing any effective value", func() {
			next := mustApply(t, tree, 5, Edit{Path: "gj-west", Name: "cache-size", Op: Unset}, Edit{Path: "gj-west", Name: "goal", Op: Unset})
			So(Plan(tree, next), ShouldBeEmpty)
			explanations, _ := next.Explain("gj-west/s")
			for _, explanation := range explanations {
				So(explanation.Obsolete, ShouldBeFalse)
			}
		})
		Convey("other changes are accepted, and a valid value replaces the obsolete one", func() {
			next := mustApply(t, tree, 5, Edit{Path: "gj-west", Name: "goal", Value: "tail"}, Edit{Path: "/", Name: "daemon-lease", Value: "7s"})
			e, _ := next.Effective("gj-west/s")
			So(e.Goal, ShouldEqual, Tail)
		})
		Convey("an exported file omits it, so applying the file removes it", func() {
			file, err := ParseFile(tree.ExportFile())
			So(err, ShouldBeNil)
			So(Diff(tree, file), ShouldResemble, []Edit{
				{Path: "gj-west", Name: "cache-size", Op: Unset},
				{Path: "gj-west", Name: "goal", Op: Unset},
				{Path: "gj-west/desk", Op: Remove},
			})
		})
	})
}

// A daemon of this release replays changes from a leader of a later release, whose schema
// has another canonical form and wider ranges and allows nodes below a query service. The
// daemon must reach the leader's digest and must not apply values it does not understand.
func TestReplayKeepsValuesOfLaterRelease(t *testing.T) {
	Convey("Given a change that this release would reject", t, func() {
		tree := New().Replay(3, []Edit{
			{Path: "/", Name: "daemon-lease", Value: "20m"},
			{Path: "/", Name: "hedge-after", Value: "0.02s"},
			{Path: "x", Name: "leaves", Value: "a=10.0.0.1:80@hall"},
			{Path: "x/y", Name: "goal", Value: "tail"},
			{Path: "x/y", Name: "new-setting", Value: "1"},
			{Path: "x/y", Name: "leaves", Op: Unset},
		})
		Convey("each value is kept as written", func() {
			explanations, err := tree.Explain("/")
			So(err, ShouldBeNil)
			So(explanations, ShouldContain, Explanation{Name: "hedge-after", Value: "0.02s", Source: "/", Version: 3})
			So(explanations[len(explanations)-1], ShouldResemble, Explanation{Name: "daemon-lease", Value: "20m", Source: "/", Version: 3, Obsolete: true})
		})
		Convey("known values take effect, and unknown ones are replaced by the default", func() {
			e, _ := tree.Effective("x")
			So(e.HedgeAfter.String(), ShouldEqual, "20ms")
			So(tree.Tier().DaemonLease.String(), ShouldEqual, "6s")
		})
		Convey("leaves are not inherited", func() {
			e, _ := tree.Effective("x/y")
			So(e.Leaves, ShouldBeEmpty)
			explanations, _ := tree.Explain("x/y")
			for _, x := range explanations {
				So(x.Name, ShouldNotEqual, "leaves")
			}
		})
		Convey("its encoding decodes to the same tree", func() {
			decoded, err := Decode(tree.Encode())
			So(err, ShouldBeNil)
			So(Plan(tree, decoded), ShouldBeEmpty)
		})
	})
}
