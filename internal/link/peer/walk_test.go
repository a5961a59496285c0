package peer

import (
	"context"
	"slices"
	"testing"
)

// Guards against endless redirects. Two daemons redirect to each other; each must be asked
// once, and the remaining daemons must still be asked.
func TestTryEachEndsOnRedirectLoop(t *testing.T) {
	var asked []string
	redirects := map[string]string{"a": "b", "b": "a", "c": "d"}
	answered := TryEach(context.Background(), []string{"a", "c"}, func(addr string) (string, bool) {
		asked = append(asked, addr)
		return redirects[addr], addr == "d"
	})
	if !answered || !slices.Equal(asked, []string{"a", "b", "c", "d"}) {
		t.Errorf("asked %v, got answered=%v", asked, answered)
	}
}
