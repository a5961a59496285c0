package entryvm

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pearmoor/internal/decision"
	"pearmoor/internal/link/target"
	"pearmoor/internal/policy"
	"pearmoor/internal/quarantine"
	"pearmoor/internal/route"
	"pearmoor/internal/vm"
)

const (
	crashShards = 6
	crashHost   = "shop.example"
	gatherPath  = "/search/"
	singlePath  = "/fetch/"
	// crashDowntime is how long a crashed leaf is down.
	crashDowntime = 300 * time.Millisecond
	// detectionTime is how soon every VM must know of a request that has crashed three
	// leaves, and maxLateAttempts how many attempts may still reach leaves after that.
	detectionTime   = 2 * time.Second
	maxLateAttempts = 3
)

var crashDialect = &target.Dialect{
	RequestID: "Request-Id", Deadline: "Wait-Ms", LeafID: "Leaf-Id", Signature: "Signature", Load: "Load", NotRun: "Not-Run",
	PartSignatures: "Parts", MissingParts: "Missing",
	ParseLoad: func(string) (policy.Load, bool) { return policy.Load{}, false },
}

// crashTier is a tier of VMs in two failure domains in front of a fleet.
type crashTier struct {
	t      *testing.T
	fleet  *fleet
	seeds  []string
	vms    []*crashVM
	nextID atomic.Int64
	host   string // of the VMs' peer addresses

	configure func(*Config) // changes the configuration of each VM; nil: none
}

var lastHost atomic.Int64

// ownHost returns a loopback address that no other tier uses, in this process or another: a
// VM that starts again listens on its port again, which a connection of another process on a
// shared address may have taken meanwhile.
func ownHost() string {
	pid := os.Getpid()
	return net.IPv4(127, byte(1+pid/250%250), byte(pid%250), byte(1+lastHost.Add(1)%250)).String()
}

type crashVM struct {
	*VM
	callers   string
	listeners Listeners
	stop      func()
	ended     chan struct{} // closed when Run has returned err
	err       error
	mayFail   bool // Run may return an error
}

func startCrashTier(t *testing.T) *crashTier { return startCrashTierWith(t, nil) }

func startCrashTierWith(t *testing.T, configure func(*Config)) *crashTier {
	tier := &crashTier{t: t, fleet: newFleet(t), host: ownHost(), configure: configure}
	const disks, small = 3, 2
	var peers []net.Listener
	for range disks {
		lis := tier.listen()
		peers = append(peers, lis)
		tier.seeds = append(tier.seeds, lis.Addr().String())
	}
	for i, lis := range peers {
		tier.start(fmt.Sprintf("disk-%d", i), i, t.TempDir(), lis)
	}
	for i := range small {
		tier.start(fmt.Sprintf("small-%d", i), i, "", tier.listen())
	}
	eventually(t, "the tier accepts a configuration", func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		return tier.vms[0].PutRelease(ctx, crashRelease()) == nil
	})
	tier.waitReady()
	return tier
}

func crashRelease() *route.Release {
	r := &route.Release{Number: 1, Services: []route.Service{{Name: "fetch", Connections: 30}}}
	gather := route.Route{Name: "gather", Host: crashHost, Prefix: gatherPath, Top: 5, MinCoverage: 0.8}
	for s := range crashShards {
		r.Services = append(r.Services, route.Service{Name: shardName(s), Connections: 30})
		gather.Shards = append(gather.Shards, shardName(s))
	}
	r.Routes = []route.Route{gather, {Name: "single", Host: crashHost, Prefix: singlePath, Service: "fetch"}}
	for i := range r.Routes {
		rt := &r.Routes[i]
		rt.Repeatable, rt.MaxAttempts, rt.Timeout, rt.TargetLatency = true, 2, time.Second, 200*time.Millisecond
	}
	return r
}

func (c *crashTier) start(name string, index int, dataDir string, peers net.Listener) *crashVM {
	callers := listen(c.t)
	conf := Config{
		Name: name, Domain: fmt.Sprintf("hall-%d", index%2), Region: "valley", Millicores: 500,
		PeerAddr: peers.Addr().String(), CallerAddr: callers.Addr().String(),
		Seeds: c.seeds, FirstStart: dataDir != "", DataDir: dataDir, DiskBytes: 64 << 20, MaxLostDisks: 1,
		Budget:        policy.BudgetLimits{Ratio: 0.2, Burst: 600, Window: 10 * time.Second},
		LeafDrainTime: time.Second, GracePeriod: 300 * time.Millisecond, ConfigApplyTime: configApplyTime, OrderResendTime: 5 * time.Second, MaxListLifetime: time.Second, ListPageRate: 1000,
		Source: c.fleet, Dialect: crashDialect, Log: decision.New(io.Discard),
	}
	if c.configure != nil {
		c.configure(&conf)
	}
	v, err := New(conf)
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	out := &crashVM{VM: v, callers: "http://" + callers.Addr().String(), listeners: Listeners{Peers: peers, Callers: callers}, ended: make(chan struct{})}
	go func() {
		defer close(out.ended)
		out.err = v.Run(ctx, out.listeners)
	}()
	var once sync.Once
	out.stop = func() {
		once.Do(func() {
			cancel()
			if <-out.ended; out.err != nil && !out.mayFail {
				c.t.Errorf("%s: %v", name, out.err)
			}
		})
	}
	c.t.Cleanup(out.stop)
	c.vms = append(c.vms, out)
	return out
}

