package relay

import (
	"context"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/vm"
)

const (
	// replyMargin is how long a reply may take in addition to the time for which it is
	// held. A silently dropped connection shows no other sign, so this margin and the
	// hold time limit how long it goes unnoticed.
	callMargin = 500 * time.Millisecond
	// maxReplyMargin gives a slow upstream more time after several calls have timed
	// out. The limit for a relay is lower, as there are other upstreams to contact and
	// newer state is missed during the wait.
	maxCallMargin  = 3 * time.Second
	maxRelayMargin = time.Second
	// clockDriftDivisor takes 1% off a lease. The clocks of two VMs may differ in rate
	// by that much before the daemon believes that its lease lasts longer than the
	// leader does.
	driftParts = 100
	// minRetryDelay and maxRetryDelay limit the delay between consecutive failed
	// calls.
	firstRetry = 20 * time.Millisecond
	maxRetry   = time.Second
	// startupMaxRetryDelay replaces maxRetryDelay during startupPeriod for a daemon
	// that no leader has confirmed, which has no configuration, or one that may be
	// outdated. After a restart of all VMs the leader is elected within a second, and
	// delays that had grown in the meantime cost half a second more. With 3,600
	// daemons this makes 18,000 short calls a second for some seconds.
	startRetry = 200 * time.Millisecond
	startTime  = 5 * time.Second
)

var (
	exchanges = metrics.GetOrRegisterCounter("relay.exchanges", nil)
	failed    = metrics.GetOrRegisterCounter("relay.exchanges.failed", nil)
	unjoined  = metrics.GetOrRegisterCounter("relay.state.refused", nil)
	version   = metrics.GetOrRegisterGauge("relay.config.version", nil)
)

// outcome is the result of an exchange.
type outcome uint8

const (
	callFailed  outcome = iota // no reply
	unconfirmed                // a reply that does not renew the lease
	redirected                 // the leader is known now
	unchanged                  // the lease is renewed
	changed                    // the lease is renewed, and there was newer state
)

// countFailures returns the number of consecutive failed exchanges after an exchange
// with outcome o.
func (o outcome) failures(before int) int {
	if o == callFailed || o == unconfirmed {
		return before + 1
	}
	if o == redirected {
		return before
	}
	return 0
}

// pollDelay returns how long poll waits before its next exchange.
func (c *Client) pause(o outcome, failures int, took time.Duration) time.Duration {
	switch {
	case o == changed || o == redirected:
		return minGap - took
	case o == unchanged:
		return c.interval() - took
	case failures == 1 && !c.allPaused():
		return c.randomUpTo(firstRetry)
	}
	backoff := min(firstRetry<<min(failures, 10), c.longestRetry())
	return backoff/2 + c.randomUpTo(backoff/2)
}

func (c *Client) longestRetry() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.confirmed == 0 && c.cfg.Clock().Sub(c.started) < startTime {
		return startRetry
	}
	return maxRetry
}

func (c *Client) allPaused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, wait := c.up.pick(c.cfg.Clock())
	return wait > 0
}

// exchange sends one Sync request to the best upstream and handles the reply. A push
// carries the heartbeats of children; a poll carries only the daemon's own, as it may
// be held.
func (c *Client) exchange(ctx context.Context, hold time.Duration, push bool) outcome {
	c.mu.Lock()
	addr, _ := c.up.pick(c.cfg.Clock())
	c.mu.Unlock()
	if addr == "" {
		return callFailed
	}
	return c.exchangeAt(ctx, addr, hold, push)
}

func (c *Client) exchangeAt(ctx context.Context, addr string, hold time.Duration, push bool) outcome {
	var kids []*child
	if push {
		kids = c.children.take(c.cfg.Clock())
	}
	req := c.request(hold, kids)
	exchanges.Inc(1)
	sent := c.cfg.Clock()
	reply, err := c.call(ctx, addr, req, hold)
	if err != nil {
		return c.noReply(ctx, addr, err)
	}
	out, granted := c.receive(addr, sent, req, reply, push)
	if granted {
		c.children.grant(kids, reply, sent)
	}
	return out
}

