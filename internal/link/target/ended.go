package target

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
)

// markEnded marks the failure of an exchange whose connection was lost, if the leaf itself
// has ended. A lost connection alone does not tell: leaves drop idle ones, and break off
// answers.
func (l *Link) markEnded(err error) error {
	if l.hasEnded(time.Now()) {
		return errors.Mark(err, contract.ErrLeafEnded)
	}
	return err
}

// placeWait is how long a place to connect from is waited for: others that wait for one
// connect as well.
const placeWait = 5 * time.Millisecond

// hasEnded reports whether the leaf has ended, by a connect that is refused after a
// connection was lost at that time. One that succeeds takes the place of the lost one.
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
			return false // a leaf that neither takes nor refuses a connect may be there
		}
	}
}

// connectEnded notes how a connect ended.
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
