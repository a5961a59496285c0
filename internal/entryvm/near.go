package entryvm

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/vm"
)

const (
	// initialBackoff and maxBackoff bound how long a daemon is not used after a failed
	// call; the time doubles with each consecutive failure. initialBackoff is the time in
	// which other daemons notice a lost one; a killed process restarts within one or two
	// seconds.
	restFirst   = 500 * time.Millisecond
	restLongest = 4 * time.Second
)

// peerDaemons selects and calls the daemons that serve parts of gathers or take over
// requests. It implements forward.PeerDaemons.
type nearDaemons struct {
	v *VM

	mu     sync.Mutex
	byAddr map[string]*helper
}

// peerState is the load and failure state of one daemon.
type helper struct {
	asked    int // calls in flight
	failures int // consecutive
	restTill vm.Instant
}

func newNearDaemons(v *VM) *nearDaemons { return &nearDaemons{v: v, byAddr: make(map[string]*helper)} }

// DelegateAddr implements forward.PeerDaemons. It selects one of the delegates of this
// daemon in the domain.
func (n *nearDaemons) DelegateAddr(domain string) string {
	ms := n.v.client.Current().Members()
	if ms == nil {
		return ""
	}
	return n.pick(n.v.helpers(ms), func(m *vm.Member) bool { return m.Domain == domain })
}

// HandoverAddr implements forward.PeerDaemons. It selects a daemon with sufficient CPU, in
// this daemon's own domain if possible, and none if this daemon has sufficient CPU itself.
func (n *nearDaemons) HandoverAddr(asked []string) string {
	ms := n.v.client.Current().Members()
	if ms == nil {
		return ""
	}
	fit := n.v.choose(ms).fit
	if slices.ContainsFunc(fit, n.v.isSelf) {
		return ""
	}
	fresh := func(m *vm.Member) bool { return !slices.Contains(asked, m.PeerAddr) }
	if addr := n.pick(fit, func(m *vm.Member) bool { return m.Domain == n.v.conf.Domain && fresh(m) }); addr != "" {
		return addr
	}
	return n.pick(fit, fresh)
}

// pick returns the address of the daemon with the fewest calls from this one in flight,
// among the candidates for which accepts returns true and that are not in backoff. Ties
// are broken at random.
func (n *nearDaemons) pick(among []*vm.Member, wanted func(*vm.Member) bool) string {
	now := vm.Monotonic()
	n.mu.Lock()
	defer n.mu.Unlock()
	var best *helper
	addr, ties := "", 0
	for _, m := range among {
		if !wanted(m) || m.PeerAddr == n.v.conf.PeerAddr {
			continue
		}
		h := n.of(m.PeerAddr)
		if now < h.restTill {
			continue
		}
		switch {
		case best == nil || h.asked < best.asked:
			best, addr, ties = h, m.PeerAddr, 1
		case h.asked == best.asked:
			if ties++; rand.N(ties) == 0 {
				best, addr = h, m.PeerAddr
			}
		}
	}
	if best != nil {
		best.asked++
	}
	return addr
}

func (n *nearDaemons) of(addr string) *helper {
	h := n.byAddr[addr]
	if h == nil {
		h = &helper{}
		n.byAddr[addr] = h
	}
	return h
}

// OpenScatter implements forward.PeerDaemons.
func (n *nearDaemons) OpenScatter(ctx context.Context, addr string) (wire.DRPCGather_ScatterClient, error) {
	conn, err := n.v.partConns.Conn(ctx, addr)
	if err != nil {
		return nil, err
	}
	return wire.NewDRPCGatherClient(conn).Scatter(ctx)
}

// OpenHandover implements forward.PeerDaemons.
func (n *nearDaemons) OpenHandover(ctx context.Context, addr string) (wire.DRPCGather_HandoverClient, error) {
	conn, err := n.v.partConns.Conn(ctx, addr)
	if err != nil {
		return nil, err
	}
	return wire.NewDRPCGatherClient(conn).Handover(ctx)
}

// ReportResult implements forward.PeerDaemons.
func (n *nearDaemons) ReportResult(addr string, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.of(addr)
	h.asked--
	if err == nil {
		h.failures = 0
	} else {
		h.rest()
	}
	if h.asked == 0 && h.failures == 0 {
		delete(n.byAddr, addr) // VMs are replaced daily; the map must not grow
	}
}

// ReportOverdue implements forward.PeerDaemons.
func (n *nearDaemons) ReportOverdue(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.of(addr).rest()
}

func (h *helper) rest() {
	h.restTill = vm.Monotonic().Add(min(restFirst<<min(h.failures, 8), restLongest))
	h.failures++
}
