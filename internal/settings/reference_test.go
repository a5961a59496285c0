package settings

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

var update = flag.Bool("update", false, "write the reference page of settings anew")

// TestReference holds the committed page to the schema.
func TestReference(t *testing.T) {
	page := filepath.Join("..", "..", "docs", "reference", "settings.md")
	var want bytes.Buffer
	if err := WriteReference(&want); err != nil {
		t.Fatal(err)
	}
	if *update {
		if err := os.WriteFile(page, want.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want.Bytes()) {
		t.Fatal("docs/reference/settings.md is not that of the schema; run go test ./internal/settings -run TestReference -update")
	}
}

// TestSchema: each setting has what the page, the flags and the checks need.
func TestSchema(t *testing.T) {
	Convey("Each setting is whole", t, func() {
		for _, s := range Schema() {
			So(isSegment(s.Name), ShouldBeTrue)
			So(s.Doc, ShouldEndWith, ".")
			So(s.Unit, ShouldNotBeEmpty)
			So(s.RootOnly && s.Inherits, ShouldBeFalse)
			So(s.Default == "", ShouldEqual, s.Kind == LeafList || s.Kind == NameList)
			So(s.defaultText(), ShouldEqual, s.Default)
		}
	})
	Convey("The defaults contradict nothing", t, func() {
		for _, r := range rules {
			So(r.broken(&current.def, current.defTier), ShouldBeFalse)
			for _, name := range r.names {
				_, known := Lookup(name)
				So(known, ShouldBeTrue)
			}
		}
	})
}
