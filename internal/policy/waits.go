package policy

import (
	"sync"
	"time"
)

// Waits learns how long a route's callers wait when they first ask. Callers of a
// route all state the same for that; what they state when they ask again is less
// by the time that has passed, and is different each time. It is safe for concurrent use.
type Waits struct {
	mu     sync.Mutex
	values [4]waitCount
}

type waitCount struct {
	wait  time.Duration
	count int
}

const (
	// usualCount is how often a wait must have been stated to count as a first one.
	usualCount = 3
	// mostCount keeps the counts small enough for a new value to take over.
	mostCount = 64
)

// Passed returns how much of a caller's time was gone before the request, as far
// as can be told from the wait that it states.
func (w *Waits) Passed(wait time.Duration) time.Duration {
	if wait <= 0 {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	usual := w.note(wait)
	if usual.count < usualCount || wait >= usual.wait {
		return 0
	}
	return usual.wait - wait
}

// note counts a wait and returns the one stated most often.
func (w *Waits) note(wait time.Duration) waitCount {
	least, most, found := 0, 0, false
	for i := range w.values {
		v := &w.values[i]
		if v.wait == wait {
			v.count = min(v.count+1, mostCount)
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
		*v = waitCount{wait, 1}
	} else {
		v.count--
	}
	return w.values[most]
}