func (c *Client) request(hold time.Duration, kids []*child) *wire.SyncRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.view
	req := &wire.SyncRequest{WaitMs: uint32(hold.Milliseconds()), HaveInForce: v.InForce, Unpacks: true}
	if !c.whole {
		req.HaveConfig, req.HaveDigest = v.ConfigVersion, v.ConfigDigest
		req.HaveSettled, req.HavePending = epochOf(v.Settled), epochOf(v.Pending)
	}
	agreed := v.Members()
	addHeartbeat(req, c.ownHeartbeat(), agreed, c.resend)
	full := len(req.GetSteady()) == 0 // see SenderHeartbeat
	for _, k := range kids {
		addHeartbeat(req, k.heartbeat, agreed, full)
	}
	return req
}

// call sends the request. The timeout covers connecting, too.
func (c *Client) call(ctx context.Context, addr string, req *wire.SyncRequest, hold time.Duration) (*wire.SyncReply, error) {
	ctx, cancel := context.WithTimeout(ctx, hold+c.margin(addr))
	defer cancel()
	conn, err := c.cfg.Conns.Conn(ctx, addr)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	reply, err := wire.NewDRPCSpreadClient(conn).Sync(ctx, req)
	if err != nil {
		return nil, err
	}
	return reply, unpackState(reply)
}

// replyMarginFor returns the reply margin for addr. It grows with consecutive failures
// of addr, so that an upstream that is slow but not lost is eventually reached.
func (c *Client) margin(addr string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	most := maxCallMargin
	if c.up.isRelay(addr) {
		most = maxRelayMargin
	}
	return min(callMargin+c.up.paused[addr].last, most)
}

