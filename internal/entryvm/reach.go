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
	probeTime   = 100 * time.Millisecond
	witnessTime = 2 * probeTime
	// probeInterval is the time between two probe rounds while callers request address
	// lists, and probeIdleTimeout how long after the last such request the rounds
	// continue. An answered probe is valid for probeResultTTL.
	probeEvery = 500 * time.Millisecond
	probedFor  = 5 * time.Second
	freshFor   = probeEvery + probeTime
	// lostTTL is how long a daemon found lost is left out of address lists before it is
	// probed again.
	lostFor = 500 * time.Millisecond
	// sampleSize is the number of daemons in a sample. Each of them is probed once the
	// probes before it have failed or have not answered within probeStagger. If none of
	// the sample answers, all candidates are probed, and indirectProbers other daemons are
	// asked to probe them too.
	sampled   = 2
	nextAfter = 30 * time.Millisecond
	witnesses = 3
	// maxProbed bounds the daemons probed in one round or for one Reach call.
	mostProbed = 64
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

	mu      sync.Mutex
	askedAt vm.Instant // last request for an address list
	okAt    vm.Instant // last answered probe
	round   chan struct{}
	lost    map[string]vm.Instant // by peer address: end of the exclusion
}

func newProber(v *VM) *prober { return &prober{v: v, lost: make(map[string]vm.Instant)} }

// excludeLost returns the members that are not known to be lost.
func (p *prober) without(ms []*vm.Member) []*vm.Member {
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
	for vm.Sleep(ctx, probeEvery) {
		p.mu.Lock()
		wanted := p.askedAt != 0 && vm.Monotonic().Sub(p.askedAt) < probedFor
		p.mu.Unlock()
		if ms := p.v.client.Current().Members(); wanted && ms != nil {
			c := p.v.choose(ms)
			p.probeSome(c.fit, c.others)
		}
	}
}

// ensureProbed returns once there is a valid probe result for the candidates. Usually
// there is one already.
func (p *prober) check(candidates, others []*vm.Member) {
	p.mu.Lock()
	now := vm.Monotonic()
	p.askedAt = now
	fresh := p.round == nil && p.okAt != 0 && now.Sub(p.okAt) < freshFor
	p.mu.Unlock()
	if !fresh {
		p.probeSome(candidates, others)
	}
}

// probeSample probes a sample of the candidates, and all of them if none of the sample
// answers. Without others, which would replace lost candidates, it does nothing.
// Concurrent callers share one round.
func (p *prober) probeSome(candidates, others []*vm.Member) {
	addrs := p.addrs(candidates)
	if len(addrs) == 0 || len(others) == 0 {
		return
	}
	p.mu.Lock()
	over := p.round
	if over == nil {
		over = make(chan struct{})
		p.round = over
		go p.examine(addrs, p.addrs(others), over)
	}
	p.mu.Unlock()
	<-over
}

// peerAddrs returns the peer addresses of the members other than this daemon, in random
// order.
func (p *prober) addrs(ms []*vm.Member) []string {
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
func (p *prober) examine(candidates, others []string, over chan struct{}) {
	began := time.Now()
	sample := candidates[:min(len(candidates), sampled)]
	if p.anyAnswers(sample) {
		p.end(over, true)
		return
	}
	candidates = candidates[:min(len(candidates), mostProbed)]
	seen := make(chan []policy.PeerReport, 1)
	go func() { seen <- p.witnesses(candidates, others) }()
	unanswered := append(p.probe(candidates[len(sample):]), sample...)
	lost := policy.LostDaemons(unanswered, <-seen)
	p.note(lost)
	klog.Warningf("entry: daemons that accept client traffic do not answer unanswered=%v lost=%v took=%v", unanswered, lost, time.Since(began))
	p.end(over, false)
}

// anyReady reports whether a daemon at one of the addresses answers that it accepts
// callers. Each is probed only if the probes before it have failed or have not answered
// within probeStagger.
func (p *prober) anyAnswers(addrs []string) bool {
	answers := make(chan bool, len(addrs))
	due := time.NewTimer(0)
	defer due.Stop()
	for open := 0; open > 0 || len(addrs) > 0; {
		select {
		case <-due.C:
			if len(addrs) == 0 {
				continue
			}
			addr := addrs[0]
			addrs = addrs[1:]
			open++
			go func() { answers <- p.answers(addr) }()
			due.Reset(nextAfter)
		case ok := <-answers:
			if ok {
				return true
			}
			open--
			due.Reset(0)
		}
	}
	return false
}

func (p *prober) end(over chan struct{}, answered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.round = nil
	if answered {
		p.okAt = vm.Monotonic()
	}
	close(over)
}

func (p *prober) note(lost []string) {
	daemonsLost.Inc(int64(len(lost)))
	until := vm.Monotonic().Add(lostFor)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, addr := range lost {
		p.lost[addr] = until
	}
}

// probeIndirectly asks other daemons which of the addresses they cannot reach either.
func (p *prober) witnesses(addrs, others []string) []policy.PeerReport {
	others = others[:min(len(others), witnesses)]
	replies := make(chan *wire.ReachReply, len(others))
	for _, other := range others {
		go func() {
			reply, err := p.ask(other, witnessTime, addrs)
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
	answers := make(chan string, len(addrs))
	for _, addr := range addrs {
		go func() {
			if p.answers(addr) {
				addr = ""
			}
			answers <- addr
		}()
	}
	var out []string
	for range addrs {
		if addr := <-answers; addr != "" {
			out = append(out, addr)
		}
	}
	return out
}

// isReady reports whether the daemon at addr answers that it accepts callers.
func (p *prober) answers(addr string) bool {
	reply, err := p.ask(addr, probeTime, nil)
	ok := err == nil && reply.Ready
	if !ok {
		probesUnanswered.Inc(1)
	}
	return ok
}

func (p *prober) ask(addr string, limit time.Duration, about []string) (*wire.ReachReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	conn, err := p.v.partConns.Conn(ctx, addr)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	return wire.NewDRPCContactsClient(conn).Reach(ctx, &wire.ReachRequest{Addrs: about})
}

// Reach implements wire.DRPCContactsServer.
func (s contactsServer) Reach(_ context.Context, req *wire.ReachRequest) (*wire.ReachReply, error) {
	addrs := req.Addrs[:min(len(req.Addrs), mostProbed)]
	return &wire.ReachReply{Ready: s.Ready(), Unanswered: s.prober.probe(addrs)}, nil
}
