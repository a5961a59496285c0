package target

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
)

// markLeafEnded marks err, the failure of an exchange whose connection was lost, with
// ErrLeafEnded if the leaf's process has ended. A lost connection does not prove that: leaves
// also close idle connections and abort replies.
func (l *Link) markEnded(err error) error {
	if l.hasEnded(time.Now()) {
		return errors.Mark(err, contract.ErrLeafEnded)
	}
	return err
}

// dialWait bounds the wait for a dial of another call to finish and, at the connection limit,
// the wait for a free connection slot.
const placeWait = 5 * time.Millisecond

// leafEnded reports whether the leaf's process has ended: whether a dial, by this call or
// another, was refused after a connection was lost at lostAt. A connection that the dial opens
// is kept in the pool.
func (l *Link) hasEnded(lost time.Time) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	for began := time.Now(); ; {
		l.mu.Lock()
		switch {
		case l.over, l.refusedAt.After(lost):
			l.mu.Unlock()
			return true
		case l.closed, l.connectedAt.After(lost):
			l.mu.Unlock()
			return false
		}
		idle := l.dialing == 0
		probe := idle && l.open < l.limit
		if probe {
			l.open++
		}
		dialed := l.dialed
		l.mu.Unlock()
		switch {
		case probe:
			if c, err := l.dial(ctx); err == nil {
				l.keep(c)
			}
		case idle && time.Since(began) > placeWait:
			return false
		default:
			select {
			case <-dialed:
			case <-time.After(placeWait):
			}
		}
		if ctx.Err() != nil {
			return false // neither accepted nor refused: the leaf may still be running
		}
	}
}

// dialFinished records the result of a dial and wakes the calls that wait for it.
func (l *Link) connectEnded(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dialing--
	switch {
	case err == nil:
		l.connectedAt = time.Now()
	case errors.Is(err, syscall.ECONNREFUSED):
		l.refusedAt = time.Now()
	}
	close(l.dialed)
	l.dialed = make(chan struct{})
}
