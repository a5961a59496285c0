package forward

import (
	"context"
	"net"
	"sync"
	"time"

	"pearmoor/internal/vm"
)

// idleConns ends callers' connections that have been idle for longer than the
// configuration allows. A server's own limit is fixed when it starts, before the
// configuration is known.
type idleConns struct {
	mu    sync.Mutex
	conns map[*callerConn]struct{}
}

// note keeps the idle connections.
func (c *idleConns) note(conn net.Conn, idle bool) {
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

func (c *idleConns) closeOld(limit time.Duration) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.conns {
		conn.expire(now, limit)
	}
}

// run closes idle connections until ctx ends.
func (c *idleConns) run(ctx context.Context, limit func() time.Duration) {
	for vm.Sleep(ctx, idleLookEvery) {
		c.closeOld(limit())
	}
}

const idleLookEvery = time.Second
