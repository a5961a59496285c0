package relay

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

const (
	leaderAddr   = "leader"
	service      = "/desk/s1"
	maxDrainTime = 300 * time.Millisecond // longest time that requests in flight take
)

// daemon is a client with a query path that always has as many requests in flight as
// its shares allow. Requests in flight continue when the shares shrink.
type daemon struct {
	client *Client
	cancel context.CancelFunc

	mu       sync.Mutex
	inFlight map[string]int // by leaf address
	leaseEnd vm.Instant     // no attempt has a later deadline
	runErr   error          // returned by Run
}

// cluster is a leader, its daemons and the network between them.
type cluster struct {
	ctx      context.Context
	start    time.Time
	network  *testNetwork
	leader   *modelLeader
	interval time.Duration // Config.Interval of the daemons
	mu       sync.Mutex
	daemons  []*daemon // all daemons ever started
	running  sync.WaitGroup
}

func newCluster(ctx context.Context, seed uint64) *cluster {
	w := &cluster{ctx: ctx, start: time.Now(), network: newTestNetwork(seed)}
	w.leader = newModelLeader(w.clock)
	w.network.serve(leaderAddr, w.leader)
	go w.leader.run(ctx)
	return w
}

// clock starts at one second, as instant 0 means never.
func (w *cluster) clock() vm.Instant { return vm.Instant(time.Second + time.Since(w.start)) }

func identity(name string, incarnation uint64) vm.Identity {
	return vm.Identity{
		Name: name, Incarnation: incarnation, Domain: fmt.Sprintf("hall-%d", len(name)%3), Region: "valley", PeerAddr: name,
	}
}

// startDaemon starts a daemon. For direct and fanout see Config.
func (w *cluster) startDaemon(id vm.Identity, direct, fanout int) *daemon {
	ctx, cancel := context.WithCancel(w.ctx)
	d := &daemon{cancel: cancel, inFlight: make(map[string]int)}
	d.client = NewClient(Config{
		Self: id, Control: []string{leaderAddr}, Conns: w.network.from(id.PeerAddr),
		Clock: w.clock, MaxDirect: direct, Fanout: fanout, Interval: w.interval,
	})
	d.client.SetPhase(vm.Serving)
	w.network.serve(id.PeerAddr, d.client.Server())
	w.mu.Lock()
	w.daemons = append(w.daemons, d)
	w.mu.Unlock()
	w.running.Add(2)
	go func() { defer w.running.Done(); d.run(ctx) }()
	go func() { defer w.running.Done(); d.useShares(ctx) }()
	return d
}

// upstreams calls f with the upstreams of the daemon's client, under its lock.
func (d *daemon) upstreams(f func(u *upstreams)) {
	d.client.mu.Lock()
	defer d.client.mu.Unlock()
	f(d.client.upstreams)
}

// relays returns the relays that the daemon uses, best first.
func (d *daemon) relays() (out []string) {
	d.upstreams(func(u *upstreams) { out = slices.Clone(u.relays) })
	return out
}

func (d *daemon) run(ctx context.Context) {
	err := d.client.Run(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runErr = err
}

// useShares uses the shares of each view: it waits until requests that exceed them
// have ended, fills them again, and acknowledges the view. Requests in flight when the
// daemon is killed continue on the leaf until their deadline.
func (d *daemon) useShares(ctx context.Context) {
	for ctx.Err() == nil {
		changed := d.client.Changed()
		v := d.client.Current()
		shares := d.shares(v)
		if d.exceeds(shares) {
			vm.Sleep(ctx, maxDrainTime)
		}
		d.setInFlight(ctx, v, shares)
		if v.Tree != nil && ctx.Err() == nil {
			d.client.Ack(v.ConfigVersion, v.Epoch())
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (d *daemon) shares(v *View) map[string]int {
	out := make(map[string]int)
	if v.Tree == nil {
		return out
	}
	for _, path := range v.Tree.Services("/") {
		e, _ := v.Tree.Effective(path)
		for i := range e.Leaves {
			out[e.Leaves[i].Addr], _ = v.Share(path, e, i, d.client.cfg.Self)
		}
	}
	return out
}

func (d *daemon) exceeds(shares map[string]int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for addr, n := range d.inFlight {
		if n > shares[addr] {
			return true
		}
	}
	return false
}

func (d *daemon) setInFlight(ctx context.Context, v *View, shares map[string]int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ctx.Err() == nil && v.HoldsLease(d.client.cfg.Clock()) {
		d.inFlight, d.leaseEnd = shares, v.LeaseEnd
	}
}

// inFlightAt returns the number of requests that the daemon has in flight at a leaf.
// It is 0 after the lease, which no attempt outlives.
func (d *daemon) inFlightAt(addr string, now vm.Instant) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now >= d.leaseEnd {
		return 0
	}
	return d.inFlight[addr]
}

// totalInFlight returns the number of requests that all daemons have in flight at a
// leaf.
func (w *cluster) totalInFlight(addr string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	sum := 0
	for _, d := range w.daemons {
		sum += d.inFlightAt(addr, w.clock())
	}
	return sum
}

func setEdit(path, name, value string) settings.Edit {
	return settings.Edit{Path: path, Name: name, Value: value, Op: settings.Set}
}
