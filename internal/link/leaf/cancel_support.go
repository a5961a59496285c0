package leaf

const (
	// After this many consecutive cancellations without effect a leaf is treated as
	// ignoring cancellation.
	cancelIgnoredThreshold = 3
	// One in this many cancellations is still sent to a leaf that ignores them, to detect
	// a change.
	cancelRetryInterval = 32
)

// cancelSupport tracks whether a leaf honours cancellation. Cancelling a request on a leaf
// that does not honour it frees no slot and costs the connection.
type cancelSupport struct {
	ignored int // consecutive cancellations after which the leaf still sent a complete reply
	skipped int // calls of shouldSend since the leaf is treated as ignoring cancellation
}

// shouldSend reports whether the next cancellation should be sent to the leaf.
func (c *cancelSupport) shouldSend() bool {
	if c.ignored < cancelIgnoredThreshold {
		return true
	}
	c.skipped++
	return c.skipped%cancelRetryInterval == 0
}

// record updates the state with the effect of a cancellation that was sent.
func (c *cancelSupport) record(honoured bool) {
	if honoured {
		*c = cancelSupport{}
		return
	}
	c.ignored++
}

func (p *pool) shouldCancel() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cancelSupport.shouldSend()
}

func (p *pool) recordCancel(honoured bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancelSupport.record(honoured)
}
