package policy

import (
	"testing"

	"pgregory.net/rapid"
)

// A leaf resets connections beyond its limit together with the requests on them, so the
// shares of all daemons must stay within it, except where the minimum for each daemon is
// larger.
func TestConnectionsStayWithinLeafLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(1, 2000).Draw(t, "most")
		daemons := rapid.IntRange(1, 300).Draw(t, "daemons")
		each := Connections(most, daemons)
		if each < minConnections {
			t.Fatalf("%d each", each)
		}
		if sum := each * daemons; sum > max(most, minConnections*daemons) {
			t.Fatalf("%d each of %d daemons: %d of %d", each, daemons, sum, most)
		}
	})
	if got := Connections(0, 11); got != defaultConnections {
		t.Errorf("%d to a leaf that states no limit", got)
	}
}