func (c *crashTier) waitReady() {
	c.t.Helper()
	eventually(c.t, "every VM serves", func() bool {
		for _, v := range c.vms {
			if resp, _ := c.ask(v, gatherPath+"probe"); resp != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// replaceSmall stops the VMs without a disk and starts new ones, which have seen no
// request, in their place.
func (c *crashTier) replaceSmall() {
	c.t.Helper()
	kept := c.vms[:0:0]
	var stopped []*crashVM
	for _, v := range c.vms {
		if v.conf.DataDir == "" {
			stopped = append(stopped, v)
		} else {
			kept = append(kept, v)
		}
	}
	c.vms = kept
	for i, v := range stopped {
		v.stop()
		c.start(v.conf.Name, i, "", c.listen())
	}
}

// restart stops every VM and starts all of them again with the same addresses and disks.
func (c *crashTier) restart() { c.restartOn(nil) }

// restartOn is like restart and gives the VMs named in newDirs another data directory.
func (c *crashTier) restartOn(newDirs map[string]string) {
	c.t.Helper()
	previous := c.vms
	c.vms = nil
	for _, v := range previous {
		v.stop()
	}
	for i, v := range previous {
		dir := v.conf.DataDir
		if replaced, ok := newDirs[v.conf.Name]; ok {
			dir = replaced
		}
		c.start(v.conf.Name, i%3, dir, c.listenAt(v.conf.PeerAddr))
	}
}

// listen returns a listener for the peer address of a VM.
func (c *crashTier) listen() net.Listener {
	c.t.Helper()
	lis, err := net.Listen("tcp", net.JoinHostPort(c.host, "0"))
	if err != nil {
		c.t.Fatal(err)
	}
	return lis
}

func (c *crashTier) listenAt(addr string) (lis net.Listener) {
	c.t.Helper()
	eventually(c.t, "an address is free again", func() bool {
		var err error
		lis, err = net.Listen("tcp", addr)
		return err == nil
	})
	return lis
}

// ask sends one attempt. The status is 0 if the connection failed.
func (c *crashTier) ask(v *crashVM, path string) (status int, body string) {
	req, err := http.NewRequest(http.MethodGet, v.callers+path, nil)
	if err != nil {
		c.t.Error(err)
		return 0, ""
	}
	return c.send(req)
}

// send sends req as a new attempt.
func (c *crashTier) send(req *http.Request) (status int, body string) {
	req.Host = crashHost
	req.Header.Set(crashDialect.RequestID, fmt.Sprintf("a-%d", c.nextID.Add(1)))
	req.Header.Set(crashDialect.Deadline, "1000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(text)
}

// runHarmlessLoad requests paths that crash no leaf until ctx ends. An attempt that fails
// is repeated with the same path, as callers do.
func (c *crashTier) runHarmlessLoad(ctx context.Context, vms []*crashVM) (attempts, refused *atomic.Int64) {
	attempts, refused = new(atomic.Int64), new(atomic.Int64)
	for k := range 4 {
		go func() {
			for n := 0; ctx.Err() == nil; n++ {
				path := fmt.Sprintf("%sgood-%d-%d", []string{gatherPath, singlePath}[k%2], k, n)
				for try := range 3 {
					status, body := c.ask(vms[(k+n+try)%len(vms)], path)
					attempts.Add(1)
					if strings.Contains(body, "quarantine") {
						refused.Add(1)
					}
					if status == http.StatusOK {
						break
					}
				}
				vm.Sleep(ctx, 5*time.Millisecond)
			}
		}()
	}
	return attempts, refused
}

func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 20 s: %s", what)
		}
	}
}

// Guards against a request that crashes every leaf that runs it, retried at every VM in
// turn, including VMs that have just started.
func TestCrashingRequestStopsReachingLeaves(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ name, prefix string }{{"gather", gatherPath}, {"single", singlePath}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			tier := startCrashTier(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			attempts, refused := tier.runHarmlessLoad(ctx, slices.Clone(tier.vms[:3]))
			path := c.prefix + crashSuffix
			sendCrashing := func(rounds int) {
				for n := range rounds {
					tier.ask(tier.vms[n%len(tier.vms)], path)
					time.Sleep(700 * time.Millisecond)
				}
			}
			sendCrashing(8)
			tier.replaceSmall()
			tier.waitReady()
			sendCrashing(5)
			tier.fleet.checkLateAttempts(path)
			cancel()
			t.Logf("%d of %d attempts of harmless requests refused as quarantined", refused.Load(), attempts.Load())
			if refused.Load() > 0 {
				t.Errorf("%d of %d attempts of harmless requests were refused", refused.Load(), attempts.Load())
			}
			tier.waitReady()
		})
	}
}

