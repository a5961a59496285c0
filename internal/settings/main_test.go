package settings

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the properties, so that each run has one verdict;
// -rapid.seed gives another.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == f.DefValue {
		if err := flag.Set("rapid.seed", "20250701"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
