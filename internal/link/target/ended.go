package target

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
)

// markLeafEnded marks err, the failure of an exchange whose connection was lost, with
// ErrLeafExited if the leaf's process has ended. A lost connection does not prove that: leaves
// also close idle connections and abort replies. After an abandoned exchange it does not check,
// which would open a connection, since nobody waits for the result.
func (l *Link) markLeafEnded(cause closeCause, err error) error {
	if cause == closedAfterAbandon {
		return err
	}
	if l.leafEnded(time.Now()) {
		return errors.Mark(err, contract.ErrLeafExited)
	}
	return err
}

// dialWait bounds the wait for a dial of another call to finish and, at the connection limit,
// the wait for a free connection slot.
const dialWait = 5 * time.Millisecond

// leafEnded reports whether the leaf's process has ended: whether a dial, by this call or
// another, was refused after a connection was lost at lostAt. A connection that the dial opens
// is kept in the pool.
func (l *Link) leafEnded(lostAt time.Time) bool {
	ctx, cancel := context.WithTimeout(context.Background(), refusalCheckTimeout)
	defer cancel()
	for start := time.Now(); ; {
		l.mu.Lock()
		switch {
		case l.replaced, l.lastRefused.After(lostAt):
			l.mu.Unlock()
			return true
		case l.closed, l.lastConnected.After(lostAt):
			l.mu.Unlock()
			return false
		}
		noneDialing := l.dialing == 0
		reserved := noneDialing && l.openConns < l.maxConns
		if reserved {
			l.openConns++
		}
		dialDone := l.dialDone
		l.mu.Unlock()
		switch {
		case reserved:
			if c, err := l.dial(ctx); err == nil {
				l.putIdle(c)
			}
		case noneDialing && time.Since(start) > dialWait:
			return false
		default:
			select {
			case <-dialDone:
			case <-time.After(dialWait):
			}
		}
		if ctx.Err() != nil {
			return false // neither accepted nor refused: the leaf may still be running
		}
	}
}

// dialFinished records the result of a dial and wakes the calls that wait for it.
func (l *Link) dialFinished(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dialing--
	switch {
	case err == nil:
		l.countOpened()
		l.lastConnected = time.Now()
	case errors.Is(err, syscall.ECONNREFUSED):
		l.lastRefused = time.Now()
	}
	close(l.dialDone)
	l.dialDone = make(chan struct{})
}
