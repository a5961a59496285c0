package vm

import (
	"context"
	"time"
)

// Sleep waits for d and reports true, or false when ctx ends first. A d that is
// not positive doesn't wait.
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
