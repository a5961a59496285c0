package settings

import (
	"bytes"
	"testing"
)

// FuzzDecode decodes arbitrary bytes, as a damaged disk or a faulty peer may supply them.
// Decode must accept only bytes that Encode writes.
func FuzzDecode(f *testing.F) {
	f.Add(New().Encode())
	f.Add(shop(f).Encode())
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, text []byte) {
		tree, err := Decode(text)
		if err != nil {
			return
		}
		if !bytes.Equal(tree.Encode(), text) {
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
	f.Add(shop(f).ExportFileAt(3))
	f.Add([]byte("settings: {homes: 1, ramp: 20s}\nnodes: {a: {settings: {leaves: [x=10.0.0.1:1@h]}}}"))
	f.Add([]byte("a: &a [*a]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		tree, err := ParseFile(text)
		if _, _, baseErr := FileBase(text); err == nil && baseErr != nil {
			t.Fatalf("the base version is rejected: %v", baseErr)
		}
		if err != nil {
			return
		}
		again, err := ParseFile(tree.ExportFile())
		if err != nil {
			t.Fatalf("the export is rejected: %v", err)
		}
		if again.Digest() != tree.Digest() {
			t.Fatalf("the export differs: %v", Diff(tree, again))
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
		again, err := ParseLeaves(canonical)
		if err != nil || FormatLeaves(again) != canonical {
			t.Fatalf("%q: %v", canonical, err)
		}
	})
}

// FuzzSettingParse parses a value for each setting and checks that a value that parses
// has a stable canonical form.
func FuzzSetting(f *testing.F) {
	for _, text := range []string{"20ms", "1h0m0s", "0.5", "1e-3", "64KiB", "1KiB512B", "true", "tail", "-0"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		for i := range current.settings {
			s := &current.settings[i]
			v, err := s.parse(text)
			if err != nil {
				continue
			}
			again, err := s.parse(v.text)
			if err != nil || again.text != v.text || again.num != v.num || again.ratio != v.ratio {
				t.Fatalf("%s: %q became %q: %v", s.Name, text, v.text, err)
			}
		}
	})
}
