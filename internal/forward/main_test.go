package forward

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives rapid a fixed seed, so that every run has the same verdict.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "3", "rapid.checks": "100", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
