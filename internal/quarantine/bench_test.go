package quarantine

import (
	"testing"

	"pearmoor/internal/vm"
)

// BenchmarkLookUp measures the cost that a quarantined request adds to every other request.
func BenchmarkLookUp(b *testing.B) {
	g := NewRegistry(vm.Monotonic, nil)
	g.SetCases(Cases{fingerprintsOf(1)[Exact]: {Blocked: true}})
	r := &Request{Method: "GET", Host: "shop.example", URI: "/search/2f41?page=3", Caller: "100.64.0.17"}
	b.ReportAllocs()
	for b.Loop() {
		if g.Check(r.Fingerprints()) != Unrestricted {
			b.Fatal("refused")
		}
	}
}
