package settings

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that every run gives the same result.
// The flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == f.DefValue {
		if err := flag.Set("rapid.seed", "20250701"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
