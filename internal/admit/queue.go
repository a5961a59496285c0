package admit

import (
	"context"
	"slices"

	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

// ordinaryTurn is the weight of ordinary requests: while both classes wait, one
// grant in ordinaryTurn is ordinary. Aging instead of weights would turn the
// queue into arrival order as soon as waits pass the age limit, which is under
// overload, when priority matters most.
const ordinaryTurn = 5

// waiter is a request that waits for a permit.
type waiter struct {
	priority settings.Priority
	deadline vm.Instant
	result   chan grant // buffered; receives exactly one grant unless the waiter left
}

// grant is the end of a wait: a permit or the error that refuses it.
type grant struct {
	permit *Permit
	err    error
}

// queue orders waiters: urgent before ordinary but for one turn in
// ordinaryTurn, and by deadline within a class.
type queue struct {
	class [2][]*waiter // by settings.Priority; earliest deadline first
	turn  int          // urgent grants since the last ordinary one that had to wait for them
}

func (q *queue) len() int { return len(q.class[settings.Ordinary]) + len(q.class[settings.Urgent]) }

func (q *queue) push(w *waiter) {
	c := &q.class[w.priority]
	at := len(*c)
	for at > 0 && (*c)[at-1].deadline > w.deadline {
		at--
	}
	*c = slices.Insert(*c, at, w)
}

func (q *queue) remove(w *waiter) bool {
	c := &q.class[w.priority]
	at := slices.Index(*c, w)
	if at < 0 {
		return false
	}
	*c = slices.Delete(*c, at, at+1)
	return true
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

// sift visits the waiters in the order in which they would be granted, ahead
// being the number kept before it, and drops those that keep refuses.
func (q *queue) sift(keep func(w *waiter, ahead int) bool) {
	var kept [2][]*waiter
	turn, ahead := q.turn, 0
	iu, io := 0, 0
	urgent, ordinary := q.class[settings.Urgent], q.class[settings.Ordinary]
	kept[settings.Urgent], kept[settings.Ordinary] = urgent[:0], ordinary[:0]
	for iu < len(urgent) || io < len(ordinary) {
		before := turn
		pr := next(len(urgent)-iu, len(ordinary)-io, &turn)
		var w *waiter
		if pr == settings.Urgent {
			w = urgent[iu]
			iu++
		} else {
			w = ordinary[io]
			io++
		}
		if !keep(w, ahead) {
			turn = before
			continue
		}
		kept[pr] = append(kept[pr], w)
		ahead++
	}
	clear(urgent[len(kept[settings.Urgent]):])
	clear(ordinary[len(kept[settings.Ordinary]):])
	q.class = kept
}

// await blocks until w is granted or refused, or ctx ends.
func (g *gate) await(ctx context.Context, w *waiter) (*Permit, error) {
	select {
	case r := <-w.result:
		return r.permit, r.err
	case <-ctx.Done():
		return nil, g.leave(ctx, w)
	}
}