// Guards against a request that crashes leaves and is not recognised when it comes again
// with another header, connection, encoding or query.
func TestCrashingRequestIsRecognisedInEveryForm(t *testing.T) {
	t.Parallel()
	for name, vary := range map[string]func(n int, req *http.Request){
		"header":     func(n int, req *http.Request) { req.Header.Set("Trace", fmt.Sprint(n)) },
		"connection": func(_ int, req *http.Request) { req.Close = true },
		"encoding":   func(n int, req *http.Request) { req.ContentLength -= int64(n%2) * (req.ContentLength + 1) },
		"query":      func(n int, req *http.Request) { req.URL.RawQuery = fmt.Sprint("n=", n) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tier := startCrashTier(t)
			path := gatherPath + crashSuffix
			for n := range 12 {
				req, err := http.NewRequest(http.MethodGet, tier.vms[n%len(tier.vms)].callers+path, strings.NewReader("body"))
				if err != nil {
					t.Fatal(err)
				}
				vary(n, req)
				tier.send(req)
				time.Sleep(700 * time.Millisecond)
			}
			tier.fleet.checkLateAttempts(path)
		})
	}
}

// block sends a request that crashes leaves to v until the control group has blocked it.
func (tier *crashTier) block(v *crashVM, path string) {
	tier.t.Helper()
	eventually(tier.t, "the request is blocked", func() bool {
		status, body := tier.ask(v, path)
		return status == http.StatusServiceUnavailable && strings.Contains(body, "quarantine") && v.knowsBlocked()
	})
}

// blocked reports whether the control group has blocked a request.
func (tier *crashTier) blocked() bool { return tier.vms[0].knowsBlocked() }

// knowsBlocked reports whether v knows of a blocked request. The status of an answer does
// not tell, because a merely suspected request is refused as well while another daemon
// tries it.
func (v *crashVM) knowsBlocked() bool {
	for _, c := range quarantine.CasesFromTree(v.client.Current().Tree) {
		if c.Blocked {
			return true
		}
	}
	return false
}

// Guards against a quarantine that is lost when all VMs restart at once after a request
// was found to crash leaves.
func TestQuarantineSurvivesFullRestart(t *testing.T) {
	t.Parallel()
	tier := startCrashTier(t)
	path := gatherPath + crashSuffix
	tier.block(tier.vms[0], path)
	before := tier.fleet.crashCount(path)
	tier.restart()
	tier.waitReady()
	for _, v := range tier.vms {
		if status, body := tier.ask(v, path); status != http.StatusServiceUnavailable || !strings.Contains(body, "quarantine") {
			t.Errorf("%s: got status %d, body %q", v.conf.Name, status, body)
		}
	}
	if n := tier.fleet.crashCount(path); n > before {
		t.Errorf("%d leaves crashed after the restart", n-before)
	}
}

// Guards against harmless requests being blocked because leaves fail for other reasons:
// failure domains that lose power, all leaves of a service, or all leaves, again and
// again.
func TestLeafFailuresBlockNoHarmlessRequest(t *testing.T) {
	t.Parallel()
	tier := startCrashTier(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	attempts, _ := tier.runHarmlessLoad(ctx, slices.Clone(tier.vms))
	for n := range 16 {
		tier.fleet.crashLeaves(func(l *fleetLeaf) bool {
			switch n % 4 {
			case 0:
				return l.domain == "hall-0"
			case 1:
				return l.service == "fetch"
			case 2:
				return l.domain == "hall-1"
			}
			return true
		})
		time.Sleep(crashDowntime + crashDowntime/3)
	}
	cancel()
	suspected, blocked := 0, 0
	for _, c := range quarantine.CasesFromTree(tier.vms[0].client.Current().Tree) {
		suspected++
		if c.Blocked {
			blocked++
			t.Errorf("blocked: %+v", c)
		}
	}
	t.Logf("%d attempts, %d requests suspected, %d blocked", attempts.Load(), suspected, blocked)
}
