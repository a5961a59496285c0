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
	// callMargin is how long a reply may take beyond the time it is held. A silent
	// cut shows no other sign, so this and the hold bound what it costs.
	callMargin = 500 * time.Millisecond
	// maxCallMargin lets a slow upstream answer after several calls ran out. Beside a
	// relay there are others to ask, and what is new is unheard while it is waited for.
	maxCallMargin  = 3 * time.Second
	maxRelayMargin = time.Second
	// driftParts takes 1% off a lease: the clocks of two VMs may run that far apart
	// before the daemon believes its lease longer than the leader does.
	driftParts = 100
	// firstRetry and maxRetry bound the pause between calls that fail in a row.
	firstRetry = 20 * time.Millisecond
	maxRetry   = time.Second
	// A daemon that no leader has confirmed yet has no configuration, or one that may
	// be old. For startTime it asks at least every startRetry: after a restart of
	// everything the leader is elected within a second, and pauses that had grown
	// meanwhile cost half of one more. Of 3,600 daemons that is 18,000 short calls a
	// second, for some seconds.
	startRetry = 200 * time.Millisecond
	startTime  = 5 * time.Second
)

var (
	exchanges = metrics.GetOrRegisterCounter("relay.exchanges", nil)
	failed    = metrics.GetOrRegisterCounter("relay.exchanges.failed", nil)
	unjoined  = metrics.GetOrRegisterCounter("relay.state.refused", nil)
	version   = metrics.GetOrRegisterGauge("relay.config.version", nil)
)

// outcome is how an exchange went.
type outcome uint8

const (
	callFailed  outcome = iota // no reply
	unconfirmed                // a reply that renews no lease
	redirected                 // the leader is known now
	unchanged                  // the lease is renewed
	changed                    // the lease is renewed, and there was news
)

// failures counts the exchanges in a row that were of no use.
func (o outcome) failures(before int) int {
	if o == callFailed || o == unconfirmed {
		return before + 1
	}
	if o == redirected {
		return before
	}
	return 0
}

// pause returns how long poll waits before its next exchange.
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

// exchange sends one Sync and takes in the reply. A push carries the heartbeats
// of children; a poll carries only the daemon's own, as it may be held.
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
	full := len(req.GetSteady()) == 0 // see Sender
	for _, k := range kids {
		addHeartbeat(req, k.heartbeat, agreed, full)
	}
	return req
}

// call is bounded in time as a whole, connecting included.
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

// margin grows with the failures of addr, so that an upstream that is slow, and
// not lost, is reached in the end.
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

// passOver leaves addr alone for a while. The caller holds mu.
func (c *Client) passOver(addr string, now vm.Instant, why string) {
	if !c.up.fails(addr) {
		klog.Infof("relay: upstream lost addr=%s config=%d: %s", addr, c.view.ConfigVersion, why)
	}
	c.up.failed(addr, now)
}

// receive takes in a reply to a request sent at that instant. Granted reports
// whether the leader confirmed what the request carried.
func (c *Client) receive(addr string, sent vm.Instant, req *wire.SyncRequest, r *wire.SyncReply, push bool) (out outcome, granted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.view
	again := c.install(req, r)
	partly := r.GetResend() && len(req.GetSteady()) > 0
	c.up.setControl(r.GetControl())
	now := c.cfg.Clock()
	if leader := r.GetRedirect(); leader != "" && leader != addr {
		// A relay on a control VM that does not lead has nothing to pass on. Tried
		// first again and again, it would keep this daemon from the leader it names.
		if c.up.isRelay(addr) {
			c.passOver(addr, now, "it names another as the leader")
		}
		c.publish(before)
		return c.follow(addr, leader, now), false
	}
	// A grant says that the leader counts on this daemon knowing the state that
	// comes with it. Without that state the daemon could use shares that the
	// leader has since given to others. A reply that asks for full heartbeats does
	// not tell which of the short ones it could not read, so it grants none.
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
		// One that answers, but is itself cut off from the leader, is passed
		// over like a lost one. A push is not held until the leader has answered.
		if !push {
			c.passOver(addr, now, "it renews no lease")
		}
		return unconfirmed, granted
	}
	if c.up.fails(addr) {
		klog.Infof("relay: upstream back addr=%s config=%d", addr, c.view.ConfigVersion)
	}
	c.up.worked(addr)
	// A reply may bring what a reply to the other lane has just brought. It came
	// early all the same: waiting for the rest of the interval would leave no call
	// held, and the next change unheard for as long.
	if hasNews(req, r) {
		return changed, granted
	}
	return unchanged, granted
}

// hasNews reports whether a reply holds something that the request said was not
// known.
func hasNews(req *wire.SyncRequest, r *wire.SyncReply) bool {
	return r.GetConfigVersion() > req.GetHaveConfig() || r.GetInForce() > req.GetHaveInForce() ||
		r.GetSettledEpoch() > req.GetHaveSettled() ||
		r.GetPendingEpoch() > max(req.GetHavePending(), req.GetHaveSettled())
}

// follow takes the leader that the daemon at addr named.
func (c *Client) follow(addr, leader string, now vm.Instant) outcome {
	if c.up.redirected(leader, now) {
		return redirected
	}
	c.passOver(addr, now, "it names a leader that was just lost")
	return unconfirmed
}

// renewed reports whether the lease is as long as a working upstream keeps it, or
// the leader itself declines to confirm this daemon.
func (c *Client) renewed(now vm.Instant, r *wire.SyncReply) bool {
	return c.until.Sub(now) >= c.lease/2 || slices.Contains(r.GetRefused(), c.cfg.Self.Name)
}

// install joins the reply's state to the view. Again reports that the request has
// to be made once more in another form: for the whole state, or with full
// heartbeats. It is false when that was the form already.
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

// refusedEvery is the least time between two lines on state that was refused. A
// daemon beside one that sends broken state meets it with every call; the counter
// relay.state.refused has them all.
const refusedEvery = 10 * time.Second

func (c *Client) reportRefused(err error) {
	now := c.cfg.Clock()
	if c.reported != 0 && now.Sub(c.reported) < refusedEvery {
		return
	}
	c.reported = now
	klog.Errorf("relay: state refused, asking for all of it: %v", err)
}

// renew extends the lease by a grant. It counts from the instant the request was
// sent, which is before the leader handled it, less the grant's age, so that it
// ends here before the leader takes it for ended.
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

// isMember reports whether the agreed membership holds this run. Control does not
// wait for other runs before it says that a configuration is in force everywhere,
// so one that took work on its lease alone might still go by an older one.
func (c *Client) isMember() bool {
	members := c.view.Members()
	if members == nil {
		return false
	}
	m, ok := members.Find(c.cfg.Self.Name)
	return ok && m.Same(c.cfg.Self) && m.Phase != vm.Gone
}

// publish wakes those who wait for a view newer than before.
func (c *Client) publish(before *View) {
	if c.view == before {
		return
	}
	close(c.changed)
	c.changed = make(chan struct{})
}
