package entryvm

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/policy"
	"pearmoor/internal/vm"
)

const (
	// probeTimeout bounds a probe of another daemon, and indirectProbeTimeout a call that
	// asks another daemon to probe on behalf of this one.
	probeTimeout         = 100 * time.Millisecond
	indirectProbeTimeout = 2 * probeTimeout
	// probeInterval is the time between two probe rounds while callers request address
	// lists, and probeIdleTimeout how long after the last such request the rounds
	// continue. An answered probe is valid for probeResultTTL.
	probeInterval    = 500 * time.Millisecond
	probeIdleTimeout = 5 * time.Second
	probeResultTTL   = probeInterval + probeTimeout
	// lostTTL is how long a daemon found lost is left out of address lists before it is
	// probed again.
	lostTTL = 500 * time.Millisecond
	// sampleSize is the number of daemons in a sample. Each of them is probed once the
	// probes before it have failed or have not answered within probeStagger. If none of
	// the sample answers, all candidates are probed, and indirectProbers other daemons are
	// asked to probe them too.
	sampleSize      = 2
	probeStagger    = 30 * time.Millisecond
	indirectProbers = 3
	// maxProbed bounds the daemons probed in one round or for one Reach call.
	maxProbed = 64
)

var (
	probesUnanswered = metrics.GetOrRegisterCounter("entry.probes.unanswered", metrics.DefaultRegistry)
	daemonsLost      = metrics.GetOrRegisterCounter("entry.daemons.found_lost", metrics.DefaultRegistry)
)

// prober checks whether this daemon can reach the daemons that callers are sent to. The
// leader of the control group reports unresponsive daemons, but it may be lost together
// with them.
type prober struct {
	v *VM

	mu          sync.Mutex
	lastRequest vm.Instant // last request for an address list
	lastAnswer  vm.Instant // last answered probe
	roundDone   chan struct{}
	lost        map[string]vm.Instant // by peer address: end of the exclusion
}

func newProber(v *VM) *prober { return &prober{v: v, lost: make(map[string]vm.Instant)} }

// excludeLost returns the members that are not known to be lost.
func (p *prober) excludeLost(ms []*vm.Member) []*vm.Member {
	now := vm.Monotonic()
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, until := range p.lost {
		if now >= until {
			delete(p.lost, addr)
		}
	}
	if len(p.lost) == 0 {
		return ms
	}
	return slices.DeleteFunc(slices.Clone(ms), func(m *vm.Member) bool { _, lost := p.lost[m.PeerAddr]; return lost })
}

// run starts a probe round every probeInterval while callers request address lists, until
// ctx ends.
func (p *prober) run(ctx context.Context) {
	for vm.Sleep(ctx, probeInterval) {
		p.mu.Lock()
		active := p.lastRequest != 0 && vm.Monotonic().Sub(p.lastRequest) < probeIdleTimeout
		p.mu.Unlock()
		if ms := p.v.client.Current().Membership(); active && ms != nil {
			roles := p.v.roles(ms)
			p.probeSample(roles.sufficientCPU, roles.insufficientCPU)
		}
	}
}

// ensureProbed returns once there is a valid probe result for the candidates. Usually
// there is one already.
func (p *prober) ensureProbed(candidates, others []*vm.Member) {
	p.mu.Lock()
	now := vm.Monotonic()
	p.lastRequest = now
	recent := p.roundDone == nil && p.lastAnswer != 0 && now.Sub(p.lastAnswer) < probeResultTTL
	p.mu.Unlock()
	if !recent {
		p.probeSample(candidates, others)
	}
}

// probeSample probes a sample of the candidates, and all of them if none of the sample
// answers. Without others, which would replace lost candidates, it does nothing.
// Concurrent callers share one round.
func (p *prober) probeSample(candidates, others []*vm.Member) {
	addrs := p.peerAddrs(candidates)
	if len(addrs) == 0 || len(others) == 0 {
		return
	}
	p.mu.Lock()
	done := p.roundDone
	if done == nil {
		done = make(chan struct{})
		p.roundDone = done
		go p.runRound(addrs, p.peerAddrs(others), done)
	}
	p.mu.Unlock()
	<-done
}

