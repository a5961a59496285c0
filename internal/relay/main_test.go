package relay

import (
	"flag"
	"os"
	"testing"

	"go.uber.org/goleak"
)

// TestMain gives rapid a fixed seed, so that every run has the same result, and a
// number of checks that keeps the package's tests short. Flags override both.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20", "rapid.checks": "60", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	code := m.Run()
	if err := goleak.Find(); err != nil && code == 0 {
		println(err.Error())
		code = 1
	}
	os.Exit(code)
}
