package peer

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// dialBackoff is how long an address is not dialed again after a failed dial.
	dialBackoff = 250 * time.Millisecond
	// refusedBackoff is the same after a refused connect. The VM is up and only its
	// process is not, and a refused dial returns at once. When the whole tier restarts,
	// the first daemons to start call those that have not started yet.
	refusedBackoff = 40 * time.Millisecond
	// slowDialThreshold is the time after which a dial that was ended by its caller's
	// context counts as a failure of the address. Before that, the caller's deadline was
	// too short to tell.
	slowDialThreshold = 200 * time.Millisecond
)

// health makes calls fail fast while an address does not answer. Otherwise, when a VM
// fails silently, each call would wait for its own dial to time out, and callers with a
// second home would turn to it too late. After a failed dial all calls fail at once,
// except for one dial at a time that probes whether the address is back.
type health struct {
	mu      sync.Mutex
	lastErr error // of the last dial; nil after a success
	retryAt time.Time
	probing bool
}

// allow returns an error if the address must not be dialed now. The result of each allowed
// dial must be reported to recordDial.
func (h *health) allow(now time.Time) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lastErr == nil {
		return nil
	}
	if h.probing || now.Before(h.retryAt) {
		return errors.Wrap(h.lastErr, "left alone after a failed dial")
	}
	h.probing = true
	return nil
}

func (h *health) recordDial(ctx context.Context, start time.Time, err error) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.probing = false
	switch {
	case err == nil:
		h.lastErr = nil
	case ctx.Err() != nil && now.Sub(start) < slowDialThreshold:
		// The caller gave up early; the result says nothing about the address.
	case errors.Is(err, syscall.ECONNREFUSED):
		h.lastErr, h.retryAt = err, now.Add(refusedBackoff)
	default:
		h.lastErr, h.retryAt = err, now.Add(dialBackoff)
	}
}
