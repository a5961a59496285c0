package peer

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// dialPause is how long an address that could not be dialed is left alone.
	dialPause = 250 * time.Millisecond
	// refusedPause is the same for one that refused: the VM is there, only its process
	// is not yet, and a dial that is refused holds nobody up. After a restart of
	// everything the daemons that are up first ask those that are not.
	refusedPause = 40 * time.Millisecond
	// slowDial is the time after which a dial that its caller gave up on counts
	// against the address, and not against the caller's short deadline.
	slowDial = 200 * time.Millisecond
)

// health keeps calls from waiting for an address that does not answer. When a VM
// is lost without a word, each call would else sit out its own dial, and callers
// with a second home to turn to would turn there too late. After a failed dial
// calls fail at once, except for one dial at a time that finds out whether the
// address is back.
type health struct {
	mu      sync.Mutex
	failure error // of the last dial; nil after a success
	pause   time.Time
	probing bool
}

// allow returns an error if the address is to be left alone now. Each allowed
// dial is reported to dialed.
func (h *health) allow(now time.Time) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failure == nil {
		return nil
	}
	if h.probing || now.Before(h.pause) {
		return errors.Wrap(h.failure, "left alone after a failed dial")
	}
	h.probing = true
	return nil
}

func (h *health) dialed(ctx context.Context, began time.Time, err error) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.probing = false
	switch {
	case err == nil:
		h.failure = nil
	case ctx.Err() != nil && now.Sub(began) < slowDial:
		// The caller gave up early; nothing is known of the address.
	case errors.Is(err, syscall.ECONNREFUSED):
		h.failure, h.pause = err, now.Add(refusedPause)
	default:
		h.failure, h.pause = err, now.Add(dialPause)
	}
}
