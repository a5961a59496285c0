package leaf

const (
	deafAfter = 3  // cancellations in a row without effect, after which a leaf counts as deaf
	deafRetry = 32 // one cancellation in so many is still tried at a deaf leaf
)

// hearing learns whether a leaf honours cancellation. Telling one that does not
// frees nothing and costs the connection.
type hearing struct {
	ignored int // cancellations in a row that the leaf answered in full
	skipped int
}

// worth reports whether the next cancellation is to be told.
func (h *hearing) worth() bool {
	if h.ignored < deafAfter {
		return true
	}
	h.skipped++
	return h.skipped%deafRetry == 0
}

func (h *hearing) learn(heard bool) {
	if heard {
		*h = hearing{}
		return
	}
	h.ignored++
}

func (p *pool) worthTelling() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hearing.worth()
}

func (p *pool) told(heard bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hearing.learn(heard)
}
