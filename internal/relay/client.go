package relay

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/vm"
	"pearmoor/internal/work"
)

const (
	// startJitter spreads the first calls of daemons that start together.
	// eagerStartJitter does the same for daemons with EagerStart, in addition to the
	// spread of their VMs' own start times.
	startJitter      = 250 * time.Millisecond
	eagerStartJitter = 60 * time.Millisecond
	// initialQueryInterval is the time after which a daemon with EagerStart and no
	// state contacts one more address. After a restart of all VMs some of the
	// addresses are not up yet, and a call to a VM without power ends only at its
	// timeout.
	initialQueryInterval = 50 * time.Millisecond
	// minCallInterval is the shortest time between two calls of one kind. It limits
	// the number of calls that a burst of changes causes.
	minCallInterval = 20 * time.Millisecond
	// batchDelay is how long a relay collects simultaneous reports of its children,
	// such as confirmations of a new configuration, to send them in one call.
	batchDelay = 20 * time.Millisecond
	// maxPushRetryDelay limits the delay after a failed push.
	maxPushRetryDelay = 200 * time.Millisecond
	// intervalsPerLease is the minimum number of heartbeat intervals in a lease.
	// Through a relay a lease is up to two intervals and one call old when it is
	// renewed, which leaves time to find another relay when this one is lost.
	intervalsPerLease = 6
)

// SupersededError is returned by Run when the membership contains a later run of this
// daemon. The shares belong to the later run, so this one must stop.
type SupersededError struct {
	Self             vm.Identity
	LaterIncarnation uint64 // incarnation of the later run
}

// Error implements error.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("relay: %s has a later run: incarnation %d is known, this one is %d; "+
		"stop one of the two, or start again with an incarnation above the known one", e.Self.Name, e.LaterIncarnation, e.Self.Incarnation)
}

// Client keeps a daemon's view of the agreed state up to date, renews its lease, and
// reports its phase and acknowledgements to the leader. It implements Source.
type Client struct {
	cfg        Config
	history    *History
	children   *children
	groupGuard *GroupGuard
	pushSignal chan struct{} // signals that a heartbeat must be sent immediately
	newAddrs   chan struct{} // signals that there are new addresses to contact

	mu               sync.Mutex
	view             *View
	viewChanged      chan struct{}
	phase            vm.Phase
	ackedVersion     uint64 // newest version acknowledged
	ackedEpoch       uint64 // newest epoch acknowledged
	requestFullState bool   // request the full state
	fullHeartbeats   bool   // send no heartbeat in the short form
	leaseDuration    time.Duration
	leaseEnd         vm.Instant // used once the membership contains this run
	upstreams        *upstreams
	supersededErr    error
	wasMember        bool       // the membership has contained this run
	started          vm.Instant // when Run was called
	lastRefusalLog   vm.Instant // when rejected state was last logged
}

// NewClient returns a client. It does nothing until Run is called.
func NewClient(cfg Config) *Client {
	cfg = cfg.withDefaults()
	return &Client{
		cfg:         cfg,
		history:     NewHistory(),
		children:    newChildren(),
		groupGuard:  NewGroupGuard(cfg.Clock),
		pushSignal:  make(chan struct{}, 1),
		newAddrs:    make(chan struct{}, 1),
		view:        &View{Group: cfg.Group},
		viewChanged: make(chan struct{}),
		upstreams:   newUpstreams(cfg.Self, cfg.Control),
	}
}

// SetSeeds sets further control addresses, to use when none of those learned from the
// control group answers. A daemon that no leader has confirmed contacts them
// immediately: after a restart of all VMs with seeds that are not in the group,
// waiting for the end of the current retry delay made its callers wait up to 0.2 s
// longer.
func (c *Client) SetSeeds(addrs []string) {
	c.mu.Lock()
	c.upstreams.setSeeds(addrs)
	neverConfirmed := c.view.ConfirmedAt == 0
	c.mu.Unlock()
	if neverConfirmed {
		signal(c.newAddrs)
	}
}

// Follow binds this daemon to a control group, unless it follows one already.
func (c *Client) Follow(group vm.GroupID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.groupGuard.Refuses(c.view.Group, group, "the group of its own disk", c.cfg.Self.Name) {
		c.follow(group)
	}
}

// signal puts a token into a channel of capacity 1, unless it already holds one.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// ControlGroup returns the peer addresses that the control group last reported.
func (c *Client) ControlGroup() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.upstreams.control)
}

// Upstreams returns the peer addresses that this daemon may sync with, best first.
func (c *Client) Upstreams() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.upstreams.candidates()
}

// ControlVMs returns the peer addresses that may be control VMs, best first. Unlike
// Upstreams, it does not include relays that are not control VMs.
func (c *Client) ControlVMs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.upstreams.controlVMs()
}

// Current returns the newest view; it is never nil.
func (c *Client) Current() *View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

// Changed returns a channel that is closed when the view is replaced.
func (c *Client) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.viewChanged
}

// Self returns the identity of this run of the daemon. Its incarnation may have been raised after
// the start.
func (c *Client) Self() vm.Identity {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cfg.Self
}

// SetPhase sets the daemon's phase and reports it immediately.
func (c *Client) SetPhase(p vm.Phase) {
	c.mu.Lock()
	phaseChanged := p != c.phase
	c.phase = p
	c.mu.Unlock()
	if phaseChanged {
		c.requestPush()
	}
}

