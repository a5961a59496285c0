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
	// probeTime bounds a probe of another daemon, and witnessTime a call to one that
	// probes others on behalf of this one.
	probeTime   = 100 * time.Millisecond
	witnessTime = 2 * probeTime
	// probeEvery is how long the outcome of a probe that was answered is relied on.
	probeEvery = 250 * time.Millisecond
	// lostFor is how long a daemon that was found lost is left out of address lists
	// before it is probed again.
	lostFor = 500 * time.Millisecond
	// sampled is how many of the daemons that accept client traffic are probed for one
	// address list, and witnesses how many others are asked about those that do not answer.
	sampled   = 2
	witnesses = 3
	// mostProbed bounds the daemons probed for one call.
	mostProbed = 64
)

var (
	probesUnanswered = metrics.GetOrRegisterCounter("entry.probes.unanswered", metrics.DefaultRegistry)
	daemonsLost      = metrics.GetOrRegisterCounter("entry.daemons.found_lost", metrics.DefaultRegistry)
)

// prober finds out for itself whether the daemons that callers are sent to can be
// reached. The leader tells who is silent, but may be lost with them.
type prober struct {
	v *VM

	mu    sync.Mutex
	okAt  vm.Instant // when a sample was last answered
	round chan struct{}
	lost  map[string]vm.Instant // by peer address, until when
}

func newProber(v *VM) *prober { return &prober{v: v, lost: make(map[string]vm.Instant)} }

// without returns the members that are not known to be lost.
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

// check probes a sample of candidates, and when none of it answers all of them. It returns
// once it is known which are lost. Without others to name instead nothing is probed.
func (p *prober) check(candidates, others []*vm.Member) {
	addrs := p.addrs(candidates)
	p.mu.Lock()
	if len(addrs) == 0 || len(others) == 0 || p.okAt != 0 && vm.Monotonic().Sub(p.okAt) < probeEvery {
		p.mu.Unlock()
		return
	}
	over := p.round
	if over == nil {
		over = make(chan struct{})
		p.round = over
		go p.examine(addrs, p.addrs(others), over)
	}
	p.mu.Unlock()
	<-over
}

// addrs returns the peer addresses of members other than this daemon, in random order.
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

// examine is one round; it closes over.
func (p *prober) examine(candidates, others []string, over chan struct{}) {
	began := time.Now()
	sample := candidates[:min(len(candidates), sampled)]
	answers := make(chan bool, len(sample))
	for _, addr := range sample {
		go func() { answers <- p.answers(addr) }()
	}
	reached := 0
	for range sample {
		if <-answers {
			reached++
			break
		}
	}
	if reached > 0 {
		p.end(over, true)
		return
	}
	candidates = candidates[:min(len(candidates), mostProbed)]
	seen := make(chan []policy.Witness, 1)
	go func() { seen <- p.witnesses(candidates, others) }()
	unanswered := append(p.probe(candidates[len(sample):]), sample...)
	lost := policy.Lost(unanswered, <-seen)
	p.note(lost)
	klog.Warningf("entry: daemons that accept client traffic do not answer unanswered=%v lost=%v took=%v", unanswered, lost, time.Since(began))
	p.end(over, false)
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

// witnesses asks other daemons which of the addresses they can't reach either.
func (p *prober) witnesses(addrs, others []string) []policy.Witness {
	others = others[:min(len(others), witnesses)]
	replies := make(chan *wire.ReachReply, len(others))
	for _, other := range others {
		go func() {
			reply, err := p.ask(other, witnessTime, addrs)
			if err != nil {
				klog.Infof("entry: no witness addr=%s: %v", other, err)
			}
			replies <- reply
		}()
	}
	var out []policy.Witness
	for range others {
		if reply := <-replies; reply != nil {
			out = append(out, policy.Witness{Unanswered: reply.Unanswered})
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

// answers reports whether a daemon says that it accepts client traffic.
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
