package policy

import (
	"sync"
	"time"
)

// CallerTimeouts learns the timeout that the callers of a route state on their first
// attempt. All callers of a route state the same one; on a retry they state the time that is
// left, which differs each time. It is safe for concurrent use.
type CallerTimeouts struct {
	mu     sync.Mutex
	values [4]timeoutCount
}

type timeoutCount struct {
	timeout time.Duration
	count   int
}

const (
	// minCount is how often a timeout must have been stated to count as that of a first
	// attempt.
	minCount = 3
	// maxCount keeps the counts small enough that a new timeout can replace an old one.
	maxCount = 64
)

// Elapsed returns how much of the caller's time had passed before this request, as far as
// can be derived from the timeout that it states.
func (w *CallerTimeouts) Elapsed(timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	usual := w.record(timeout)
	if usual.count < minCount || timeout >= usual.timeout {
		return 0
	}
	return usual.timeout - timeout
}

// record counts a timeout and returns the one that is stated most often.
func (w *CallerTimeouts) record(timeout time.Duration) timeoutCount {
	least, most, found := 0, 0, false
	for i := range w.values {
		v := &w.values[i]
		if v.timeout == timeout {
			v.count = min(v.count+1, maxCount)
			found = true
		}
		if v.count < w.values[least].count {
			least = i
		}
		if v.count > w.values[most].count {
			most = i
		}
	}
	if found {
		return w.values[most]
	}
	if v := &w.values[least]; v.count <= 1 {
		*v = timeoutCount{timeout, 1}
	} else {
		v.count--
	}
	return w.values[most]
}
