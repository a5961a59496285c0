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
	startJitter = 250 * time.Millisecond
	eagerJitter = 60 * time.Millisecond
	// initialQueryInterval is the time after which a daemon with EagerStart and no
	// state contacts one more address. After a restart of all VMs some of the
	// addresses are not up yet, and a call to a VM without power ends only at its
	// timeout.
	firstAskEvery = 50 * time.Millisecond
	// minCallInterval is the shortest time between two calls of one kind. It limits
	// the number of calls that a burst of changes causes.
	minGap = 20 * time.Millisecond
	// batchDelay is how long a relay collects simultaneous reports of its children,
	// such as confirmations of a new configuration, to send them in one call.
	batchDelay = 20 * time.Millisecond
	// maxPushRetryDelay limits the delay after a failed push.
	pushRetry = 200 * time.Millisecond
	// intervalsPerLease is the minimum number of heartbeat intervals in a lease.
	// Through a relay a lease is up to two intervals and one call old when it is
	// renewed, which leaves time to find another relay when this one is lost.
	leaseParts = 6
)

// SupersededError is returned by Run when the membership contains a later run of this
// daemon. The shares belong to the later run, so this one must stop.
type SupersededError struct {
	Self  vm.Identity
	Known uint64 // incarnation of the later run
}

// Error implements error.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("relay: %s has a later run: incarnation %d is known, this one is %d; "+
		"stop one of the two, or start again with an incarnation above the known one", e.Self.Name, e.Known, e.Self.Incarnation)
}

// Client keeps a daemon's view of the agreed state up to date, renews its lease, and
// reports its phase and acknowledgements to the leader. It implements Source.
type Client struct {
	cfg      Config
	history  *History
	children *children
	urgent   chan struct{} // signals that a heartbeat must be sent immediately
	found    chan struct{} // signals that there are new addresses to contact

	mu         sync.Mutex
	view       *View
	changed    chan struct{}
	phase      vm.Phase
	config     uint64 // newest version acknowledged
	epoch      uint64 // newest epoch acknowledged
	whole      bool   // request the full state
	resend     bool   // send no heartbeat in the short form
	lease      time.Duration
	until      vm.Instant // used once the membership contains this run
	confirmed  vm.Instant // send time of the last call that was granted
	up         *upstreams
	superseded error
	joined     bool       // the membership has contained this run
	started    vm.Instant // when Run was called
	reported   vm.Instant // when rejected state was last logged
}

// NewClient returns a client. It does nothing until Run is called.
func NewClient(cfg Config) *Client {
	cfg = cfg.withDefaults()
	return &Client{
		cfg:      cfg,
		history:  NewHistory(),
		children: newChildren(),
		urgent:   make(chan struct{}, 1),
		found:    make(chan struct{}, 1),
		view:     &View{},
		changed:  make(chan struct{}),
		up:       newUpstreams(cfg.Self, cfg.Control),
	}
}

// SetSeeds sets further control addresses, to use when none of those learned from the
// control group answers. A daemon that no leader has confirmed contacts them
// immediately: after a restart of all VMs with seeds that are not in the group,
// waiting for the end of the current retry delay made its callers wait up to 0.2 s
// longer.
func (c *Client) SetSeeds(addrs []string) {
	c.mu.Lock()
	c.up.setSeeds(addrs)
	waits := c.confirmed == 0
	c.mu.Unlock()
	if waits {
		token(c.found)
	}
}

// signal puts a token into a channel of capacity 1, unless it already holds one.
func token(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// ControlGroup returns the peer addresses that the control group last reported.
func (c *Client) ControlGroup() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.up.control)
}

// Upstreams returns the peer addresses that this daemon may sync with, best first.
func (c *Client) Upstreams() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.up.candidates()
}

// ControlVMs returns the peer addresses that may be control VMs, best first. Unlike
// Upstreams, it does not include relays that are not control VMs.
func (c *Client) ControlVMs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.up.controlVMs()
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
	return c.changed
}

// SetPhase sets the daemon's phase and reports it immediately.
func (c *Client) SetPhase(p vm.Phase) {
	c.mu.Lock()
	news := p != c.phase
	c.phase = p
	c.mu.Unlock()
	if news {
		c.pushNow()
	}
}

// Ack reports immediately that the requests in flight fit the daemon's shares under
// the given configuration version and epoch. Numbers lower than those already
// acknowledged are ignored.
func (c *Client) Ack(config, epoch uint64) {
	c.mu.Lock()
	news := config > c.config || epoch > c.epoch
	c.config, c.epoch = max(c.config, config), max(c.epoch, epoch)
	c.mu.Unlock()
	if news {
		c.pushNow()
	}
}

func (c *Client) pushNow() { token(c.urgent) }

