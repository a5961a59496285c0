package standin

import "sync"

// DefaultRunMemory is the number of request and shard pairs that a leaf's Runs remembers.
const DefaultRunMemory = 1 << 18

// RunKey identifies a request at one shard.
type RunKey struct {
	Request string // run_key of the body, or the request's id if there is none
	Service string
	Shard   uint32
}

// Runs counts how often each request was run at each shard, over all leaves that share it.
// It remembers only the newest pairs, so that its memory is bounded.
type Runs struct {
	mu            sync.Mutex
	counts        map[RunKey]int
	remembered    []RunKey
	nextSlot      int
	total         uint64
	extra         uint64 // runs of repeatable requests beyond the first
	nonRepeatable uint64 // runs of non-repeatable requests
	doubled       uint64 // runs of non-repeatable requests beyond the first
}

// NewRuns returns a Runs that remembers size pairs.
func NewRuns(size int) *Runs {
	return &Runs{counts: make(map[RunKey]int), remembered: make([]RunKey, size)}
}

func (r *Runs) add(k RunKey, repeatable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total++
	if r.counts[k] == 0 {
		delete(r.counts, r.remembered[r.nextSlot])
		r.remembered[r.nextSlot] = k
		r.nextSlot = (r.nextSlot + 1) % len(r.remembered)
	}
	r.counts[k]++
	repeated := r.counts[k] > 1
	switch {
	case !repeatable && repeated:
		r.nonRepeatable++
		r.doubled++
	case !repeatable:
		r.nonRepeatable++
	case repeated:
		r.extra++
	}
}

// Count returns how often k was run, or 0 if k is no longer remembered.
func (r *Runs) Count(k RunKey) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[k]
}

// RunStats are totals over all runs.
type RunStats struct {
	Total         uint64 `json:"total"`
	Extra         uint64 `json:"extra"` // runs of a repeatable request beyond its first at a shard
	NonRepeatable uint64 `json:"not_repeatable"`
	Doubled       uint64 `json:"doubled"` // runs of a non-repeatable request beyond its first at a shard
}

// Stats returns the totals.
func (r *Runs) Stats() RunStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return RunStats{Total: r.total, Extra: r.extra, NonRepeatable: r.nonRepeatable, Doubled: r.doubled}
}
