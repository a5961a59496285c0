package forward

import (
	"context"
	"net"
	"sync"
	"time"

	"pearmoor/internal/vm"
)

// idleConns closes caller connections that exceed the configured idle timeout.
// http.Server.IdleTimeout cannot be used, since it is fixed when the server starts, before the
// configuration is known.
type idleConns struct {
	mu    sync.Mutex
	conns map[*callerConn]struct{}
}

// update adds conn to the idle connections or removes it.
func (c *idleConns) update(conn net.Conn, idle bool) {
	cc, ok := conn.(*callerConn)
	if !ok {
		return
	}
	cc.setIdle(idle)
	c.mu.Lock()
	defer c.mu.Unlock()
	if idle {
		c.conns[cc] = struct{}{}
	} else {
		delete(c.conns, cc)
	}
}

// expireIdle expires the connections that have been idle for longer than limit.
func (c *idleConns) expireIdle(limit time.Duration) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.conns {
		conn.expire(now, limit)
	}
}

// run periodically closes connections that have been idle for longer than limit until ctx is
// cancelled.
func (c *idleConns) run(ctx context.Context, limit func() time.Duration) {
	for vm.Sleep(ctx, idleCheckInterval) {
		c.expireIdle(limit())
	}
}

const idleCheckInterval = time.Second
