package settings

import (
	"bytes"
	"testing"
)

// FuzzDecode decodes arbitrary bytes, as a damaged disk or a faulty peer may supply them.
// Decode must accept only bytes that Encode writes.
func FuzzDecode(f *testing.F) {
	f.Add(New().Encode())
	f.Add(exampleTree(f).Encode())
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, encoded []byte) {
		tree, err := Decode(encoded)
		if err != nil {
			return
		}
		if !bytes.Equal(tree.Encode(), encoded) {
			t.Fatal("Decode accepted a non-canonical encoding")
		}
		if _, err := tree.Explain(Root); err != nil {
			t.Fatal(err)
		}
	})
}

// FuzzParseFile parses arbitrary files. A file that parses must yield a tree that can be
// exported and parsed again.
func FuzzParseFile(f *testing.F) {
	f.Add(exampleTree(f).ExportFileWithBase(3))
	f.Add([]byte("settings: {homes: 1, ramp: 20s}\nnodes: {a: {settings: {leaves: [x=10.0.0.1:1@h]}}}"))
	f.Add([]byte("a: &a [*a]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		tree, err := ParseFile(text)
		if _, _, baseErr := FileBaseVersion(text); err == nil && baseErr != nil {
			t.Fatalf("the base version is rejected: %v", baseErr)
		}
		if err != nil {
			return
		}
		reparsed, err := ParseFile(tree.ExportFile())
		if err != nil {
			t.Fatalf("the export is rejected: %v", err)
		}
		if reparsed.Digest() != tree.Digest() {
			t.Fatalf("the export differs: %v", Diff(tree, reparsed))
		}
	})
}

// FuzzParseLeaves checks that a leaf list that parses has a stable canonical form.
func FuzzParseLeaves(f *testing.F) {
	f.Add("b=10.0.0.2:80@hall, a=[::1]:1@rack")
	f.Add("a=10.0.0.1:80@hall,a=10.0.0.1:80@hall")
	f.Fuzz(func(t *testing.T, text string) {
		leaves, err := ParseLeaves(text)
		if err != nil {
			return
		}
		canonical := FormatLeaves(leaves)
		reparsed, err := ParseLeaves(canonical)
		if err != nil || FormatLeaves(reparsed) != canonical {
			t.Fatalf("%q: %v", canonical, err)
		}
	})
}

// FuzzSettingParse parses a value for each setting and checks that a value that parses
// has a stable canonical form.
func FuzzSettingParse(f *testing.F) {
	for _, text := range []string{"20ms", "1h0m0s", "0.5", "1e-3", "64KiB", "1KiB512B", "true", "tail", "-0"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		for i := range currentSchema.settings {
			s := &currentSchema.settings[i]
			v, err := s.parse(text)
			if err != nil {
				continue
			}
			reparsed, err := s.parse(v.text)
			if err != nil || reparsed.text != v.text || reparsed.integer != v.integer || reparsed.ratio != v.ratio {
				t.Fatalf("%s: %q became %q: %v", s.Name, text, v.text, err)
			}
		}
	})
}
