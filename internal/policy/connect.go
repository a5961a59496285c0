package policy

import "time"

const (
	// connectTimeoutShare is the part of the target latency for which a send may go unwritten
	// before another leaf is tried. Half of what UnsentTimeout allows leaves time for that leaf.
	connectTimeoutShare = 0.1
	minConnectTimeout   = 20 * time.Millisecond
	maxConnectTimeout   = 100 * time.Millisecond
)

// ConnectTimeout returns how long a send may wait for its connection before the request goes to
// another leaf. targetLatency is that of the route, 0 if it has none.
//
// It answers requests that may run once while leaves have lost power: such a leaf answers no
// connect, and a request that can't be hedged would wait for the dial to time out. Nothing has been
// written by then, so the second leaf is the only one that can run it.
func ConnectTimeout(targetLatency time.Duration) time.Duration {
	if targetLatency <= 0 {
		return maxConnectTimeout
	}
	return min(max(time.Duration(connectTimeoutShare*float64(targetLatency)), minConnectTimeout), maxConnectTimeout)
}
