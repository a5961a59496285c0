package forward

import (
	"context"
	"io"
	"sync"
	"time"

	"pearmoor/internal/vm"
)

// idleConns closes callers' connections that have been idle for longer than the
// configuration allows. A server's own limit is fixed when it starts, before the
// configuration is known.
type idleConns struct {
	mu    sync.Mutex
	since map[io.Closer]time.Time
}

func (c *idleConns) note(conn io.Closer, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if idle {
		c.since[conn] = time.Now()
	} else {
		delete(c.since, conn)
	}
}

func (c *idleConns) closeOld(limit time.Duration) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.since {
		if now.Sub(since) > limit {
			_ = conn.Close()
			delete(c.since, conn)
		}
	}
}

// run closes idle connections until ctx ends.
func (c *idleConns) run(ctx context.Context, limit func() time.Duration) {
	for vm.Sleep(ctx, idleLookEvery) {
		c.closeOld(limit())
	}
}

const idleLookEvery = time.Second
