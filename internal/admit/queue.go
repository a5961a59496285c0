package admit

import (
	"slices"

	"pearmoor/internal/settings"
)

// ordinaryInterval sets the weight of ordinary requests: while both classes wait,
// one of ordinaryInterval grants is ordinary. Aging would not do: once waits exceed
// the age limit, which happens under overload when priority matters most, the queue
// would be served in order of arrival.
const ordinaryInterval = 5

// queue orders waiters. Urgent requests go first, except for one of ordinaryInterval
// grants. Within a class hedges go first, then the earliest deadline.
type queue struct {
	byPriority   [2][]*waiter // indexed by settings.Priority
	urgentGrants int          // since the last ordinary grant, counted while ordinary requests wait
}

func (q *queue) len() int {
	return len(q.byPriority[settings.Ordinary]) + len(q.byPriority[settings.Urgent])
}

func (q *queue) push(w *waiter) {
	class := &q.byPriority[w.Priority]
	i := len(*class)
	for i > 0 && w.grantedBefore((*class)[i-1]) {
		i--
	}
	*class = slices.Insert(*class, i, w)
}

func (q *queue) remove(w *waiter) bool {
	class := &q.byPriority[w.Priority]
	i := slices.Index(*class, w)
	if i < 0 {
		return false
	}
	*class = slices.Delete(*class, i, i+1)
	return true
}

// prune removes the waiters that were claimed elsewhere.
func (q *queue) prune() {
	for i := range q.byPriority {
		q.byPriority[i] = slices.DeleteFunc(q.byPriority[i], func(w *waiter) bool { return w.claimed.Load() })
	}
}

// pop removes and returns the next waiter; the queue must not be empty.
func (q *queue) pop() *waiter {
	priority := nextPriority(len(q.byPriority[settings.Urgent]), len(q.byPriority[settings.Ordinary]), &q.urgentGrants)
	w := q.byPriority[priority][0]
	q.byPriority[priority] = slices.Delete(q.byPriority[priority], 0, 1)
	return w
}

// nextPriority returns the class of the next grant and updates urgentGrants.
func nextPriority(urgent, ordinary int, urgentGrants *int) settings.Priority {
	switch {
	case ordinary == 0:
		return settings.Urgent
	case urgent == 0:
		*urgentGrants = 0
		return settings.Ordinary
	case *urgentGrants >= ordinaryInterval-1:
		*urgentGrants = 0
		return settings.Ordinary
	default:
		*urgentGrants++
		return settings.Urgent
	}
}

// each calls visit for the waiters in grant order until visit returns false. ahead
// is the expected number of grants before the waiter.
func (q *queue) each(visit func(w *waiter, ahead float64) bool) {
	urgent, ordinary := q.byPriority[settings.Urgent], q.byPriority[settings.Ordinary]
	urgentGrants, ahead := q.urgentGrants, 0.0
	for len(urgent)+len(ordinary) > 0 {
		var w *waiter
		if nextPriority(len(urgent), len(ordinary), &urgentGrants) == settings.Urgent {
			w, urgent = urgent[0], urgent[1:]
		} else {
			w, ordinary = ordinary[0], ordinary[1:]
		}
		if !visit(w, ahead) {
			return
		}
		ahead += w.weight()
	}
}

// ahead returns the expected number of grants before a new last waiter.
func (q *queue) ahead() float64 {
	var n float64
	for _, c := range q.byPriority {
		for _, w := range c {
			n += w.weight()
		}
	}
	return n
}

// shedCandidate returns the waiter to shed first, or nil if the queue is empty.
func (q *queue) shedCandidate() *waiter {
	var candidate *waiter
	for _, c := range q.byPriority {
		for _, w := range c {
			if candidate == nil || !candidate.shedBefore(w) {
				candidate = w
			}
		}
	}
	return candidate
}
