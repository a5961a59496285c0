package entryvm

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/relay"
	"pearmoor/internal/route"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

const (
	// operatorTime bounds an operator's call, and controlTime one call to a control VM,
	// each beside the time for what it carries (peer.TimeFor). Operators ask another daemon
	// after a second or more; an order still under way here is harmless, since the same
	// order changes nothing the second time.
	operatorTime = 4 * time.Second
	controlTime  = 1200 * time.Millisecond
	// longRead is the size from which operators are sent on to read it: what a link of
	// 14 Mbit/s carries in 0.15 s. reachTime is how long a VM waits for a short one that
	// it has not got yet; a change comes to most in a tenth of a second.
	longRead  = 256 << 10
	reachTime = 300 * time.Millisecond
	// routeBytes, and shardBytes for each shard, are what a route takes in a read.
	routeBytes = 190
	shardBytes = 10
	// retryPause is between two rounds over the control VMs.
	retryPause = 50 * time.Millisecond
	// mostAddrs is how many addresses a caller is told at most, and nearAddrs how many
	// of them are of its own domain where others are to be had.
	mostAddrs = 64
	nearAddrs = mostAddrs / 2
)

var (
	putsAcked  = metrics.GetOrRegisterCounter("operator.releases.acknowledged", metrics.DefaultRegistry)
	putsFailed = metrics.GetOrRegisterCounter("operator.releases.unclear", metrics.DefaultRegistry)
)

// Ready reports whether callers may be sent to this VM.
func (v *VM) Ready() bool { return !v.draining.Load() && v.engine.Table() != nil }

// Addresses returns the entry addresses for a caller in that domain, and for how
// many seconds to keep them.
func (v *VM) Addresses(_, region, domain string) ([]string, float64) {
	ms := v.client.Current().Members()
	if ms == nil {
		if v.draining.Load() || v.conf.CallerAddr == "" {
			return nil, 0
		}
		return []string{v.conf.CallerAddr}, min(addressLifetime, v.conf.Lifetime).Seconds()
	}
	reachable, keep := v.reachable(ms)
	return named(reachable, region, domain), min(keep, v.conf.Lifetime).Seconds()
}

// named returns whom to name to a caller: daemons of its region, else of all, those of
// its own domain first, each time drawn anew, since callers take any of them.
//
// Daemons of its own domain alone would leave it without any when the domain is lost,
// and a caller that gets no new list from the lost ones either keeps the old one.
func named(eligible []*vm.Member, region, domain string) []string {
	eligible = slices.Clone(eligible)
	rand.Shuffle(len(eligible), func(i, k int) { eligible[i], eligible[k] = eligible[k], eligible[i] })
	var near, other, far []string
	for _, m := range eligible {
		switch {
		case m.Region != region:
			far = append(far, m.CallerAddr)
		case m.Domain != domain:
			other = append(other, m.CallerAddr)
		default:
			near = append(near, m.CallerAddr)
		}
	}
	if len(near)+len(other) == 0 {
		return far[:min(len(far), mostAddrs)]
	}
	near = near[:min(len(near), max(nearAddrs, mostAddrs-len(other)))]
	return append(near, other[:min(len(other), mostAddrs-len(near))]...)
}

// PutRelease makes r the configuration in force everywhere unless a newer one is.
// Any other error than contract.Faults leaves open whether it was accepted; the
// same call may be made again.
func (v *VM) PutRelease(ctx context.Context, r *route.Release) error {
	body, err := json.Marshal(r)
	if err != nil {
		return err
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, peer.TimeFor(operatorTime, len(body)))
	defer cancel()
	reply, err := v.putAtLeader(ctx, r.Number, body)
	if err != nil {
		putsFailed.Inc(1)
		return err
	}
	if len(reply.Faults) > 0 {
		return settings.FaultsFromWire(reply.Faults)
	}
	putsAcked.Inc(1)
	klog.Infof("operator: configuration acknowledged release=%d held=%d changed=%v bytes=%d took=%v", r.Number, reply.Held, reply.Changed, len(body), time.Since(began))
	return nil
}

// putAtLeader sends a release to the leader once that is known, and not at all where the
// leader holds it or a newer one. A long release is under way for a second: sent to
// whatever VM comes first it costs that second at each that is not the leader, and each
// resend of an order whose acknowledgement was lost costs it again.
func (v *VM) putAtLeader(ctx context.Context, number uint64, body []byte) (*wire.ReleaseReply, error) {
	for {
		leader, newest, err := v.newest(ctx)
		if err != nil {
			return nil, err
		}
		if newest.Held != nil && number <= *newest.Held {
			return &wire.ReleaseReply{Held: *newest.Held}, nil
		}
		var reply *wire.ReleaseReply
		_, err = v.askOne(ctx, leader, peer.TimeFor(controlTime, len(body)), func(ctx context.Context, c wire.DRPCControlClient) (string, error) {
			out, err := c.PutRelease(ctx, &wire.ReleaseRequest{Release: body, Operator: "platform"})
			reply = out
			return out.GetRedirect(), err
		})
		if err == nil && reply.Redirect == "" {
			return reply, nil
		}
		if !vm.Sleep(ctx, retryPause) {
			return nil, errors.CombineErrors(err, ctx.Err())
		}
	}
}

