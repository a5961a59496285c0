package peer

import (
	"net/url"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// A name that reads differently after the certificate's encoding would give one
// VM another's identity.
func TestIdentityURI(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := Identity{
			Name:     rapid.String().Draw(t, "name"),
			Kind:     rapid.SampledFrom([]Kind{VM, Operator}).Draw(t, "kind"),
			Verified: true,
		}
		u, err := url.Parse(id.URI().String())
		if err != nil {
			return // the authority refuses to encode it
		}
		got, err := parseURI(u)
		if id.Name == "" || strings.Contains(id.Name, "/") {
			if err == nil {
				t.Fatalf("%q was read as %+v", id.Name, got)
			}
			return
		}
		if err != nil || got != id {
			t.Fatalf("%+v was read as %+v, %v", id, got, err)
		}
	})
}

// FuzzParseURI feeds any URI of a certificate: whatever it is, it names nobody or
// exactly one holder whose own URI names the same.
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
