package entryvm

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"pearmoor/internal/decision"
	"pearmoor/internal/discovery"
	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/policy"
	"pearmoor/internal/route"
	"pearmoor/internal/standin"
)

const (
	// routeCount routes make a configuration of about 0.8 MB on the wire, which the link
	// of the VM without a disk carries in 2 s.
	routeCount    = 4200
	slowLinkRate  = 400_000 // bytes a second
	slowLinkDelay = 30 * time.Millisecond
	// operatorWait is how long an operator waits for a read before it asks another VM,
	// which has the same problem.
	operatorWait = 2 * time.Second
)

type noLeaves struct{}

func (noLeaves) List(context.Context) (discovery.Listing, error) { return discovery.Listing{}, nil }

// runVM runs a VM until the test ends. Other VMs reach it at peerAddr; it listens on lis.
func runVM(t *testing.T, name, peerAddr, dataDir string, lis net.Listener, seeds ...string) *VM {
	t.Helper()
	v, err := New(Config{
		Name: name, Domain: "hall-1", Region: "valley", PeerAddr: peerAddr, CallerAddr: name + ":80",
		Seeds: seeds, FirstStart: true, DataDir: dataDir, DiskBytes: 64 << 20,
		Budget:        policy.BudgetLimits{Ratio: 0.2, Burst: 60, Window: 10 * time.Second},
		LeafDrainTime: time.Second, GracePeriod: time.Second, MaxListLifetime: time.Second, ListPageRate: 10,
		Source: noLeaves{}, Log: decision.New(io.Discard),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- v.Run(ctx, Listeners{Peers: lis}) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("%s: %v", name, err)
		}
	})
	return v
}

// longRelease returns a configuration of routeCount routes, the first of them with the
// given timeout.
func longRelease(number uint64, timeout time.Duration) *route.Release {
	r := &route.Release{Number: number, Services: []route.Service{{Name: "ledger", HealthPath: "/health", Connections: 92, Protocol: "h1"}}}
	for i := range routeCount {
		r.Routes = append(r.Routes, route.Route{
			Name: fmt.Sprintf("route-%05d", i), Host: fmt.Sprintf("host-%03d.example", i%300), Prefix: fmt.Sprintf("/path-%05d/", i),
			Service: "ledger", Repeatable: true, Timeout: time.Second, TargetLatency: 400 * time.Millisecond, Priority: 2, MaxAttempts: 2,
		})
	}
	r.Routes[0].Timeout = timeout
	return r
}

// slowLinkTier is a control VM and a VM without a disk that reaches it over a slow link.
type slowLinkTier struct {
	t             *testing.T
	control       *VM
	slowVM        *VM
	controlClient wire.DRPCControlClient // the control VM, without the slow link
}

func startSlowLinkTier(t *testing.T) *slowLinkTier {
	lis, slowListener := listen(t), listen(t)
	control := lis.Addr().String()
	link, err := standin.NewThrottledLink(control, slowLinkRate, slowLinkDelay)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	linkAddr := link.Addr()
	controlVM := runVM(t, "control", linkAddr, t.TempDir(), lis, linkAddr)
	pool := peer.NewTrustedPool()
	t.Cleanup(func() { _ = pool.Close() })
	conn, err := pool.Conn(t.Context(), control)
	if err != nil {
		t.Fatal(err)
	}
	tier := &slowLinkTier{t: t, control: controlVM, controlClient: wire.NewDRPCControlClient(conn)}
	tier.slowVM = runVM(t, "narrow", slowListener.Addr().String(), "", slowListener, linkAddr)
	return tier
}

// putDirect sends a configuration to the control VM without the slow link.
func (n *slowLinkTier) putDirect(r *route.Release) {
	n.t.Helper()
	body, err := json.Marshal(r)
	if err != nil {
		n.t.Fatal(err)
	}
	n.eventually("the control VM accepts a configuration", func() bool {
		ctx, cancel := context.WithTimeout(n.t.Context(), 10*time.Second)
		defer cancel()
		out, err := n.controlClient.PutRelease(ctx, &wire.ReleaseRequest{Release: body, Operator: "test"})
		return err == nil && out.Held == r.Number
	})
}

func (n *slowLinkTier) eventually(what string, done func() bool) {
	n.t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			n.t.Fatalf("not within 20 s: %s", what)
		}
	}
}

