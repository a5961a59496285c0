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
		limit := rapid.IntRange(1, 2000).Draw(t, "most")
		daemons := rapid.IntRange(1, 300).Draw(t, "daemons")
		perDaemon := ConnectionsPerDaemon(limit, daemons)
		if perDaemon < minConnections {
			t.Fatalf("%d connections per daemon", perDaemon)
		}
		if sum := perDaemon * daemons; sum > max(limit, minConnections*daemons) {
			t.Fatalf("%d connections for each of %d daemons: %d in all, limit %d", perDaemon, daemons, sum, limit)
		}
	})
	if got := ConnectionsPerDaemon(0, 11); got != defaultConnections {
		t.Errorf("%d connections to a leaf that states no limit", got)
	}
}