func (c *Client) noReply(ctx context.Context, addr string, err error) outcome {
	if ctx.Err() != nil {
		return callFailed
	}
	failed.Inc(1)
	klog.V(1).Infof("relay: no reply from %s: %v", addr, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.passOver(addr, c.cfg.Clock(), err.Error())
	return callFailed
}

// backOff excludes addr from use for a while. The caller holds mu.
func (c *Client) passOver(addr string, now vm.Instant, why string) {
	if !c.up.fails(addr) {
		klog.Infof("relay: upstream lost addr=%s config=%d: %s", addr, c.view.ConfigVersion, why)
	}
	c.up.failed(addr, now)
}

// handleReply processes the reply to a request that was sent at sent. Granted reports
// whether the leader confirmed the heartbeats in the request.
func (c *Client) receive(addr string, sent vm.Instant, req *wire.SyncRequest, r *wire.SyncReply, push bool) (out outcome, granted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.view
	again := c.install(req, r)
	partly := r.GetResend() && len(req.GetSteady()) > 0
	c.up.setControl(r.GetControl())
	now := c.cfg.Clock()
	if leader := r.GetRedirect(); leader != "" && leader != addr {
		// A relay on a control VM that is not the leader has no state to forward. If
		// it stayed the first choice, this daemon would never reach the leader that it
		// names.
		if c.up.isRelay(addr) {
			c.passOver(addr, now, "it names another VM as the leader")
		}
		c.publish(before)
		return c.follow(addr, leader, now), false
	}
	// With a grant the leader relies on this daemon knowing the state in the reply.
	// Without that state the daemon could use shares that the leader has since given
	// to others. A reply that requests full heartbeats does not say which of the short
	// ones were unknown, so it grants none.
	granted = r.GetGranted() && covers(c.view, r) && !partly
	if granted {
		c.confirmed = max(c.confirmed, sent)
		c.renew(sent, r)
	}
	c.publish(before)
	switch {
	case again:
		return changed, granted
	case !granted || !c.renewed(now, r):
		// An upstream that answers but is itself cut off from the leader is backed off
		// like a lost one. The reply to a push says nothing about this, as it is not
		// held until the leader has answered.
		if !push {
			c.passOver(addr, now, "it does not renew the lease")
		}
		return unconfirmed, granted
	}
	if c.up.fails(addr) {
		klog.Infof("relay: upstream back addr=%s config=%d", addr, c.view.ConfigVersion)
	}
	c.up.worked(addr)
	// The reply may contain state that the reply to the concurrent poll or push has
	// just delivered. It still came before the end of the interval. Waiting for the
	// rest of the interval would leave no call held at the upstream, and the next
	// change would be noticed that much later.
	if hasNews(req, r) {
		return changed, granted
	}
	return unchanged, granted
}

// replyHasNews reports whether a reply contains state that the sender of the request
// did not have.
func hasNews(req *wire.SyncRequest, r *wire.SyncReply) bool {
	return r.GetConfigVersion() > req.GetHaveConfig() || r.GetInForce() > req.GetHaveInForce() ||
		r.GetSettledEpoch() > req.GetHaveSettled() ||
		r.GetPendingEpoch() > max(req.GetHavePending(), req.GetHaveSettled())
}

// followRedirect switches to the leader that the daemon at addr named.
func (c *Client) follow(addr, leader string, now vm.Instant) outcome {
	if c.up.redirected(leader, now) {
		return redirected
	}
	c.passOver(addr, now, "it names a leader that failed recently")
	return unconfirmed
}

// leaseSufficient reports whether the lease is as long as a working upstream keeps it,
// or the leader itself refuses a lease to this daemon.
func (c *Client) renewed(now vm.Instant, r *wire.SyncReply) bool {
	return c.until.Sub(now) >= c.lease/2 || slices.Contains(r.GetRefused(), c.cfg.Self.Name)
}

// applyState merges the reply's state into the view. Retry reports whether the request
// must be repeated in another form, for the full state or with full heartbeats. It is
// false if the request already had that form.
func (c *Client) install(req *wire.SyncRequest, r *wire.SyncReply) (again bool) {
	c.resend = r.GetResend()
	again = c.resend && len(req.GetSteady()) > 0
	next, err := advance(c.view, r)
	if err != nil {
		unjoined.Inc(1)
		if !c.whole {
			c.reportRefused(err)
			again = true
		}
		c.whole = true
		return again
	}
	c.whole = false
	if next == c.view {
		return again
	}
	c.view = next
	c.checkSuperseded(next)
	c.up.members(next.Members(), c.cfg.Direct, c.cfg.Fanout)
	version.Update(int64(next.ConfigVersion))
	c.history.Advance(State{
		ConfigVersion: next.ConfigVersion,
		ConfigDigest:  next.ConfigDigest,
		Tree:          next.Tree,
		InForce:       next.InForce,
		Settled:       next.Settled,
		Pending:       next.Pending,
	}, r.GetDeltas())
	return again
}

// refusalLogInterval is the least time between two log lines about rejected state. An
// upstream that sends invalid state does so with every call; the counter
// relay.state.refused counts each one.
const refusedEvery = 10 * time.Second

func (c *Client) reportRefused(err error) {
	now := c.cfg.Clock()
	if c.reported != 0 && now.Sub(c.reported) < refusedEvery {
		return
	}
	c.reported = now
	klog.Errorf("relay: state rejected, requesting the full state: %v", err)
}

// extendLease extends the lease by a grant. The lease counts from the time the request
// was sent, which is before the leader handled it, minus the age of the grant, so that
// it expires here before the leader regards it as expired.
func (c *Client) renew(sent vm.Instant, r *wire.SyncReply) {
	if slices.Contains(r.GetRefused(), c.cfg.Self.Name) {
		return
	}
	lease := time.Duration(r.GetLeaseMs()) * time.Millisecond
	c.lease = lease
	age := time.Duration(r.GetAgeMs()) * time.Millisecond
	until := sent.Add(lease - lease/driftParts - age)
	c.until = max(c.until, until)
	if c.until > c.view.Lease && c.isMember() {
		next := *c.view
		next.Lease = c.until
		c.view = &next
	}
}

// isMember reports whether the agreed membership contains this run. Control does not
// wait for other runs before it reports a configuration as in force everywhere, so a
// run that accepted requests on its lease alone could still use an older
// configuration.
func (c *Client) isMember() bool {
	members := c.view.Members()
	if members == nil {
		return false
	}
	m, ok := members.Find(c.cfg.Self.Name)
	return ok && m.Same(c.cfg.Self) && m.Phase != vm.Gone
}

// notifyChanged wakes those who wait for a view newer than before.
func (c *Client) publish(before *View) {
	if c.view == before {
		return
	}
	close(c.changed)
	c.changed = make(chan struct{})
}
