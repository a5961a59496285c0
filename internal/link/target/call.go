package target

import (
	"context"
	"slices"
	"sync"
	"time"

	"pearmoor/internal/policy"
)

// Call is the handle by which an exchange can be abandoned while it runs.
type Call struct {
	mu        sync.Mutex
	link      *Link
	conn      *conn
	req       *Request
	startedAt time.Time // when the call was attached to its connection
	written   bool      // the whole request has been written
	attached  bool      // has been bound to a connection, even if that was released since
	abandoned bool
	cancel    context.CancelFunc
}

// Abandon ends the exchange at once because its caller has left or the process shuts down. The
// connection is closed, so that the leaf drops the request: otherwise a slow leaf, or one that
// was paused, would first process requests whose callers have left.
func (c *Call) Abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandoned = true
	switch {
	case c.conn != nil:
		c.link.mu.Lock()
		c.conn.end(time.Now())
		c.link.mu.Unlock()
	case c.cancel != nil:
		c.cancel() // nothing was sent yet
	}
}

// AbandonReply ends the exchange because its reply is no longer needed, while its caller is
// still there. The exchange may go on for a short time in which a reply keeps the connection;
// see policy.AbandonedSend. median is the usual reply time of the request, 0 if it is unknown.
func (c *Call) AbandonReply(median time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandoned {
		return
	}
	c.abandoned = true
	switch {
	case c.conn != nil:
		now := time.Now()
		c.link.grantExtraTime(c.conn, now, policy.AbandonedSend{
			MedianLatency: median, Elapsed: now.Sub(c.startedAt), Remaining: c.req.Deadline.Sub(now),
			Idempotent: c.req.Idempotent, BodySent: c.written,
		})
	case c.cancel != nil:
		c.cancel()
	}
}

// AbandonUnwritten is like Abandon if no part of the request may have been sent, and does nothing
// otherwise. It reports whether it has abandoned the exchange.
func (c *Call) AbandonUnwritten() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandoned || c.attached {
		return false
	}
	c.abandoned = true
	if c.cancel != nil {
		c.cancel()
	}
	return true
}

// grantExtraTime sets the end of an abandoned exchange on the connection c.
func (l *Link) grantExtraTime(c *conn, now time.Time, send policy.AbandonedSend) {
	l.mu.Lock()
	defer l.mu.Unlock()
	send.Connections, send.Waited, send.Leaving = l.maxConns, len(l.waiters) > 0, l.closed
	c.end(now.Add(send.ExtraTime()))
}

// end makes the abandoned exchange on c fail at the given time unless it completes before. A
// failed exchange closes its connection. The caller must hold Link.mu.
func (c *conn) end(at time.Time) {
	c.closeAt = at
	_ = c.SetDeadline(at)
}

// hastenAbandoned limits the extra time of abandoned exchanges, of one for each waiting call and
// those that end soonest first, to what it would be if the call had waited before them. The
// caller must hold l.mu.
func (l *Link) hastenAbandoned() {
	var abandoned []*conn
	for c := range l.inUse {
		if !c.closeAt.IsZero() {
			abandoned = append(abandoned, c)
		}
	}
	slices.SortFunc(abandoned, func(a, b *conn) int { return a.closeAt.Compare(b.closeAt) })
	end := time.Now().Add(policy.WaitedExtraTime)
	for _, c := range abandoned[:min(len(abandoned), len(l.waiters))] {
		if c.closeAt.After(end) {
			c.end(end)
		}
	}
}

// EndAbandoned ends all abandoned exchanges. It is called when the process shuts down.
func (l *Link) EndAbandoned() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endAbandoned()
}

// endAbandoned is EndAbandoned for callers that hold l.mu.
func (l *Link) endAbandoned() {
	now := time.Now()
	for c := range l.inUse {
		if c.closeAt.After(now) {
			c.end(now)
		}
	}
}

func (c *Call) isAbandoned() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.abandoned
}

// Sent reports whether any part of the request may have been sent. If it is false for an
// abandoned call, nothing will be sent.
func (c *Call) Sent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attached
}

// attach binds the call to a connection immediately before the first byte is written. It
// returns false if the call has been abandoned; nothing may be sent then.
func (c *Call) attach(l *Link, cn *conn, req *Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandoned {
		return false
	}
	c.link, c.conn, c.req, c.attached, c.startedAt = l, cn, req, true, time.Now()
	_ = cn.SetDeadline(req.Deadline.Add(ReplyGrace))
	return true
}

// markWritten records that the whole request has been written.
func (c *Call) markWritten() {
	c.mu.Lock()
	c.written = true
	c.mu.Unlock()
}

// detach ends the binding to the connection. It returns the cause for which the connection is
// to be counted if it is closed now.
func (c *Call) detach() closeCause {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = nil
	if c.abandoned {
		return closedAfterAbandon
	}
	return closedAfterFailure
}

// setCancel sets the function that ends a wait or a dial before anything was sent.
func (c *Call) setCancel(f context.CancelFunc) {
	c.mu.Lock()
	c.cancel = f
	if c.abandoned && f != nil {
		f()
	}
	c.mu.Unlock()
}
