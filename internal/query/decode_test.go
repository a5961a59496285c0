package query

import (
	"testing"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
	"pearmoor/internal/query/session"
)

// FuzzDecodeRequest decodes arbitrary bytes. The result must be a request, or faults whose
// first one has a reason and a fix, and never a panic.
func FuzzDecodeRequest(f *testing.F) {
	for _, s := range []string{`{"path":"a","body":1}`, `{"path":1}`, `{"limt":3}`, `{`, `{} {}`, ``, `{"min_coverage":1e999}`, `[]`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := DecodeRequest(b, 1<<12)
		var faults contract.Faults
		if err == nil {
			_, _ = session.Parse(r.Session)
			return
		}
		if !errors.As(err, &faults) || len(faults) == 0 || faults[0].Fix == "" || faults[0].Why == "" {
			t.Fatalf("body %q: %v", b, err)
		}
	})
}
