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
	// startJitter spreads the first call of daemons that start together; eagerJitter
	// does so beside what their VMs' own starts spread it.
	startJitter = 250 * time.Millisecond
	eagerJitter = 60 * time.Millisecond
	// firstAskEvery is the time after which an eager daemon without state asks one
	// address more. After a restart of everything some of those it knows are not up
	// yet, and a call to a VM without power ends only with its time.
	firstAskEvery = 50 * time.Millisecond
	// minGap is the shortest time between two calls of one kind, so that a burst
	// of changes costs a daemon a bounded number of calls.
	minGap = 20 * time.Millisecond
	// batchDelay gathers what a relay's children report at one moment, such as a
	// new configuration in force, into one call.
	batchDelay = 20 * time.Millisecond
	// pushRetry bounds the pause after a push that failed.
	pushRetry = 200 * time.Millisecond
	// leaseParts is how many intervals fit a lease at least. Through a relay a
	// lease is up to two intervals and a call old when it is renewed, which leaves
	// time to find another relay when this one is lost.
	leaseParts = 6
)

// SupersededError ends Run: the membership holds a later run of this daemon. Its
// shares are the later run's, so this one must stop.
type SupersededError struct {
	Self  vm.Identity
	Known uint64 // incarnation of the later run
}

// Error implements error.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("relay: %s has a later run: incarnation %d is known, this one is %d; "+
		"stop one of the two, or start again with an incarnation above the known one", e.Self.Name, e.Known, e.Self.Incarnation)
}

// Client keeps a daemon's view of the agreed state up to date, its lease renewed
// and its own word known to the leader. It implements Source.
type Client struct {
	cfg      Config
	history  *History
	children *children
	urgent   chan struct{} // holds a token when something has to be said at once
	found    chan struct{} // holds a token when there are new addresses to ask

	mu         sync.Mutex
	view       *View
	changed    chan struct{}
	phase      vm.Phase
	config     uint64 // newest version acked
	epoch      uint64 // newest epoch acked
	whole      bool   // ask for the whole state
	resend     bool   // send heartbeats in full
	lease      time.Duration
	until      vm.Instant // end of the lease, usable once the membership holds this run
	confirmed  vm.Instant // send instant of the last call that was granted
	up         *upstreams
	superseded error
	joined     bool       // the membership has held this run
	started    vm.Instant // when Run was called
	reported   vm.Instant // of the last line on state that was refused
}

// NewClient returns a client that does nothing until Run.
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

// SetSeeds names other control addresses to fall back to when none of those
// learned from the group answers. A daemon that no leader has confirmed asks them at
// once: after a restart of everything with seeds that are not of the group, the pause
// it was in made its callers wait up to 0.2 s more.
func (c *Client) SetSeeds(addrs []string) {
	c.mu.Lock()
	c.up.setSeeds(addrs)
	waits := c.confirmed == 0
	c.mu.Unlock()
	if waits {
		token(c.found)
	}
}

// token leaves one token in a channel that holds one at most.
func token(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// ControlGroup returns the peer addresses that the control group named last.
func (c *Client) ControlGroup() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.up.control)
}

// Upstreams returns the peer addresses that this daemon would sync with, best first.
func (c *Client) Upstreams() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.up.candidates()
}

// ControlVMs returns the peer addresses where control VMs may be, best first. Unlike
// Upstreams it names no relay for being one.
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

// SetPhase states the daemon's own phase and sends it at once.
func (c *Client) SetPhase(p vm.Phase) {
	c.mu.Lock()
	news := p != c.phase
	c.phase = p
	c.mu.Unlock()
	if news {
		c.pushNow()
	}
}

// Ack states that what is in flight fits the daemon's shares under the given
// configuration version and epoch, and sends it at once. Lower numbers than
// before are left out.
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

// Run syncs until ctx is done or a later run of the daemon is known.
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

// first asks for the state that a daemon starts with, at one address more every
// firstAskEvery, until it has come.
func (c *Client) first(ctx context.Context) {
	var asked work.Each
	known := func() bool { return c.Current().Tree != nil || c.supersededBy() != nil }
	asked.InTurn(ctx, firstAskEvery, c.Upstreams, known, func(addr string) {
		c.exchangeAt(ctx, addr, statelessHold, false)
	})
}

// poll asks for news, again and again. The upstream holds each call until there
// is some or the interval is over.
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

// rest waits that long, or until there are new addresses to ask. A d that is not
// positive does not wait.
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

// holdAfter is how long the next poll may be held. After a failure the lease has
// to be renewed before anything else, so the reply is wanted at once. A relay
// first has to ask the leader, and replies when that has answered.
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

// push sends at once what can't wait for the next poll, and what children of this
// relay have said, at least every interval.
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
			// What had to be said at once was not heard.
			vm.Sleep(ctx, c.randomUpTo(pushRetry))
			c.pushNow()
		}
	}
}

// batching is how long a push waits for others to join it.
func (c *Client) batching() time.Duration {
	if c.children.empty() {
		return minGap / 4
	}
	return batchDelay
}

// interval is the time between two heartbeats.
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

// checkSuperseded notes a later run of this daemon in the membership.
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
			klog.Warningf("relay: an earlier run has incarnation %d, this one %d; the clock was set back, it goes on as %d",
				known.Incarnation, c.cfg.Self.Incarnation, known.Incarnation+1)
			c.cfg.Self.Incarnation = known.Incarnation + 1
			c.resend = true
			return
		}
		c.superseded = &SupersededError{Self: c.cfg.Self, Known: known.Incarnation}
		klog.Errorf("relay: superseded by incarnation %d", known.Incarnation)
	}
}

// ownHeartbeat is the daemon's own word. The caller holds mu.
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
