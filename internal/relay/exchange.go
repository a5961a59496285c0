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
	replyMargin = 500 * time.Millisecond
	// maxReplyMargin gives a slow upstream more time after several calls have timed
	// out. The limit for a relay is lower, as there are other upstreams to contact and
	// newer state is missed during the wait.
	maxReplyMargin      = 3 * time.Second
	maxRelayReplyMargin = time.Second
	// clockDriftDivisor takes 1% off a lease. The clocks of two VMs may differ in rate
	// by that much before the daemon believes that its lease lasts longer than the
	// leader does.
	clockDriftDivisor = 100
	// minRetryDelay and maxRetryDelay limit the delay between consecutive failed
	// calls.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = time.Second
	// startupMaxRetryDelay replaces maxRetryDelay during startupPeriod for a daemon
	// that no leader has confirmed, which has no configuration, or one that may be
	// outdated. After a restart of all VMs the leader is elected within a second, and
	// delays that had grown in the meantime cost half a second more. With 3,600
	// daemons this makes 18,000 short calls a second for some seconds.
	startupMaxRetryDelay = 200 * time.Millisecond
	startupPeriod        = 5 * time.Second
)

// confirmationGapLogged is the shortest time without a confirmation that is logged when it
// ends. Several heartbeats have failed by then.
const confirmationGapLogged = 2 * time.Second

var (
	exchangeCounter       = metrics.GetOrRegisterCounter("relay.exchanges", nil)
	failedExchangeCounter = metrics.GetOrRegisterCounter("relay.exchanges.failed", nil)
	refusedStateCounter   = metrics.GetOrRegisterCounter("relay.state.refused", nil)
	// confirmationGap is the age in ms that the confirmation had reached when the next one
	// arrived.
	confirmationGap    = metrics.GetOrRegisterHistogram("relay.confirmation.gap_ms", nil, metrics.NewExpDecaySample(512, 0.015))
	configVersionGauge = metrics.GetOrRegisterGauge("relay.config.version", nil)
	// confirmerChangedCounter counts how often another leader or relay confirmed the
	// configuration than before.
	confirmerChangedCounter = metrics.GetOrRegisterCounter("relay.confirmer.changed", nil)
)

// outcome is the result of an exchange.
type outcome uint8

const (
	callFailed      outcome = iota // no reply
	leaseNotRenewed                // a reply that does not renew the lease
	redirected                     // the leader is known now
	leaseRenewed                   // the lease is renewed
	stateChanged                   // the lease is renewed, and there was newer state
)

// countFailures returns the number of consecutive failed exchanges after an exchange
// with outcome o.
func (o outcome) countFailures(previous int) int {
	if o == callFailed || o == leaseNotRenewed {
		return previous + 1
	}
	if o == redirected {
		return previous
	}
	return 0
}

// pollDelay returns how long poll waits before its next exchange.
func (c *Client) pollDelay(o outcome, failures int, took time.Duration) time.Duration {
	switch {
	case o == stateChanged || o == redirected:
		return minCallInterval - took
	case o == leaseRenewed:
		return c.heartbeatInterval() - took
	case failures == 1 && !c.allBackedOff():
		return c.randomDuration(minRetryDelay)
	}
	backoff := min(minRetryDelay<<min(failures, 10), c.retryLimit())
	return backoff/2 + c.randomDuration(backoff/2)
}

func (c *Client) retryLimit() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view.ConfirmedAt == 0 && c.cfg.Clock().Sub(c.started) < startupPeriod {
		return startupMaxRetryDelay
	}
	return maxRetryDelay
}

func (c *Client) allBackedOff() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, wait := c.upstreams.pick(c.cfg.Clock())
	return wait > 0
}

// exchange sends one Sync request to the best upstream and handles the reply. A push
// carries the heartbeats of children; a poll carries only the daemon's own, as it may
// be held.
func (c *Client) exchange(ctx context.Context, hold time.Duration, push bool) outcome {
	c.mu.Lock()
	addr, _ := c.upstreams.pick(c.cfg.Clock())
	c.mu.Unlock()
	if addr == "" {
		return callFailed
	}
	return c.exchangeWith(ctx, addr, hold, push)
}

