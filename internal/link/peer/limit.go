package peer

import "time"

// leastRate is what a link carries at least, in bytes a second, while it is under way at
// all: a seventh of the 14 Mbit/s of the smallest VMs, of which callers' requests take
// what they need. Less than that for seconds is a link in trouble, and a call on it may end.
const leastRate = 250_000

// TimeFor returns the limit of a call that carries so many bytes either way: base, and
// the time that a slow link takes for them. A limit of its own size ends a call that is
// under way for what it carries, and the next one for the same, for ever: with 1.2 s, an
// order of 0.8 MB was accepted and never acknowledged. A link that carries nothing at all
// is found before, by the time-out of the connection (betweenProcesses).
func TimeFor(base time.Duration, bytes int) time.Duration {
	return base + time.Duration(bytes)*time.Second/leastRate
}