// ReadPlace returns the host of the VM where an operator reads the configuration better
// than here, empty where that is this VM: the leader's, when the configuration is long or
// this VM is behind. A read of 1.7 MB takes a second over a link of 14 Mbit/s whoever gives it
// back, which is as long as operators wait; control VMs have five times as much of a link,
// and send on only while they are behind. The leader sends nobody on.
func (v *VM) ReadPlace(ctx context.Context) (host string, err error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTime)
	defer cancel()
	leader, newest, err := v.newest(ctx)
	if err != nil || leader == v.conf.PeerAddr {
		return "", err
	}
	behind := false
	if v.node() != nil || v.releaseBytes.Load() < longRead {
		wait, cancel := context.WithTimeout(ctx, reachTime)
		defer cancel()
		if _, err := v.reach(wait, newest); err == nil {
			return "", nil
		}
		behind = true
	}
	host, _, err = net.SplitHostPort(leader)
	klog.Infof("operator: read sent on to=%s behind=%v bytes=%d version=%d", leader, behind, v.releaseBytes.Load(), newest.Version)
	return host, errors.Wrapf(err, "entry: leader at %q", leader)
}

// ReadRelease returns the newest configuration there is, nil when there is none,
// or an error when no control VM is sure which it is, or this VM does not have it in time.
//
// The leader says which it is, and the VM gives back its own. That is the same for a VM that
// has it, and one that has not is about to get it, mostly as a short change; were the whole
// sent with the answer, a long configuration would take longer than an operator waits, at
// every VM that it asks.
func (v *VM) ReadRelease(ctx context.Context) (*route.Release, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTime)
	defer cancel()
	began := time.Now()
	_, newest, err := v.newest(ctx)
	if err != nil {
		return nil, err
	}
	told, had := time.Since(began), v.client.Current().ConfigVersion
	view, err := v.reach(ctx, newest)
	klog.Infof("operator: newest configuration version=%d told=%v had=%d reached=%v", newest.Version, told, had, time.Since(began)-told)
	if err != nil || view.Tree == nil {
		return nil, err
	}
	return route.FromTree(view.Tree)
}

// reach waits until this VM has the tree that the leader named, or a newer one.
func (v *VM) reach(ctx context.Context, newest *wire.NewestReply) (*relay.View, error) {
	for {
		changed := v.client.Changed()
		view := v.client.Current()
		if view.ConfigVersion > newest.Version || view.ConfigVersion == newest.Version && (newest.Version == 0 || view.ConfigDigest == newest.Digest) {
			return view, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, errors.Wrapf(ctx.Err(), "entry: configuration version=%d is the newest, this VM has version=%d digest=%x", newest.Version, view.ConfigVersion, view.ConfigDigest)
		}
	}
}

// newest asks the control VMs in turn, following redirects to the leader, until one is
// sure which tree is the newest. That one leads.
func (v *VM) newest(ctx context.Context) (leader string, newest *wire.NewestReply, err error) {
	last := errors.New("entry: no control VM is known")
	for ctx.Err() == nil {
		answered := peer.Walk(ctx, v.controlContacts(), func(addr string) (string, bool) {
			redirect, err := v.askOne(ctx, addr, controlTime, func(ctx context.Context, c wire.DRPCControlClient) (string, error) {
				out, err := c.Newest(ctx, &wire.NewestRequest{})
				leader, newest = addr, out
				return out.GetRedirect(), err
			})
			if err != nil {
				last = err
			}
			return redirect, err == nil && redirect == ""
		})
		if answered {
			return leader, newest, nil
		}
		vm.Sleep(ctx, retryPause)
	}
	return "", nil, last
}

// askOne makes one call at a control VM, within limit.
func (v *VM) askOne(ctx context.Context, addr string, limit time.Duration, call func(context.Context, wire.DRPCControlClient) (redirect string, err error)) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	conn, err := v.otherConns.Conn(ctx, addr)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	began := time.Now()
	redirect, err := call(ctx, wire.NewDRPCControlClient(conn))
	// A refusal at once is told with the outcome of the whole; in an election there are
	// sixty a second.
	if took := time.Since(began); err != nil && !peer.NotSent(err) && took >= retryPause {
		klog.Warningf("operator: call to control at %s failed took=%v: %v", addr, took, err)
	}
	return redirect, err
}
