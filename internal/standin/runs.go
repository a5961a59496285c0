package standin

import "sync"

// DefaultRunMemory is how many request and shard pairs are remembered.
const DefaultRunMemory = 1 << 18

// RunKey names one piece of work: a request at one shard.
type RunKey struct {
	Request string // run_key of the body where there is one, else the request's id
	Service string
	Shard   uint32
}

// Runs counts how often each piece of work was run, over all leaves that share
// it. It remembers the newest pairs only, so its memory is bounded.
type Runs struct {
	mu      sync.Mutex
	counts  map[RunKey]int
	order   []RunKey
	next    int
	total   uint64
	extra   uint64 // runs of repeatable requests beyond the first
	once    uint64 // runs of not-repeatable requests
	doubled uint64 // runs of not-repeatable requests beyond the first
}

// NewRuns returns a counter that remembers size pairs.
func NewRuns(size int) *Runs {
	return &Runs{counts: make(map[RunKey]int), order: make([]RunKey, size)}
}

func (r *Runs) add(k RunKey, repeatable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total++
	if r.counts[k] == 0 {
		delete(r.counts, r.order[r.next])
		r.order[r.next] = k
		r.next = (r.next + 1) % len(r.order)
	}
	r.counts[k]++
	again := r.counts[k] > 1
	switch {
	case !repeatable && again:
		r.once++
		r.doubled++
	case !repeatable:
		r.once++
	case again:
		r.extra++
	}
}

// Count returns how often k was run, as far as it is remembered.
func (r *Runs) Count(k RunKey) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[k]
}

// RunStats sums up all runs.
type RunStats struct {
	Total         uint64 `json:"total"`
	Extra         uint64 `json:"extra"` // runs of a repeatable request beyond its first at a shard
	NotRepeatable uint64 `json:"not_repeatable"`
	Doubled       uint64 `json:"doubled"` // runs of a not-repeatable request beyond its first at a shard
}

// Stats returns the sums.
func (r *Runs) Stats() RunStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return RunStats{Total: r.total, Extra: r.extra, NotRepeatable: r.once, Doubled: r.doubled}
}
