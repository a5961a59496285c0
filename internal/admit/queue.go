package admit

import (
	"slices"

	"pearmoor/internal/settings"
)

// ordinaryInterval sets the weight of ordinary requests: while both classes wait,
// one of ordinaryInterval grants is ordinary. Aging would not do: once waits exceed
// the age limit, which happens under overload when priority matters most, the queue
// would be served in order of arrival.
const ordinaryTurn = 5

// queue orders waiters. Urgent requests go first, except for one of ordinaryInterval
// grants. Within a class hedges go first, then the earliest deadline.
type queue struct {
	class [2][]*waiter // indexed by settings.Priority
	turn  int          // since the last ordinary grant, counted while ordinary requests wait
}

func (q *queue) len() int { return len(q.class[settings.Ordinary]) + len(q.class[settings.Urgent]) }

func (q *queue) push(w *waiter) {
	c := &q.class[w.Priority]
	at := len(*c)
	for at > 0 && w.before((*c)[at-1]) {
		at--
	}
	*c = slices.Insert(*c, at, w)
}

func (q *queue) remove(w *waiter) bool {
	c := &q.class[w.Priority]
	at := slices.Index(*c, w)
	if at < 0 {
		return false
	}
	*c = slices.Delete(*c, at, at+1)
	return true
}

// prune removes the waiters that were claimed elsewhere.
func (q *queue) prune() {
	for i := range q.class {
		q.class[i] = slices.DeleteFunc(q.class[i], func(w *waiter) bool { return w.claimed.Load() })
	}
}

// pop removes and returns the next waiter; the queue must not be empty.
func (q *queue) pop() *waiter {
	pr := next(len(q.class[settings.Urgent]), len(q.class[settings.Ordinary]), &q.turn)
	w := q.class[pr][0]
	q.class[pr] = slices.Delete(q.class[pr], 0, 1)
	return w
}

// nextPriority returns the class of the next grant and updates urgentGrants.
func next(urgent, ordinary int, turn *int) settings.Priority {
	switch {
	case ordinary == 0:
		return settings.Urgent
	case urgent == 0:
		*turn = 0
		return settings.Ordinary
	case *turn >= ordinaryTurn-1:
		*turn = 0
		return settings.Ordinary
	default:
		*turn++
		return settings.Urgent
	}
}

// each calls visit for the waiters in grant order until visit returns false. ahead
// is the expected number of grants before the waiter.
func (q *queue) each(visit func(w *waiter, ahead float64) bool) {
	urgent, ordinary := q.class[settings.Urgent], q.class[settings.Ordinary]
	turn, ahead := q.turn, 0.0
	for len(urgent)+len(ordinary) > 0 {
		var w *waiter
		if next(len(urgent), len(ordinary), &turn) == settings.Urgent {
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
	for _, c := range q.class {
		for _, w := range c {
			n += w.weight()
		}
	}
	return n
}

// shedCandidate returns the waiter to shed first, or nil if the queue is empty.
func (q *queue) weakest() *waiter {
	var low *waiter
	for _, c := range q.class {
		for _, w := range c {
			if low == nil || !low.weaker(w) {
				low = w
			}
		}
	}
	return low
}
