package admit

import (
	"slices"

	"pearmoor/internal/settings"
)

// ordinaryTurn is the weight of ordinary requests: while both classes wait, one
// grant in ordinaryTurn is ordinary. Aging instead of weights would turn the
// queue into arrival order as soon as waits pass the age limit, which is under
// overload, when priority matters most.
const ordinaryTurn = 5

// queue orders waiters: urgent before ordinary but for one turn in
// ordinaryTurn; within a class hedges first, then by deadline.
type queue struct {
	class [2][]*waiter // by settings.Priority
	turn  int          // urgent grants since the last ordinary one that had to wait for them
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

// prune drops the waiters that another gate has claimed.
func (q *queue) prune() {
	for i := range q.class {
		q.class[i] = slices.DeleteFunc(q.class[i], func(w *waiter) bool { return w.claimed.Load() })
	}
}

// pop takes the waiter whose turn it is; the queue must not be empty.
func (q *queue) pop() *waiter {
	pr := next(len(q.class[settings.Urgent]), len(q.class[settings.Ordinary]), &q.turn)
	w := q.class[pr][0]
	q.class[pr] = slices.Delete(q.class[pr], 0, 1)
	return w
}

// next chooses the class of the next grant and advances turn.
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

// each visits the waiters in the order in which they would be granted, until
// visit returns false. ahead is the number expected to be granted before.
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

// ahead is the number expected to be granted before one at the end.
func (q *queue) ahead() float64 {
	var n float64
	for _, c := range q.class {
		for _, w := range c {
			n += w.weight()
		}
	}
	return n
}

// weakest returns the waiter to shed first, the later in its class of equals.
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
