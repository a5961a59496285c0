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
	// operatorTimeout bounds a call of an operator and controlCallTimeout one call to a
	// control VM, each in addition to the transfer time of its payload (peer.CallTimeout).
	// Operators retry at another daemon after a second or more. A change still in progress
	// here is then harmless, because applying the same change twice has no further effect.
	operatorTimeout    = 4 * time.Second
	controlCallTimeout = 1200 * time.Millisecond
	// redirectReadBytes is the configuration size from which operators are redirected to
	// the leader to read it: what a link of 14 Mbit/s carries in 0.15 s. versionWait is
	// how long a VM waits for a shorter configuration that it has not received yet; most
	// VMs receive a change within a tenth of a second.
	redirectReadBytes = 256 << 10
	versionWait       = 300 * time.Millisecond
	// routeBytes, and shardBytes for each shard, estimate the size of a route when a
	// configuration is read.
	routeBytes = 190
	shardBytes = 10
	// platformOperator is the operator's name in the audit trail.
	platformOperator = "platform"
	// retryDelay is the pause between two rounds over the control VMs.
	retryDelay = 50 * time.Millisecond
	// maxAddrs is the maximum number of addresses in a list for a caller, and
	// maxLocalAddrs how many of them are in the caller's own domain if enough others are
	// available.
	maxAddrs      = 64
	maxLocalAddrs = maxAddrs / 2
)

var (
	releasesAcked   = metrics.GetOrRegisterCounter("operator.releases.acknowledged", metrics.DefaultRegistry)
	releasesUnclear = metrics.GetOrRegisterCounter("operator.releases.unclear", metrics.DefaultRegistry)
)

// Ready reports whether callers may be sent to this VM.
func (v *VM) Ready() bool { return !v.draining.Load() && v.engine.Table() != nil }

// Addresses returns the addresses of daemons for a caller in the region and failure
// domain, and for how many seconds the caller may keep them.
func (v *VM) Addresses(_, region, domain string) ([]string, float64) {
	ms := v.client.Current().Membership()
	if ms == nil {
		if v.draining.Load() || v.conf.CallerAddr == "" {
			return nil, 0
		}
		return []string{v.conf.CallerAddr}, min(addressListLifetime, v.conf.MaxListLifetime).Seconds()
	}
	reachable, lifetime := v.reachable(ms)
	return addressesFor(reachable, region, domain), min(lifetime, v.conf.MaxListLifetime).Seconds()
}

// addressesFor returns the addresses for one caller: daemons of its region, or of all
// regions if it has none, with those of its own domain first. The order is random each
// time, since callers connect to any of them.
//
// The list includes other domains because a caller that knew only daemons of its own
// domain would have none left when that domain fails, and it keeps the old list until it
// gets a new one.
func addressesFor(eligible []*vm.Member, region, domain string) []string {
	eligible = slices.Clone(eligible)
	rand.Shuffle(len(eligible), func(i, k int) { eligible[i], eligible[k] = eligible[k], eligible[i] })
	var sameDomain, sameRegion, otherRegions []string
	for _, m := range eligible {
		switch {
		case m.Region != region:
			otherRegions = append(otherRegions, m.CallerAddr)
		case m.Domain != domain:
			sameRegion = append(sameRegion, m.CallerAddr)
		default:
			sameDomain = append(sameDomain, m.CallerAddr)
		}
	}
	if len(sameDomain)+len(sameRegion) == 0 {
		return otherRegions[:min(len(otherRegions), maxAddrs)]
	}
	sameDomain = sameDomain[:min(len(sameDomain), max(maxLocalAddrs, maxAddrs-len(sameRegion)))]
	return append(sameDomain, sameRegion[:min(len(sameRegion), maxAddrs-len(sameDomain))]...)
}

// PutRelease makes r the configuration in force everywhere, unless a newer one is in force
// already. After an error other than contract.Faults it is unknown whether r was accepted,
// and the call may be repeated.
func (v *VM) PutRelease(ctx context.Context, r *route.Release) error {
	body, err := json.Marshal(r)
	if err != nil {
		return err
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, peer.CallTimeout(operatorTimeout, len(body)))
	defer cancel()
	leader, reply, err := v.putToLeader(ctx, r.Number, body)
	if err != nil {
		releasesUnclear.Inc(1)
		return err
	}
	if len(reply.Faults) > 0 {
		return settings.FaultsFromWire(reply.Faults)
	}
	releasesAcked.Inc(1)
	klog.Infof("operator: configuration acknowledged release=%d held=%d changed=%v bytes=%d took=%v leader=%s", r.Number, reply.Held, reply.Changed, len(body), time.Since(start), leader)
	return nil
}

// putToLeader finds the leader and sends a release to it, unless the leader already has
// this or a newer one. The transfer of a long release takes a second. Sent to an arbitrary
// control VM it would cost that second at each VM that is not the leader, and again for
// each retry after a lost acknowledgement.
func (v *VM) putToLeader(ctx context.Context, number uint64, body []byte) (leader string, reply *wire.ReleaseReply, err error) {
	for {
		leader, newest, err := v.queryNewest(ctx)
		if err != nil {
			return "", nil, err
		}
		group := v.group().Wire()
		if group == nil {
			group = newest.Group
		}
		if newest.Held != nil && number <= *newest.Held {
			return leader, &wire.ReleaseReply{Held: *newest.Held}, nil
		}
		var reply *wire.ReleaseReply
		_, err = v.callControl(ctx, leader, peer.CallTimeout(controlCallTimeout, len(body)), func(ctx context.Context, c wire.DRPCControlClient) (string, error) {
			out, err := c.PutRelease(ctx, &wire.ReleaseRequest{Release: body, Operator: platformOperator, Group: group})
			reply = out
			return out.GetRedirect(), err
		})
		if err == nil && reply.Redirect == "" {
			return leader, reply, nil
		}
		if !vm.Sleep(ctx, retryDelay) {
			return "", nil, errors.CombineErrors(err, ctx.Err())
		}
	}
}