func (c *Client) exchangeWith(ctx context.Context, addr string, hold time.Duration, push bool) outcome {
	var forwarded []*child
	if push {
		forwarded = c.children.pending(c.cfg.Clock())
	}
	req := c.buildRequest(hold, forwarded)
	exchangeCounter.Inc(1)
	sent := c.cfg.Clock()
	reply, err := c.call(ctx, addr, req, hold)
	if err != nil {
		return c.handleCallError(ctx, addr, err)
	}
	out, granted := c.handleReply(addr, sent, req, reply, push)
	if granted {
		c.children.recordGrant(forwarded, reply, sent)
	}
	return out
}

func (c *Client) buildRequest(hold time.Duration, forwarded []*child) *wire.SyncRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.view
	req := &wire.SyncRequest{WaitMs: uint32(hold.Milliseconds()), HaveInForce: v.InForce, Unpacks: true, Group: v.Group.Wire()}
	if !c.requestFullState {
		req.HaveConfig, req.HaveDigest = v.ConfigVersion, v.ConfigDigest
		req.HaveSettled, req.HavePending = epochOf(v.Settled), epochOf(v.Pending)
	}
	agreed := v.Membership()
	addHeartbeat(req, c.ownHeartbeat(), agreed, c.fullHeartbeats)
	full := len(req.GetSteady()) == 0 // see SenderHeartbeat
	for _, fwd := range forwarded {
		addHeartbeat(req, fwd.heartbeat, agreed, full)
	}
	return req
}

// call sends the request. The timeout covers connecting, too.
func (c *Client) call(ctx context.Context, addr string, req *wire.SyncRequest, hold time.Duration) (*wire.SyncReply, error) {
	ctx, cancel := context.WithTimeout(ctx, hold+c.replyMarginFor(addr))
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
	return reply, decompressState(reply)
}

// replyMarginFor returns the reply margin for addr. It grows with consecutive failures
// of addr, so that an upstream that is slow but not lost is eventually reached.
func (c *Client) replyMarginFor(addr string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := maxReplyMargin
	if c.upstreams.isRelay(addr) {
		limit = maxRelayReplyMargin
	}
	return min(replyMargin+c.upstreams.backoffs[addr].delay, limit)
}

