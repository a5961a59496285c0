package settings

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// rejectedEdit is an invalid edit of exampleTree and the fields of its only fault.
type rejectedEdit struct {
	path, name, value string
	field, why, fix   string
}

func TestApplyRejectsInvalidValues(t *testing.T) {
	Convey("Given a tree, an edit with one mistake is rejected with one fault", t, func() {
		tree := exampleTree(t)
		for _, c := range []rejectedEdit{
			{"/", "hedge-aftr", "20ms", "/:hedge-aftr", "no setting of that name", "did you mean hedge-after?"},
			{"/", "colour", "red", "/:colour", "no setting of that name", "see the reference"},
			{"gj-west", "daemon-lease", "9s", "gj-west:daemon-lease", "only the root", "set it at /"},
			{"/", "leaves", "a=10.0.0.9:80@x", "/:leaves", "no query service", "below the root"},
			{"gj-west", "deadline-default", "200", "gj-west:deadline-default", "no unit", "such as 1s"},
			{"gj-west", "deadline-default", "200 ms", "gj-west:deadline-default", "not a duration", "from 10ms to 10m"},
			{"gj-west", "deadline-default", "", "gj-west:deadline-default", "empty", "write a duration"},
			{"gj-west", "body-limit", "65536", "gj-west:body-limit", "no unit", "such as 1MiB"},
			{"gj-west", "body-limit", "1PiB", "gj-west:body-limit", "above the greatest", "to 64MiB"},
			{"gj-west", "body-limit", "18014398509481985KiB", "gj-west:body-limit", "", ""},
			{"gj-west", "homes", "2.5", "gj-west:homes", "not a whole number", "from 1 to 64"},
			{"gj-west", "homes", "0", "gj-west:homes", "below the least", "from 1 to 64"},
			{"gj-west", "hedge-budget", "3%", "gj-west:hedge-budget", "not a plain number", "such as 0.03"},
			{"gj-west", "hedge-budget", "NaN", "gj-west:hedge-budget", "not a plain number", ""},
			{"gj-west", "goal", "speed", "gj-west:goal", "none of coverage, tail", "write coverage or tail"},
			{"gj-west", "leaf-tls", "yes", "gj-west:leaf-tls", "neither true nor false", "write true or false"},
			{"GJ West", "goal", "tail", "GJ West:goal", "not well formed", "1 to 63"},
			{"a//b", "goal", "tail", "a//b:goal", "not well formed", "1 to 63"},
			{"a/b/", "goal", "tail", "a/b/:goal", "not well formed", "1 to 63"},
			{"1/2/3/4/5/6/7/8/9", "goal", "tail", "1/2/3/4/5/6/7/8/9:goal", "too many segments", ""},
			{"x", "leaves", "a=localhost:80@hall", "x:leaves", "not an IP number and port", "name=ip:port@domain"},
			{"x", "leaves", "a=10.0.0.9:0@hall", "x:leaves", "not an IP number and port", ""},
			{"x", "leaves", "a=10.0.0.9:80", "x:leaves", "no failure domain", ""},
			{"x", "leaves", "a=10.0.0.9:80@h,a=10.0.0.8:80@h", "x:leaves", `"a" stands twice`, ""},
			{"x", "leaves", "a=10.0.0.9:80@h,b=10.0.0.9:80@h", "x:leaves", "both leaf", ""},
			{"x", "leaves", "a=10.0.0.9:80@h,b=[::ffff:10.0.0.9]:80@h", "x:leaves", "both leaf", ""},
		} {
			faults := applyFaults(t, tree, Edit{Path: c.path, Name: c.name, Value: c.value})
			So(faults, ShouldHaveLength, 1)
			So(faults[0].Field, ShouldEqual, c.field)
			So(faults[0].Value, ShouldEqual, c.value)
			So(faults[0].Why, ShouldContainSubstring, c.why)
			So(faults[0].Fix, ShouldContainSubstring, c.fix)
		}
	})
}

func TestApplyRejectsInvalidOperations(t *testing.T) {
	Convey("Given a tree, edits with an unknown target or operation are rejected with their field", t, func() {
		tree := exampleTree(t)
		for _, c := range []struct {
			edit  Edit
			field string
		}{
			{Edit{Path: "gj-west", Name: "ramp", Op: Unset}, "gj-west:ramp"},
			{Edit{Path: "nowhere", Name: "ramp", Op: Unset}, "nowhere:ramp"},
			{Edit{Path: "gj-west", Name: "rampp", Op: Unset}, "gj-west:rampp"},
			{Edit{Path: "nowhere", Op: Remove}, "nowhere"},
			{Edit{Path: "/", Op: Remove}, "/"},
			{Edit{Path: "gj-west", Name: "goal", Op: Remove}, "gj-west:goal"},
			{Edit{Path: "gj-west", Name: "goal", Op: 77}, "gj-west:goal"},
		} {
			So(faultFields(applyFaults(t, tree, c.edit)), ShouldResemble, []string{c.field})
		}
	})
}

