package leaf

const (
	ignoresCancelAfter = 3  // cancellations in a row without effect, after which a leaf counts as ignoring them
	cancelRetry        = 32 // one cancellation in so many is still sent to such a leaf
)

// cancelSupport learns whether a leaf honours cancellation. Cancelling at one that does not
// frees nothing and costs the connection.
type cancelSupport struct {
	ignored int // cancellations in a row that the leaf answered in full
	skipped int
}

// worthTrying reports whether the next cancellation is to be sent.
func (c *cancelSupport) worthTrying() bool {
	if c.ignored < ignoresCancelAfter {
		return true
	}
	c.skipped++
	return c.skipped%cancelRetry == 0
}

func (c *cancelSupport) learn(honoured bool) {
	if honoured {
		*c = cancelSupport{}
		return
	}
	c.ignored++
}

func (p *pool) worthCancelling() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cancelSupport.worthTrying()
}

func (p *pool) cancelled(honoured bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancelSupport.learn(honoured)
}