// Guards against reads that time out at every VM, so that an operator takes an
// acknowledged change for lost. An operator reads a long configuration right after a
// change was acknowledged, at a VM with a slow link that has not received the change yet.
//
// The failure came about because the leader's answer carried the whole configuration
// within a call of at most 1.2 s, and a call that timed out started again from the
// beginning. A read of 0.53 MB took 0.52 to 0.72 s over a link of 14 Mbit/s, so 0.8 MB
// never arrived. The change itself is short and reaches the VM soon after the read begins.
func TestLongConfigurationIsReadOverSlowLink(t *testing.T) {
	t.Parallel()
	tier := startSlowLinkTier(t)
	tier.putDirect(longRelease(1, time.Second))
	tier.eventually("the VM has the first configuration", func() bool { return tier.slowVM.releaseNumber.Load() == 1 })
	for number := uint64(2); number <= 4; number++ {
		tier.putDirect(longRelease(number, time.Duration(number)*time.Second))
		ctx, cancel := context.WithTimeout(t.Context(), operatorWait)
		start := time.Now()
		r, err := tier.slowVM.ReadRelease(ctx)
		cancel()
		switch {
		case err != nil:
			t.Errorf("reading configuration %d failed after %v: %v", number, time.Since(start), err)
		case r == nil || r.Number < number:
			t.Errorf("configuration %d was acknowledged, but the read returned %v", number, r)
		case len(r.Routes) != routeCount || r.Routes[0].Timeout != time.Duration(number)*time.Second:
			t.Errorf("configuration %d: %d routes, the first with a timeout of %v", number, len(r.Routes), r.Routes[0].Timeout)
		}
		tier.eventually("the VM has the change", func() bool { return tier.slowVM.releaseNumber.Load() == number })
	}
}

// Guards against a long configuration that is accepted but never acknowledged. An operator
// sends it to a VM with a slow link. The control group accepts it, but the VM times out
// before the answer, sends it again, and finally reports an unknown outcome, and so does
// the next VM.
//
// The failure came about because every call had a limit of 1.2 s whatever it carried, and
// VMs that do not lead were called first. A configuration of 0.8 MB took 7 s: two relays
// received part of it and refused, the call to the leader timed out after 1.201 s, and the
// acknowledged retry changed nothing. The timeout must allow for the size of the payload,
// and an accepted configuration must not be sent again.
func TestLongConfigurationIsAcknowledgedOverSlowLink(t *testing.T) {
	t.Parallel()
	tier := startSlowLinkTier(t)
	tier.putDirect(longRelease(1, time.Second))
	tier.eventually("the VM has the first configuration", func() bool { return tier.slowVM.releaseNumber.Load() == 1 })
	start := time.Now()
	if err := tier.slowVM.PutRelease(t.Context(), longRelease(2, 2*time.Second)); err != nil {
		t.Errorf("not acknowledged after %v: %v", time.Since(start), err)
	}
	firstTook := time.Since(start)
	start = time.Now()
	if err := tier.slowVM.PutRelease(t.Context(), longRelease(2, 2*time.Second)); err != nil || time.Since(start) > firstTook/2 {
		t.Errorf("second call: %v after %v, the first took %v", err, time.Since(start), firstTook)
	}
	tier.eventually("the VM has the change", func() bool { return tier.slowVM.releaseNumber.Load() == 2 })
}

// Guards against reads of a long configuration at a VM with a slow link: the VM has the
// configuration, but sending it takes longer than the operator waits. The read must be
// redirected to the leader, once. A short configuration is read at any VM, and a
// configuration of any size at a control VM.
func TestReadOfLongConfigurationIsRedirectedToLeader(t *testing.T) {
	t.Parallel()
	tier := startSlowLinkTier(t)
	short := longRelease(1, time.Second)
	short.Routes = short.Routes[:100]
	tier.putDirect(short)
	tier.eventually("the VM has the short configuration", func() bool { return tier.slowVM.releaseNumber.Load() == 1 })
	if host, err := tier.slowVM.ReadRedirect(t.Context()); host != "" || err != nil {
		t.Errorf("the read of a short configuration is redirected to %q: %v", host, err)
	}
	tier.putDirect(longRelease(2, time.Second))
	tier.eventually("the VM has the long configuration", func() bool { return tier.slowVM.releaseNumber.Load() == 2 })
	if host, err := tier.slowVM.ReadRedirect(t.Context()); host != "127.0.0.1" || err != nil {
		t.Errorf("the read of a long configuration is redirected to %q: %v", host, err)
	}
	tier.eventually("the control VM has the long configuration", func() bool { return tier.control.releaseNumber.Load() == 2 })
	if host, err := tier.control.ReadRedirect(t.Context()); host != "" || err != nil {
		t.Errorf("a read at the control VM is redirected to %q: %v", host, err)
	}
}