func TestApplyRejectsConflictingSettings(t *testing.T) {
	Convey("Given settings that are each within their range", t, func() {
		tree := exampleTree(t)
		expectFault := func(field string, edits ...Edit) {
			So(faultFields(applyFaults(t, tree, edits...)), ShouldResemble, []string{field})
		}

		Convey("a hedge delay that is not below the inherited deadline is rejected at the node that sets it", func() {
			expectFault("gj-west/storefront:hedge-after", Edit{Path: "gj-west/storefront", Name: "hedge-after", Value: "220ms"})
		})
		Convey("a deadline below the hedge delay of a descendant is rejected once", func() {
			tree = mustApply(t, tree, 2, Edit{Path: "gj-west/storefront", Name: "hedge-after", Value: "100ms"})
			expectFault("gj-west/storefront:hedge-after", Edit{Path: "/", Name: "deadline-default", Value: "100ms"})
		})
		Convey("the other rules apply at the root and below it", func() {
			expectFault("gj-west:deadline-default", Edit{Path: "gj-west", Name: "deadline-default", Value: "5s"})
			expectFault("gj-west:connect-cost", Edit{Path: "gj-west", Name: "connect-cost", Value: "220ms"})
			expectFault("gj-west:homes", Edit{Path: "gj-west", Name: "homes", Value: "3"})
			expectFault("gj-west/ledger-desk:leaf-slots", Edit{Path: "gj-west/ledger-desk", Name: "leaf-slots", Value: "1"})
			expectFault("gj-west:leaf-connections", Edit{Path: "gj-west", Name: "leaf-connections", Value: "1"})
			expectFault("gj-west:deadline-max", Edit{Path: "gj-west", Name: "deadline-max", Value: "4001ms"})
			expectFault("/:probe-interval",
				Edit{Path: "/", Name: "deadline-max", Value: "1s"},
				Edit{Path: "/", Name: "daemon-lease", Value: "3s"},
				Edit{Path: "/", Name: "probe-interval", Value: "2s"})
		})
		Convey("a tier setting is checked against values set at descendants", func() {
			tree = mustApply(t, tree, 2, Edit{Path: "/", Name: "daemon-lease", Value: "2m"},
				Edit{Path: "gj-west/ledger-desk", Name: "deadline-max", Value: "30s"})
			expectFault("gj-west/ledger-desk:deadline-max", Edit{Path: "/", Name: "daemon-lease", Value: "20s"})
			expectFault("gj-west/ledger-desk:deadline-max", Edit{Path: "/", Name: "resend-window", Value: "29s"})
		})
		Convey("drained may name only leaves of the service, also when the leaf is removed later", func() {
			expectFault("gj-west/storefront/s1:drained", Edit{Path: "gj-west/storefront/s1", Name: "drained", Value: "s1-x"})
			tree = mustApply(t, tree, 2, Edit{Path: "gj-west/storefront/s1", Name: "drained", Value: "s1-b"})
			expectFault("gj-west/storefront/s1:drained",
				Edit{Path: "gj-west/storefront/s1", Name: "leaves", Value: "s1-a=10.0.0.1:80@anand-hall"})
			expectFault("gj-west/storefront:drained", Edit{Path: "gj-west/storefront", Name: "drained", Value: "s1-a"})
		})
		Convey("a query service with child nodes is rejected", func() {
			expectFault("gj-west/storefront/s1:leaves", Edit{Path: "gj-west/storefront/s1/deep", Name: "goal", Value: "tail"})
			expectFault("gj-west:leaves", Edit{Path: "gj-west", Name: "leaves", Value: "x=10.9.0.1:80@hall"})
		})
		Convey("a change that adjusts both settings together is accepted", func() {
			So(applyFaults(t, tree, Edit{Path: "gj-west", Name: "homes", Value: "3"}, Edit{Path: "gj-west", Name: "leaf-slots", Value: "3"}), ShouldBeEmpty)
		})
		Convey("all faults are listed", func() {
			faults := applyFaults(t, tree,
				Edit{Path: "gj-west", Name: "homes", Value: "3"},
				Edit{Path: "gj-west", Name: "hedge-after", Value: "1s"},
				Edit{Path: "gj-west/ledger-desk", Name: "drained", Value: "nobody"})
			So(faultFields(faults), ShouldResemble, []string{"gj-west:hedge-after", "gj-west:homes", "gj-west/ledger-desk:drained"})
		})
	})
}

// A target that two query services declare would receive requests from both, each up to
// all of its slots, and would be overloaded.
func TestApplyRejectsLeafOfTwoServices(t *testing.T) {
	Convey("Given a leaf that a query service declares", t, func() {
		tree := exampleTree(t)
		Convey("its address is rejected in another service, and the fault names both paths", func() {
			faults := applyFaults(t, tree, Edit{Path: "gj-west/storefront/s3", Name: "leaves", Value: "s3-a=10.0.0.1:80@anand-hall"})
			So(faults, ShouldHaveLength, 1)
			So(faults[0].Field, ShouldEqual, "gj-west/storefront/s3:leaves")
			So(faults[0].Value, ShouldEqual, "10.0.0.1:80")
			So(faults[0].Why, ShouldContainSubstring, "gj-west/storefront/s1")
		})
		Convey("its name is rejected in another service", func() {
			faults := applyFaults(t, tree, Edit{Path: "gj-west/storefront/s3", Name: "leaves", Value: "s1-a=10.7.0.1:80@anand-hall"})
			So(faults, ShouldHaveLength, 1)
			So(faults[0].Why, ShouldContainSubstring, "gj-west/storefront/s1")
		})
		Convey("two services of the same change are checked against each other", func() {
			So(faultFields(applyFaults(t, tree,
				Edit{Path: "gj-west/x", Name: "leaves", Value: "x=10.7.0.1:80@anand-hall"},
				Edit{Path: "gj-west/y", Name: "leaves", Value: "y=10.7.0.1:80@anand-hall"})), ShouldResemble, []string{"gj-west/y:leaves"})
		})
		Convey("moving a leaf to another service in one change is accepted", func() {
			So(applyFaults(t, tree,
				Edit{Path: "gj-west/storefront/s2", Op: Remove},
				Edit{Path: "gj-west/storefront/s3", Name: "leaves", Value: "s2-a=10.0.0.3:80@anand-hall"}), ShouldBeEmpty)
		})
	})
}