// Ack reports immediately that the requests in flight fit the daemon's shares under
// the given configuration version and epoch. Numbers lower than those already
// acknowledged are ignored.
func (c *Client) Ack(config, epoch uint64) {
	c.mu.Lock()
	advanced := config > c.ackedVersion || epoch > c.ackedEpoch
	c.ackedVersion, c.ackedEpoch = max(c.ackedVersion, config), max(c.ackedEpoch, epoch)
	c.mu.Unlock()
	if advanced {
		c.requestPush()
	}
}

func (c *Client) requestPush() { signal(c.pushSignal) }

// Run syncs until ctx is done or the membership contains a later run of the daemon.
func (c *Client) Run(ctx context.Context) error {
	c.mu.Lock()
	c.started = c.cfg.Clock()
	c.mu.Unlock()
	jitter := startJitter
	if c.cfg.EagerStart {
		jitter = eagerStartJitter
	}
	if !vm.Sleep(ctx, c.randomDuration(jitter)) {
		return nil
	}
	g, ctx := errgroup.WithContext(ctx)
	if c.cfg.EagerStart {
		g.Go(func() error { c.fetchInitialState(ctx); return nil })
	}
	g.Go(func() error { return c.poll(ctx) })
	g.Go(func() error { return c.push(ctx) })
	return g.Wait()
}

// fetchInitialState requests the first state of a daemon from one more address every
// initialQueryInterval, until the state is known.
func (c *Client) fetchInitialState(ctx context.Context) {
	var queries work.KeyedRunner
	done := func() bool { return c.Current().Tree != nil || c.supersededError() != nil }
	queries.RunStaggered(ctx, initialQueryInterval, c.Upstreams, done, func(addr string) {
		c.exchangeWith(ctx, addr, statelessHoldTime, false)
	})
}

// poll requests newer state in a loop. The upstream holds each call until there is
// newer state or the interval ends.
func (c *Client) poll(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		start := c.cfg.Clock()
		out := c.exchange(ctx, c.holdTime(failures), false)
		if err := c.supersededError(); err != nil {
			return err
		}
		failures = out.countFailures(failures)
		c.waitBeforePoll(ctx, c.pollDelay(out, failures, c.cfg.Clock().Sub(start)))
	}
	return nil
}

// waitBeforePoll waits for d or until there are new addresses to contact. It returns
// immediately if d is not positive.
func (c *Client) waitBeforePoll(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.newAddrs:
	case <-ctx.Done():
	}
}

// holdTime returns how long the upstream may hold the next poll. After a failure the
// lease must be renewed first, so the reply is wanted immediately. A relay is exempt,
// as it replies only when the leader has answered it.
func (c *Client) holdTime(failures int) time.Duration {
	if failures > 0 && !c.nextIsRelay() {
		return 0
	}
	return c.heartbeatInterval()
}

func (c *Client) nextIsRelay() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	addr, _ := c.upstreams.pick(c.cfg.Clock())
	return c.upstreams.isRelay(addr)
}

// push sends heartbeats that cannot wait for the next poll, and forwards the
// heartbeats of children at least once per interval.
func (c *Client) push(ctx context.Context) error {
	for {
		timer := time.NewTimer(c.heartbeatInterval())
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-c.pushSignal:
			timer.Stop()
			vm.Sleep(ctx, c.pushDelay())
		case <-timer.C:
			if !c.children.hasPending(c.cfg.Clock()) {
				continue
			}
		}
		if ctx.Err() == nil && c.exchange(ctx, 0, true) == callFailed {
			// The heartbeat that could not wait was not delivered.
			vm.Sleep(ctx, c.randomDuration(maxPushRetryDelay))
			c.requestPush()
		}
	}
}

// pushDelay returns how long a push waits for further heartbeats to send with it.
func (c *Client) pushDelay() time.Duration {
	if c.children.empty() {
		return minCallInterval / 4
	}
	return batchDelay
}

// heartbeatInterval returns the time between two heartbeats.
func (c *Client) heartbeatInterval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaseDuration > 0 {
		return min(c.cfg.Interval, c.leaseDuration/intervalsPerLease)
	}
	return c.cfg.Interval
}

func (c *Client) supersededError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.supersededErr
}

// checkSuperseded checks whether the membership contains a later run of this daemon.
// The caller holds mu.
func (c *Client) checkSuperseded(v *View) {
	m := v.Membership()
	if m == nil || c.supersededErr != nil {
		return
	}
	known, ok := m.Find(c.cfg.Self.Name)
	if ok && known.SameIncarnation(c.cfg.Self) {
		c.wasMember = true
	}
	if ok && known.Incarnation > c.cfg.Self.Incarnation {
		if c.cfg.ExclusiveRuns && !c.wasMember {
			klog.Warningf("relay: incarnation %d of an earlier run is above this run's %d, the clock was set back; continuing as %d",
				known.Incarnation, c.cfg.Self.Incarnation, known.Incarnation+1)
			c.cfg.Self.Incarnation = known.Incarnation + 1
			c.fullHeartbeats = true
			return
		}
		c.supersededErr = &SupersededError{Self: c.cfg.Self, LaterIncarnation: known.Incarnation}
		klog.Errorf("relay: superseded by incarnation %d", known.Incarnation)
	}
}

// ownHeartbeat returns the daemon's own heartbeat. The caller holds mu.
func (c *Client) ownHeartbeat() *wire.Heartbeat {
	return &wire.Heartbeat{
		Vm:            vm.MemberToWire(vm.Member{Identity: c.cfg.Self, Phase: c.phase}),
		ConfigVersion: c.ackedVersion,
		AckedEpoch:    c.ackedEpoch,
	}
}

func (c *Client) randomDuration(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.upstreams.rng.Int64N(int64(d)))
}
