package peer

import (
	"net/url"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Guards against names that are decoded from a certificate's URI differently than they
// were encoded, which would give one VM the identity of another.
func TestIdentityURIRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := Identity{
			Name:     rapid.String().Draw(t, "name"),
			Kind:     rapid.SampledFrom([]Kind{VM, Operator}).Draw(t, "kind"),
			Verified: true,
		}
		u, err := url.Parse(id.URI().String())
		if err != nil {
			return // Issue refuses such a URI
		}
		got, err := parseURI(u)
		if id.Name == "" || strings.Contains(id.Name, "/") {
			if err == nil {
				t.Fatalf("%q was parsed as %+v", id.Name, got)
			}
			return
		}
		if err != nil || got != id {
			t.Fatalf("%+v was parsed as %+v, %v", id, got, err)
		}
	})
}

// FuzzParseURI parses arbitrary certificate URIs. Each must be rejected or yield an
// identity whose own URI yields the same identity.
func FuzzParseURI(f *testing.F) {
	for _, seed := range []string{"pearmoor://vm/e1", "pearmoor://operator/asha", "pearmoor://vm/", "pearmoor://vm/a/b", "pearmoor:vm", "pearmoor://vm//x"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		u, err := url.Parse(text)
		if err != nil {
			return
		}
		id, err := parseURI(u)
		if err != nil {
			return
		}
		again, err := parseURI(id.URI())
		if err != nil || again != id {
			t.Fatalf("%q: %+v, then %+v, %v", text, id, again, err)
		}
	})
}