// Run syncs until ctx is done or the membership contains a later run of the daemon.
func (c *Client) Run(ctx context.Context) error {
	c.mu.Lock()
	c.started = c.cfg.Clock()
	c.mu.Unlock()
	jitter := startJitter
	if c.cfg.Eager {
		jitter = eagerJitter
	}
	if !vm.Sleep(ctx, c.randomUpTo(jitter)) {
		return nil
	}
	g, ctx := errgroup.WithContext(ctx)
	if c.cfg.Eager {
		g.Go(func() error { c.first(ctx); return nil })
	}
	g.Go(func() error { return c.poll(ctx) })
	g.Go(func() error { return c.push(ctx) })
	return g.Wait()
}

// fetchInitialState requests the first state of a daemon from one more address every
// initialQueryInterval, until the state is known.
func (c *Client) first(ctx context.Context) {
	var asked work.Each
	known := func() bool { return c.Current().Tree != nil || c.supersededBy() != nil }
	asked.InTurn(ctx, firstAskEvery, c.Upstreams, known, func(addr string) {
		c.exchangeAt(ctx, addr, statelessHold, false)
	})
}

// poll requests newer state in a loop. The upstream holds each call until there is
// newer state or the interval ends.
func (c *Client) poll(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		start := c.cfg.Clock()
		out := c.exchange(ctx, c.holdAfter(failures), false)
		if err := c.supersededBy(); err != nil {
			return err
		}
		failures = out.failures(failures)
		c.rest(ctx, c.pause(out, failures, c.cfg.Clock().Sub(start)))
	}
	return nil
}

// waitBeforePoll waits for d or until there are new addresses to contact. It returns
// immediately if d is not positive.
func (c *Client) rest(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.found:
	case <-ctx.Done():
	}
}

// holdTime returns how long the upstream may hold the next poll. After a failure the
// lease must be renewed first, so the reply is wanted immediately. A relay is exempt,
// as it replies only when the leader has answered it.
func (c *Client) holdAfter(failures int) time.Duration {
	if failures > 0 && !c.picksRelay() {
		return 0
	}
	return c.interval()
}

func (c *Client) picksRelay() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	addr, _ := c.up.pick(c.cfg.Clock())
	return c.up.isRelay(addr)
}

// push sends heartbeats that cannot wait for the next poll, and forwards the
// heartbeats of children at least once per interval.
func (c *Client) push(ctx context.Context) error {
	for {
		timer := time.NewTimer(c.interval())
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-c.urgent:
			timer.Stop()
			vm.Sleep(ctx, c.batching())
		case <-timer.C:
			if !c.children.waiting(c.cfg.Clock()) {
				continue
			}
		}
		if ctx.Err() == nil && c.exchange(ctx, 0, true) == callFailed {
			// The heartbeat that could not wait was not delivered.
			vm.Sleep(ctx, c.randomUpTo(pushRetry))
			c.pushNow()
		}
	}
}

// pushDelay returns how long a push waits for further heartbeats to send with it.
func (c *Client) batching() time.Duration {
	if c.children.empty() {
		return minGap / 4
	}
	return batchDelay
}

// heartbeatInterval returns the time between two heartbeats.
func (c *Client) interval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lease > 0 {
		return min(c.cfg.Interval, c.lease/leaseParts)
	}
	return c.cfg.Interval
}

func (c *Client) supersededBy() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.superseded
}

// checkSuperseded checks whether the membership contains a later run of this daemon.
// The caller holds mu.
func (c *Client) checkSuperseded(v *View) {
	m := v.Members()
	if m == nil || c.superseded != nil {
		return
	}
	known, ok := m.Find(c.cfg.Self.Name)
	if ok && known.Same(c.cfg.Self) {
		c.joined = true
	}
	if ok && known.Incarnation > c.cfg.Self.Incarnation {
		if c.cfg.Restarts && !c.joined {
			klog.Warningf("relay: incarnation %d of an earlier run is above this run's %d, the clock was set back; continuing as %d",
				known.Incarnation, c.cfg.Self.Incarnation, known.Incarnation+1)
			c.cfg.Self.Incarnation = known.Incarnation + 1
			c.resend = true
			return
		}
		c.superseded = &SupersededError{Self: c.cfg.Self, Known: known.Incarnation}
		klog.Errorf("relay: superseded by incarnation %d", known.Incarnation)
	}
}

// ownHeartbeat returns the daemon's own heartbeat. The caller holds mu.
func (c *Client) ownHeartbeat() *wire.Heartbeat {
	return &wire.Heartbeat{
		Vm:            vm.ToWire(vm.Member{Identity: c.cfg.Self, Phase: c.phase}),
		ConfigVersion: c.config,
		AckedEpoch:    c.epoch,
	}
}

func (c *Client) randomUpTo(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.up.rng.Int64N(int64(d)))
}