// ReadRedirect returns the host of the VM at which an operator should read the
// configuration, or an empty string for this VM. It is the leader's host if the
// configuration is long or this VM is behind. Over a link of 14 Mbit/s a read of 1.7 MB
// takes a second, as long as operators wait. Control VMs have five times the bandwidth and
// redirect only while they are behind. The leader never redirects.
func (v *VM) ReadRedirect(ctx context.Context) (host string, err error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	leader, newest, err := v.queryNewest(ctx)
	if err != nil || leader == v.conf.PeerAddr {
		return "", err
	}
	behind := false
	if v.controlNode() != nil || v.releaseBytes.Load() < redirectReadBytes {
		waitCtx, cancel := context.WithTimeout(ctx, versionWait)
		defer cancel()
		if _, err := v.waitForVersion(waitCtx, newest); err == nil {
			return "", nil
		}
		behind = true
	}
	host, _, err = net.SplitHostPort(leader)
	klog.Infof("operator: read sent on to=%s behind=%v bytes=%d version=%d", leader, behind, v.releaseBytes.Load(), newest.Version)
	return host, errors.Wrapf(err, "entry: leader at %q", leader)
}

// ReadRelease returns the newest configuration, or nil if there is none. It returns an
// error if no control VM can confirm which one is the newest, or if this VM does not
// receive it in time.
//
// The leader names the newest version and the VM returns its own copy. A VM that does not
// have it yet usually receives it soon, as a short delta. If the leader's answer carried
// the whole configuration, a long one would take longer than an operator waits, at every
// VM that the operator tries.
func (v *VM) ReadRelease(ctx context.Context) (*route.Release, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	start := time.Now()
	leader, newest, err := v.queryNewest(ctx)
	if err != nil {
		return nil, err
	}
	leaderTime, hadVersion := time.Since(start), v.client.Current().ConfigVersion
	view, err := v.waitForVersion(ctx, newest)
	klog.Infof("operator: newest configuration version=%d leader=%s leader_time=%v had=%d reached=%v", newest.Version, leader, leaderTime, hadVersion, time.Since(start)-leaderTime)
	if err != nil || view.Tree == nil {
		return nil, err
	}
	return route.FromTree(view.Tree)
}

// waitForVersion waits until this VM has the configuration version that the leader named,
// or a newer one.
func (v *VM) waitForVersion(ctx context.Context, newest *wire.NewestReply) (*relay.View, error) {
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

var errOtherGroup = errors.New("entry: the leader belongs to another control group than this VM follows")

// queryNewest asks the leader, which alone can confirm it, which configuration is the newest.
func (v *VM) queryNewest(ctx context.Context) (leader string, newest *wire.NewestReply, err error) {
	leader, err = v.callLeader(ctx, func(ctx context.Context, c wire.DRPCControlClient) (redirect string, err error) {
		newest, err = c.Newest(ctx, &wire.NewestRequest{Group: v.group().Wire()})
		if err == nil && v.guard.Refuses(v.group(), vm.GroupID(newest.GetGroup()), "the newest configuration", "a control VM") {
			return "", errOtherGroup
		}
		return newest.GetRedirect(), err
	})
	return leader, newest, err
}

// callLeader calls the control VMs in turn, following redirects, until the leader has answered
// or ctx ends. It returns the leader's address.
func (v *VM) callLeader(ctx context.Context, call func(context.Context, wire.DRPCControlClient) (redirect string, err error)) (leader string, err error) {
	lastErr := errors.New("entry: no control VM is known")
	for ctx.Err() == nil {
		answered := peer.TryEach(ctx, v.controlContacts(), func(addr string) (string, bool) {
			redirect, err := v.callControl(ctx, addr, controlCallTimeout, call)
			if err != nil {
				lastErr = err
			}
			leader = addr
			return redirect, err == nil && redirect == ""
		})
		if answered {
			return leader, nil
		}
		vm.Sleep(ctx, retryDelay)
	}
	return "", lastErr
}

// callControl makes one call to a control VM, within timeout.
func (v *VM) callControl(ctx context.Context, addr string, timeout time.Duration, call func(context.Context, wire.DRPCControlClient) (redirect string, err error)) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := v.bulkConns.Conn(ctx, addr)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	start := time.Now()
	redirect, err := call(ctx, wire.NewDRPCControlClient(conn))
	// Calls refused at once are not logged one by one, because during an election there
	// are sixty a second. The caller logs the final outcome.
	if elapsed := time.Since(start); err != nil && !peer.NotSent(err) && elapsed >= retryDelay {
		klog.Warningf("operator: call to control at %s failed took=%v: %v", addr, elapsed, err)
	}
	return redirect, err
}
