package settings

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"pearmoor/internal/contract"
)

func parseFileFaults(text string) contract.Faults {
	_, err := ParseFile([]byte(text))
	if err == nil {
		return nil
	}
	return err.(contract.Faults)
}

func TestParseAndExportFile(t *testing.T) {
	Convey("Given a settings file", t, func() {
		text := `
settings:
  deadline-default: 220ms
  hedge-budget: 0.03
nodes:
  gj-west:
    settings: {goal: tail, homes: 1, leaf-tls: true}
    nodes:
      s1:
        settings:
          leaves:
            - s1-a=10.0.0.1:80@anand-hall
            - s1-b=10.0.0.2:80@kheda-rack
          drained: [s1-b]
      bare:
`
		tree, err := ParseFile([]byte(text))
		So(err, ShouldBeNil)
		e, _ := tree.Effective("gj-west/s1")

		Convey("each value takes effect", func() {
			So(FormatLeaves(e.Leaves), ShouldEqual, "s1-a=10.0.0.1:80@anand-hall,s1-b=10.0.0.2:80@kheda-rack")
			So(e.Drained, ShouldResemble, []string{"s1-b"})
			So(e.HedgeBudget, ShouldEqual, 0.03)
			So(e.LeafTLS, ShouldBeTrue)
			So(e.Homes, ShouldEqual, 1)
		})
		Convey("a node without values does not exist", func() {
			_, ok := tree.Effective("gj-west/bare")
			So(ok, ShouldBeFalse)
		})
		Convey("an export has one line per leaf", func() {
			So(string(tree.ExportFile()), ShouldContainSubstring, "\n            - s1-a=10.0.0.1:80@anand-hall\n")
		})
		Convey("an export with a base version parses to the same tree", func() {
			out := tree.ExportFileWithBase(41)
			base, found, err := FileBaseVersion(out)
			So(err, ShouldBeNil)
			So(found, ShouldBeTrue)
			So(base, ShouldEqual, 41)
			reparsed, err := ParseFile(out)
			So(err, ShouldBeNil)
			So(reparsed.Digest(), ShouldEqual, tree.Digest())
			_, found, err = FileBaseVersion(tree.ExportFile())
			So(err, ShouldBeNil)
			So(found, ShouldBeFalse)
		})
	})

	Convey("An empty file yields an empty tree", t, func() {
		for _, text := range []string{"", "\n", "# nothing\n", "{}", "null"} {
			tree, err := ParseFile([]byte(text))
			So(err, ShouldBeNil)
			So(tree.Digest(), ShouldEqual, New().Digest())
		}
	})
}

func TestParseFileRejectsInvalidFiles(t *testing.T) {
	Convey("An invalid file is rejected, and the fault names the location", t, func() {
		for _, c := range []struct{ text, field, why string }{
			{"setings: {homes: 1}", "/:setings", "unknown"},
			{"nodes: {a: {homes: 1}}", "a:homes", "unknown"},
			{"nodes: {a: {base: 1}}", "a:base", "unknown"},
			{"base: x", "/:base", "no version"},
			{"base: -1", "/:base", "no version"},
			{"settings: {homs: 1}", "/:homs", "no setting"},
			{"settings: {homes: }", "/:homes", "no plain value"},
			{"settings: {homes: {a: 1}}", "/:homes", "no plain value"},
			{"settings: {homes: 0x1}", "/:homes", "not a whole number"},
			{"settings: 3", "/:settings", "no mapping"},
			{"nodes: [a]", "/:nodes", "no mapping"},
			{"nodes: {A: {}}", "/:nodes", "not well formed"},
			{"- a", "/", "no mapping"},
			{"settings: &x {homes: 1}", "/:settings", "no mapping"},
			{"settings: {homes: &x 1}", "/:homes", "no plain value"},
			{"settings: {homes: !!int 1}", "/:homes", "no plain value"},
			{"settings: {<<: {homes: 1}}", "/:<<", "no plain value"},
			{"settings: {homes: 1, homes: 2}", "file", "already defined"},
			{"a: [", "file", ""},
			{"{}\n---\n{}", "file", "2 documents"},
			{"nodes: {a: {nodes: {b: {nodes: {c: {nodes: {d: {nodes: {e: {nodes: {f: {nodes: {g: {nodes: {h: {nodes: {i: {}}}}}}}}}}}}}}}}}}", "a/b/c/d/e/f/g/h/i", "too deep"},
		} {
			faults := parseFileFaults(c.text)
			So(faults, ShouldHaveLength, 1)
			So(faults[0].Field, ShouldEqual, c.field)
			So(faults[0].Why, ShouldContainSubstring, c.why)
		}
	})

	Convey("All faults are listed", t, func() {
		So(faultFields(parseFileFaults("setings: {}\nnodes: {a: {x: 1}, B: {}}")), ShouldResemble, []string{"/:setings", "a:x", "/:nodes"})
		So(faultFields(parseFileFaults("settings: {homes: 9, hedge-after: 20}\nnodes: {a: {settings: {gaol: tail}}}")), ShouldResemble,
			[]string{"/:hedge-after", "a:gaol"})
	})
}
