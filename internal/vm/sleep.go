package vm

import (
	"context"
	"time"
)

// Sleep waits for d and returns true, or returns false if ctx is done first. If d is not
// positive, it does not wait and returns whether ctx is not yet done.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