func (c *Client) handleCallError(ctx context.Context, addr string, err error) outcome {
	if ctx.Err() != nil {
		return callFailed
	}
	failedExchangeCounter.Inc(1)
	klog.V(1).Infof("relay: no reply from %s: %v", addr, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backOff(addr, c.cfg.Clock(), err.Error())
	return callFailed
}

// backOff excludes addr from use for a while. The caller holds mu.
func (c *Client) backOff(addr string, now vm.Instant, reason string) {
	if !c.upstreams.hasFailed(addr) {
		klog.Infof("relay: upstream lost addr=%s config=%d: %s", addr, c.view.ConfigVersion, reason)
	}
	c.upstreams.markFailed(addr, now)
}

// handleReply processes the reply to a request that was sent at sent. Granted reports
// whether the leader confirmed the heartbeats in the request.
func (c *Client) handleReply(addr string, sent vm.Instant, req *wire.SyncRequest, r *wire.SyncReply, push bool) (out outcome, granted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.groupGuard.Refuses(c.view.Group, vm.GroupID(r.GetGroup()), "a reply to a sync", addr) {
		c.backOff(addr, c.cfg.Clock(), "it belongs to another control group")
		return leaseNotRenewed, false
	}
	before := c.view
	retry := c.applyState(req, r)
	partlyUnknown := r.GetResend() && len(req.GetSteady()) > 0
	c.upstreams.setControl(r.GetControl())
	now := c.cfg.Clock()
	if leader := r.GetRedirect(); leader != "" && leader != addr {
		// A relay on a control VM that is not the leader has no state to forward. If
		// it stayed the first choice, this daemon would never reach the leader that it
		// names.
		if c.upstreams.isRelay(addr) {
			c.backOff(addr, now, "it names another VM as the leader")
		}
		c.notifyChanged(before)
		return c.followRedirect(addr, leader, now), false
	}
	// With a grant the leader relies on this daemon knowing the state in the reply.
	// Without that state the daemon could use shares that the leader has since given
	// to others. A reply that requests full heartbeats does not say which of the short
	// ones were unknown, so it grants none.
	granted = r.GetGranted() && covers(c.view, r) && !partlyUnknown
	if granted {
		c.follow(vm.GroupID(r.GetGroup()))
		c.confirmView(addr, now, sent.Add(-time.Duration(r.GetAgeMs())*time.Millisecond))
		c.extendLease(sent, r)
	}
	c.notifyChanged(before)
	switch {
	case retry:
		return stateChanged, granted
	case !granted || !c.leaseSufficient(now, r):
		// An upstream that answers but is itself cut off from the leader is backed off
		// like a lost one. The reply to a push says nothing about this, as it is not
		// held until the leader has answered.
		if !push {
			c.backOff(addr, now, "it does not renew the lease")
		}
		return leaseNotRenewed, granted
	}
	if c.upstreams.hasFailed(addr) {
		klog.Infof("relay: upstream back addr=%s config=%d", addr, c.view.ConfigVersion)
	}
	c.upstreams.markWorking(addr)
	// The reply may contain state that the reply to the concurrent poll or push has
	// just delivered. It still came before the end of the interval. Waiting for the
	// rest of the interval would leave no call held at the upstream, and the next
	// change would be noticed that much later.
	if replyHasNews(req, r) {
		return stateChanged, granted
	}
	return leaseRenewed, granted
}

// follow records the control group of the view when it becomes known. The caller holds mu.
func (c *Client) follow(group vm.GroupID) {
	if c.view.Group != "" || group == "" {
		return
	}
	next := *c.view
	next.Group = group
	c.view = &next
	klog.Infof("relay: following control group=%s config=%d", group, next.ConfigVersion)
}

// confirmView records that the view was the newest at the given instant: when the request
// was sent, minus the age of the grant. The caller holds mu.
func (c *Client) confirmView(addr string, now, at vm.Instant) {
	before := c.view.ConfirmedAt
	if at <= before {
		return
	}
	next := *c.view
	next.ConfirmedAt, next.ConfirmedBy = at, addr
	previous := c.view.ConfirmedBy
	c.view = &next
	if previous != addr {
		confirmerChangedCounter.Inc(1)
	}
	if before == 0 {
		klog.Infof("relay: configuration confirmed by=%s config=%d after=%v from the start", addr, next.ConfigVersion, now.Sub(c.started))
		return
	}
	gap := now.Sub(before)
	confirmationGap.Update(gap.Milliseconds())
	switch {
	case gap >= confirmationGapLogged:
		klog.Infof("relay: configuration confirmed again by=%s before=%s config=%d unconfirmed=%v", addr, previous, next.ConfigVersion, gap)
	case previous != addr:
		klog.Infof("relay: configuration confirmed by=%s before=%s config=%d", addr, previous, next.ConfigVersion)
	}
}

// replyHasNews reports whether a reply contains state that the sender of the request
// did not have.
func replyHasNews(req *wire.SyncRequest, r *wire.SyncReply) bool {
	return r.GetConfigVersion() > req.GetHaveConfig() || r.GetInForce() > req.GetHaveInForce() ||
		r.GetSettledEpoch() > req.GetHaveSettled() ||
		r.GetPendingEpoch() > max(req.GetHavePending(), req.GetHaveSettled())
}

// followRedirect switches to the leader that the daemon at addr named.
func (c *Client) followRedirect(addr, leader string, now vm.Instant) outcome {
	if c.upstreams.setLeader(leader, now) {
		return redirected
	}
	c.backOff(addr, now, "it names a leader that failed recently")
	return leaseNotRenewed
}

// leaseSufficient reports whether the lease is as long as a working upstream keeps it,
// or the leader itself refuses a lease to this daemon.
func (c *Client) leaseSufficient(now vm.Instant, r *wire.SyncReply) bool {
	return c.leaseEnd.Sub(now) >= c.leaseDuration/2 || slices.Contains(r.GetRefused(), c.cfg.Self.Name)
}

// applyState merges the reply's state into the view. Retry reports whether the request
// must be repeated in another form, for the full state or with full heartbeats. It is
// false if the request already had that form.
func (c *Client) applyState(req *wire.SyncRequest, r *wire.SyncReply) (retry bool) {
	c.fullHeartbeats = r.GetResend()
	retry = c.fullHeartbeats && len(req.GetSteady()) > 0
	next, err := mergeReply(c.view, r)
	if err != nil {
		refusedStateCounter.Inc(1)
		if !c.requestFullState {
			c.logRefusal(err)
			retry = true
		}
		c.requestFullState = true
		return retry
	}
	c.requestFullState = false
	if next == c.view {
		return retry
	}
	c.view = next
	c.follow(vm.GroupID(r.GetGroup()))
	next = c.view
	c.checkSuperseded(next)
	c.upstreams.updateRelays(next.Membership(), c.cfg.MaxDirect, c.cfg.Fanout)
	configVersionGauge.Update(int64(next.ConfigVersion))
	c.history.Update(State{
		ConfigVersion: next.ConfigVersion,
		ConfigDigest:  next.ConfigDigest,
		Tree:          next.Tree,
		InForce:       next.InForce,
		Settled:       next.Settled,
		Pending:       next.Pending,
	}, r.GetDeltas())
	return retry
}

// refusalLogInterval is the least time between two log lines about rejected state. An
// upstream that sends invalid state does so with every call; the counter
// relay.state.refused counts each one.
const refusalLogInterval = 10 * time.Second

func (c *Client) logRefusal(err error) {
	now := c.cfg.Clock()
	if c.lastRefusalLog != 0 && now.Sub(c.lastRefusalLog) < refusalLogInterval {
		return
	}
	c.lastRefusalLog = now
	klog.Errorf("relay: state rejected, requesting the full state: %v", err)
}

// extendLease extends the lease by a grant. The lease counts from the time the request
// was sent, which is before the leader handled it, minus the age of the grant, so that
// it expires here before the leader regards it as expired.
func (c *Client) extendLease(sent vm.Instant, r *wire.SyncReply) {
	if slices.Contains(r.GetRefused(), c.cfg.Self.Name) {
		return
	}
	lease := time.Duration(r.GetLeaseMs()) * time.Millisecond
	c.leaseDuration = lease
	age := time.Duration(r.GetAgeMs()) * time.Millisecond
	until := sent.Add(lease - lease/clockDriftDivisor - age)
	c.leaseEnd = max(c.leaseEnd, until)
	if c.leaseEnd > c.view.LeaseEnd && c.isMember() {
		next := *c.view
		next.LeaseEnd = c.leaseEnd
		c.view = &next
	}
}

// isMember reports whether the agreed membership contains this run. Control does not
// wait for other runs before it reports a configuration as in force everywhere, so a
// run that accepted requests on its lease alone could still use an older
// configuration.
func (c *Client) isMember() bool {
	members := c.view.Membership()
	if members == nil {
		return false
	}
	m, ok := members.Find(c.cfg.Self.Name)
	return ok && m.SameIncarnation(c.cfg.Self) && m.Phase != vm.Gone
}

// notifyChanged wakes those who wait for a view newer than before.
func (c *Client) notifyChanged(before *View) {
	if c.view == before {
		return
	}
	close(c.viewChanged)
	c.viewChanged = make(chan struct{})
}