// peerAddrs returns the peer addresses of the members other than this daemon, in random
// order.
func (p *prober) peerAddrs(ms []*vm.Member) []string {
	var out []string
	for _, m := range ms {
		if m.PeerAddr != p.v.conf.PeerAddr {
			out = append(out, m.PeerAddr)
		}
	}
	rand.Shuffle(len(out), func(i, k int) { out[i], out[k] = out[k], out[i] })
	return out
}

// runRound runs one probe round and closes done at its end.
func (p *prober) runRound(candidates, others []string, done chan struct{}) {
	start := time.Now()
	sample := candidates[:min(len(candidates), sampleSize)]
	if p.anyReady(sample) {
		p.finishRound(done, true)
		return
	}
	candidates = candidates[:min(len(candidates), maxProbed)]
	reports := make(chan []policy.PeerReport, 1)
	go func() { reports <- p.probeIndirectly(candidates, others) }()
	unanswered := append(p.probe(candidates[len(sample):]), sample...)
	lost := policy.LostDaemons(unanswered, <-reports)
	p.markLost(lost)
	klog.Warningf("entry: daemons that accept client traffic do not answer unanswered=%v lost=%v took=%v", unanswered, lost, time.Since(start))
	p.finishRound(done, false)
}

// anyReady reports whether a daemon at one of the addresses answers that it accepts
// callers. Each is probed only if the probes before it have failed or have not answered
// within probeStagger.
func (p *prober) anyReady(addrs []string) bool {
	results := make(chan bool, len(addrs))
	timer := time.NewTimer(0)
	defer timer.Stop()
	for pending := 0; pending > 0 || len(addrs) > 0; {
		select {
		case <-timer.C:
			if len(addrs) == 0 {
				continue
			}
			addr := addrs[0]
			addrs = addrs[1:]
			pending++
			go func() { results <- p.isReady(addr) }()
			timer.Reset(probeStagger)
		case ok := <-results:
			if ok {
				return true
			}
			pending--
			timer.Reset(0)
		}
	}
	return false
}

func (p *prober) finishRound(done chan struct{}, answered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roundDone = nil
	if answered {
		p.lastAnswer = vm.Monotonic()
	}
	close(done)
}

func (p *prober) markLost(lost []string) {
	daemonsLost.Inc(int64(len(lost)))
	until := vm.Monotonic().Add(lostTTL)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, addr := range lost {
		p.lost[addr] = until
	}
}

// probeIndirectly asks other daemons which of the addresses they cannot reach either.
func (p *prober) probeIndirectly(addrs, others []string) []policy.PeerReport {
	others = others[:min(len(others), indirectProbers)]
	replies := make(chan *wire.ReachReply, len(others))
	for _, other := range others {
		go func() {
			reply, err := p.callReach(other, indirectProbeTimeout, addrs)
			if err != nil {
				klog.Infof("entry: indirect probe failed addr=%s: %v", other, err)
			}
			replies <- reply
		}()
	}
	var out []policy.PeerReport
	for range others {
		if reply := <-replies; reply != nil {
			out = append(out, policy.PeerReport{Unanswered: reply.Unanswered})
		}
	}
	return out
}

// probe returns the addresses that do not answer.
func (p *prober) probe(addrs []string) []string {
	results := make(chan string, len(addrs))
	for _, addr := range addrs {
		go func() {
			if p.isReady(addr) {
				addr = ""
			}
			results <- addr
		}()
	}
	var out []string
	for range addrs {
		if addr := <-results; addr != "" {
			out = append(out, addr)
		}
	}
	return out
}

// isReady reports whether the daemon at addr answers that it accepts callers.
func (p *prober) isReady(addr string) bool {
	reply, err := p.callReach(addr, probeTimeout, nil)
	ok := err == nil && reply.Ready
	if !ok {
		probesUnanswered.Inc(1)
	}
	return ok
}

func (p *prober) callReach(addr string, timeout time.Duration, addrs []string) (*wire.ReachReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	conn, err := p.v.gatherConns.Conn(ctx, addr)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	return wire.NewDRPCContactsClient(conn).Reach(ctx, &wire.ReachRequest{Addrs: addrs})
}

// Reach implements wire.DRPCContactsServer.
func (s contactsServer) Reach(_ context.Context, req *wire.ReachRequest) (*wire.ReachReply, error) {
	addrs := req.Addrs[:min(len(req.Addrs), maxProbed)]
	return &wire.ReachReply{Ready: s.Ready(), Unanswered: s.prober.probe(addrs)}, nil
}
