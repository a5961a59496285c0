package forward

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for rapid, so that test results are reproducible.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "3", "rapid.checks": "100", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
