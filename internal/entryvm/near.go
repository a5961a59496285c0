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
	// restFirst and restLongest bound how long a daemon is not asked for parts after a
	// call to it has failed; doubled with each failure more. The first is as long as it
	// takes others to notice a daemon that is lost; a process that was killed is back
	// within a second or two.
	restFirst   = 500 * time.Millisecond
	restLongest = 4 * time.Second
)

// nearDaemons finds daemons near leaves. It implements forward.Near.
type nearDaemons struct {
	v *VM

	mu     sync.Mutex
	byAddr map[string]*helper
}

// helper is what is known of one daemon that is asked for parts.
type helper struct {
	asked    int // calls under way
	failures int // in a row
	restTill vm.Instant
}

func newNearDaemons(v *VM) *nearDaemons { return &nearDaemons{v: v, byAddr: make(map[string]*helper)} }

// Daemon implements forward.Near: one of this daemon's helpers in the domain.
func (n *nearDaemons) DelegateAddr(domain string) string {
	ms := n.v.client.Current().Members()
	if ms == nil {
		return ""
	}
	return n.pick(n.v.helpers(ms), func(m *vm.Member) bool { return m.Domain == domain })
}

// Runner implements forward.Near: a fit daemon, of this one's own domain where there is one.
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

// pick returns the daemon with the fewest calls of this one under way, of those wanted that
// are not left alone after a failure.
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

// Scatter implements forward.Near.
func (n *nearDaemons) OpenScatter(ctx context.Context, addr string) (wire.DRPCGather_ScatterClient, error) {
	conn, err := n.v.partConns.Conn(ctx, addr)
	if err != nil {
		return nil, err
	}
	return wire.NewDRPCGatherClient(conn).Scatter(ctx)
}

// Handover implements forward.Near.
func (n *nearDaemons) OpenHandover(ctx context.Context, addr string) (wire.DRPCGather_HandoverClient, error) {
	conn, err := n.v.partConns.Conn(ctx, addr)
	if err != nil {
		return nil, err
	}
	return wire.NewDRPCGatherClient(conn).Handover(ctx)
}

// Ended implements forward.Near.
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
		delete(n.byAddr, addr) // VMs are replaced every day
	}
}

// Suspect implements forward.Near.
func (n *nearDaemons) ReportOverdue(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.of(addr).rest()
}

func (h *helper) rest() {
	h.restTill = vm.Monotonic().Add(min(restFirst<<min(h.failures, 8), restLongest))
	h.failures++
}
