package peer

import "time"

// minLinkRate is the minimum rate of a working link, in bytes per second: a seventh of the
// 14 Mbit/s of the smallest VMs, which callers' requests share. On a link that stays below
// it for seconds, a call may time out.
const minLinkRate = 250_000

// CallTimeout returns the timeout of a call that carries the given number of bytes in
// either direction: base plus the transfer time over a slow link. A fixed timeout would
// end every retry of a large call in the same way: with 1.2 s, a configuration of 0.8 MB
// was accepted but never acknowledged. A link that carries nothing at all is detected
// earlier, by the socket timeouts of the connection (peerTimeouts).
func CallTimeout(base time.Duration, bytes int) time.Duration {
	return base + time.Duration(bytes)*time.Second/minLinkRate
}
