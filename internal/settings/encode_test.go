package settings

import (
	"bytes"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestDigestCoversPathNameValueAndVersion(t *testing.T) {
	Convey("The digest covers the path, the name, the value and the version of each assignment", t, func() {
		base := Edit{Path: "a/b", Name: "homes", Value: "1"}
		seen := map[uint64]string{}
		for description, tree := range map[string]*Tree{
			"nothing":        New(),
			"the base":       mustApply(t, New(), 1, base),
			"a path":         mustApply(t, New(), 1, Edit{Path: "a/c", Name: "homes", Value: "1"}),
			"a path above":   mustApply(t, New(), 1, Edit{Path: "a", Name: "homes", Value: "1"}),
			"a name":         mustApply(t, New(), 1, Edit{Path: "a/b", Name: "hit-limit", Value: "1"}),
			"a value":        mustApply(t, New(), 1, Edit{Path: "a/b", Name: "homes", Value: "2"}),
			"a version":      mustApply(t, New(), 2, base),
			"a second value": mustApply(t, New(), 1, base, Edit{Path: "a/b", Name: "ramp", Value: "1s"}),
		} {
			So(seen[tree.Digest()], ShouldBeEmpty)
			seen[tree.Digest()] = description
		}
	})
	Convey("Setting an unchanged value keeps the version that set it", t, func() {
		tree := exampleTree(t)
		next := mustApply(t, tree, 9, Edit{Path: "/", Name: "deadline-default", Value: "0.22s"})
		So(next.Digest(), ShouldEqual, tree.Digest())
	})
}

// A snapshot is corrupted on disk or in transit. A daemon that accepted it would use
// settings that no operator set.
func TestDecodeRejectsCorruptedBytes(t *testing.T) {
	Convey("Given an encoded tree", t, func() {
		encoded := exampleTree(t).Encode()
		Convey("it is rejected with any byte changed or truncated at any length", func() {
			for i := range encoded {
				corrupted := bytes.Clone(encoded)
				corrupted[i] ^= 0x01
				_, err := Decode(corrupted)
				So(err, ShouldNotBeNil)
				_, err = Decode(encoded[:i])
				So(err, ShouldNotBeNil)
			}
		})
		Convey("a changed value is reported as damage", func() {
			_, err := Decode(bytes.Replace(encoded, []byte("220ms"), []byte("221ms"), 1))
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, "damaged")
		})
		Convey("a non-canonical encoding of the same tree and trailing bytes are rejected", func() {
			So(encoded[:2], ShouldResemble, []byte{0x83, formatVersion})
			_, err := Decode(append([]byte{0x83, 0x18, formatVersion}, encoded[2:]...))
			So(err, ShouldNotBeNil)
			_, err = Decode(append(bytes.Clone(encoded), 0))
			So(err, ShouldNotBeNil)
		})
		Convey("an unsupported format is reported with its number", func() {
			_, err := Decode(append([]byte{0x83, formatVersion + 1}, encoded[2:]...))
			So(err.Error(), ShouldContainSubstring, "format 2")
		})
	})
}
