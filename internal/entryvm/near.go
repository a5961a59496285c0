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
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 4 * time.Second
)

// peerDaemons selects and calls the daemons that serve parts of gathers or take over
// requests. It implements forward.PeerDaemons.
type peerDaemons struct {
	v *VM

	mu     sync.Mutex
	byAddr map[string]*peerState
}

// peerState is the load and failure state of one daemon.
type peerState struct {
	inFlight     int // calls in flight
	failures     int // consecutive
	backoffUntil vm.Instant
}

func newPeerDaemons(v *VM) *peerDaemons {
	return &peerDaemons{v: v, byAddr: make(map[string]*peerState)}
}

// DelegateAddr implements forward.PeerDaemons. It selects one of the delegates of this
// daemon in the domain.
func (d *peerDaemons) DelegateAddr(domain string) string {
	ms := d.v.client.Current().Membership()
	if ms == nil {
		return ""
	}
	return d.pick(d.v.delegates(ms), func(m *vm.Member) bool { return m.Domain == domain })
}

// HandoverAddr implements forward.PeerDaemons. It selects a daemon with sufficient CPU, in
// this daemon's own domain if possible, and none if this daemon has sufficient CPU itself.
func (d *peerDaemons) HandoverAddr(tried, regions []string) string {
	ms := d.v.client.Current().Membership()
	if ms == nil {
		return ""
	}
	sufficient := d.v.roles(ms).sufficientCPU
	if slices.ContainsFunc(sufficient, d.v.isSelf) {
		return ""
	}
	untried := func(m *vm.Member) bool {
		return !slices.Contains(tried, m.PeerAddr) && (len(regions) == 0 || slices.Contains(regions, m.Region))
	}
	if addr := d.pick(sufficient, func(m *vm.Member) bool { return m.Domain == d.v.conf.Domain && untried(m) }); addr != "" {
		return addr
	}
	return d.pick(sufficient, untried)
}

// pick returns the address of the daemon with the fewest calls from this one in flight,
// among the candidates for which accepts returns true and that are not in backoff. Ties
// are broken at random.
func (d *peerDaemons) pick(candidates []*vm.Member, accepts func(*vm.Member) bool) string {
	now := vm.Monotonic()
	d.mu.Lock()
	defer d.mu.Unlock()
	var best *peerState
	addr, ties := "", 0
	for _, m := range candidates {
		if !accepts(m) || m.PeerAddr == d.v.conf.PeerAddr {
			continue
		}
		state := d.state(m.PeerAddr)
		if now < state.backoffUntil {
			continue
		}
		switch {
		case best == nil || state.inFlight < best.inFlight:
			best, addr, ties = state, m.PeerAddr, 1
		case state.inFlight == best.inFlight:
			if ties++; rand.N(ties) == 0 {
				best, addr = state, m.PeerAddr
			}
		}
	}
	if best != nil {
		best.inFlight++
	}
	return addr
}

func (d *peerDaemons) state(addr string) *peerState {
	state := d.byAddr[addr]
	if state == nil {
		state = &peerState{}
		d.byAddr[addr] = state
	}
	return state
}

// OpenScatter implements forward.PeerDaemons.
func (d *peerDaemons) OpenScatter(ctx context.Context, addr string) (wire.DRPCGather_ScatterClient, error) {
	conn, err := d.v.gatherConns.Conn(ctx, addr)
	if err != nil {
		return nil, err
	}
	return wire.NewDRPCGatherClient(conn).Scatter(ctx)
}

// OpenHandover implements forward.PeerDaemons.
func (d *peerDaemons) OpenHandover(ctx context.Context, addr string) (wire.DRPCGather_HandoverClient, error) {
	conn, err := d.v.gatherConns.Conn(ctx, addr)
	if err != nil {
		return nil, err
	}
	return wire.NewDRPCGatherClient(conn).Handover(ctx)
}

// ReportResult implements forward.PeerDaemons.
func (d *peerDaemons) ReportResult(addr string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	state := d.state(addr)
	state.inFlight--
	if err == nil {
		state.failures = 0
	} else {
		state.backOff()
	}
	if state.inFlight == 0 && state.failures == 0 {
		delete(d.byAddr, addr) // VMs are replaced daily; the map must not grow
	}
}

// ReportOverdue implements forward.PeerDaemons.
func (d *peerDaemons) ReportOverdue(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state(addr).backOff()
}

func (s *peerState) backOff() {
	s.backoffUntil = vm.Monotonic().Add(min(initialBackoff<<min(s.failures, 8), maxBackoff))
	s.failures++
}
