package relay

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pearmoor/internal/domain"
	"pearmoor/internal/vm"
)

// maxRelays is how many relays a daemon tries before it contacts control directly.
const maxRelays = 2

// Limits of the backoff of a failed upstream. It doubles with each consecutive failure
// and is jittered, so that daemons that lost one upstream together do not return
// together. Control addresses are few and the new leader is one of them, so their
// backoff is shorter.
const (
	minControlBackoff = 100 * time.Millisecond
	maxControlBackoff = time.Second
	minRelayBackoff   = time.Second
	maxRelayBackoff   = 30 * time.Second
)

// upstreams selects the address to sync with. It is not safe for concurrent use.
type upstreams struct {
	self           vm.Identity
	control        []string // peer addresses of the control group
	controlLearned bool     // control was reported by the group itself
	seeds          []string // configured peer addresses, which may be outdated
	leader         string   // last reported leader; empty if unknown
	backoffs       map[string]upstreamBackoff
	rng            *rand.Rand

	relayMembership *vm.Membership // membership that relays were selected from
	relays          []string
	preferControl   bool // a relay has failed, and no control VM has answered since
}

type upstreamBackoff struct {
	until vm.Instant
	delay time.Duration
}

func newUpstreams(self vm.Identity, control []string) *upstreams {
	seed := xxhash.Sum64String(self.Name)
	u := &upstreams{
		self:     self,
		backoffs: make(map[string]upstreamBackoff),
		rng:      rand.New(rand.NewPCG(seed, self.Incarnation)),
	}
	u.control = u.orderForSelf(control)
	u.seeds = slices.Clone(u.control)
	return u
}

// setControl sets the control group's addresses as reported by the group.
func (u *upstreams) setControl(addrs []string) {
	if len(addrs) > 0 {
		u.control, u.controlLearned = u.orderForSelf(addrs), true
	}
}

// setSeeds sets fallback addresses. Addresses not known before come first: an earlier
// one that is not a control VM holds a call for statelessHoldTime before it replies
// without state.
func (u *upstreams) setSeeds(addrs []string) {
	var fresh, known []string
	for _, a := range addrs {
		if slices.Contains(u.seeds, a) || slices.Contains(u.control, a) {
			known = append(known, a)
		} else {
			fresh = append(fresh, a)
		}
	}
	u.seeds = append(u.orderForSelf(fresh), known...)
}

// orderForSelf returns the addresses sorted and rotated by a hash of this daemon's
// name, so that the daemons do not all contact the same one first.
func (u *upstreams) orderForSelf(addrs []string) []string {
	sorted := slices.Compact(slices.Sorted(slices.Values(addrs)))
	if len(sorted) == 0 {
		return nil
	}
	first := int(xxhash.Sum64String(u.self.Name) % uint64(len(sorted)))
	return slices.Concat(sorted[first:], sorted[:first])
}

// candidates lists the addresses to sync with, best first. After a relay has failed,
// control VMs come before relays. Otherwise, with two lost relays, the daemon would
// alternate between them, each while the backoff of the other ends, although the
// leader answers.
func (u *upstreams) candidates() []string {
	relays := slices.DeleteFunc(slices.Clone(u.relays), func(a string) bool { return !u.isRelay(a) })
	if u.preferControl {
		return slices.Concat(u.controlVMs(), relays)
	}
	return slices.Concat(relays, u.controlVMs())
}

// controlVMs lists the addresses that may be control VMs, best first: the leader, then
// the others by the end of their backoff, earliest first. In a fixed order a daemon
// would alternate between two lost ones forever, as their backoffs end as fast as
// calls are repeated, and would lose its lease although a third one works.
func (u *upstreams) controlVMs() []string {
	var out []string
	if u.leader != "" {
		out = append(out, u.leader)
	}
	// The learned addresses may all have been replaced while this daemon was cut off,
	// and the configured ones may never have been in the group.
	first, last := u.control, u.seeds
	if !u.controlLearned {
		first, last = u.seeds, u.control
	}
	control := slices.Clone(first)
	for _, addr := range last {
		if !slices.Contains(control, addr) {
			control = append(control, addr)
		}
	}
	slices.SortStableFunc(control, func(a, b string) int {
		return cmp.Compare(u.backoffs[a].until, u.backoffs[b].until)
	})
	for _, addr := range control {
		if addr != u.leader {
			out = append(out, addr)
		}
	}
	return out
}

// pick returns the best candidate that is not backed off at now. If all are, it
// returns the one whose backoff ends first and the time until then.
func (u *upstreams) pick(now vm.Instant) (addr string, wait time.Duration) {
	var soonest vm.Instant
	for _, candidate := range u.candidates() {
		until := u.backoffs[candidate].until
		if until <= now {
			return candidate, 0
		}
		if addr == "" || until < soonest {
			addr, soonest = candidate, until
		}
	}
	return addr, soonest.Sub(now)
}

// markFailed backs off addr.
func (u *upstreams) markFailed(addr string, now vm.Instant) {
	shortest, longest := minControlBackoff, maxControlBackoff
	if u.isRelay(addr) {
		shortest, longest = minRelayBackoff, maxRelayBackoff
		u.preferControl = true
	}
	delay := min(max(shortest, 2*u.backoffs[addr].delay), longest)
	u.backoffs[addr] = upstreamBackoff{until: now.Add(u.jitter(delay)), delay: delay}
	if addr == u.leader {
		u.leader = ""
	}
}

// hasFailed reports whether addr has failed and not worked since.
func (u *upstreams) hasFailed(addr string) bool { return u.backoffs[addr].delay > 0 }

// markWorking clears the failures of addr.
func (u *upstreams) markWorking(addr string) {
	delete(u.backoffs, addr)
	u.preferControl = u.preferControl && u.isRelay(addr)
}

// isRelay reports whether addr is used as a relay. A control VM is not: it forwards
// nothing, and with the longer backoff of a relay the daemon could not follow it once
// it is elected.
func (u *upstreams) isRelay(addr string) bool {
	return slices.Contains(u.relays, addr) && !slices.Contains(u.control, addr)
}

// setLeader sets the leader. It returns false if addr is backed off: the daemon that
// named it has not noticed yet that it is lost.
func (u *upstreams) setLeader(addr string, now vm.Instant) bool {
	if u.backoffs[addr].until > now {
		return false
	}
	u.leader = addr
	return true
}

// jitter returns a random duration between d/2 and d.
func (u *upstreams) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(u.rng.Int64N(int64(d/2)+1))
}

// updateRelays selects the relays of this daemon from a new membership.
func (u *upstreams) updateRelays(m *vm.Membership, direct, fanout int) {
	if m == u.relayMembership {
		return
	}
	u.relayMembership = m
	u.relays = selectRelays(m, u.self, direct, fanout)
}

// selectRelays returns the peer addresses of the relays that self should use, best
// first. There are none if the leader can serve all members directly, or if self is a
// relay, which syncs with the leader.
//
// The relays of a failure domain are members of it chosen by rendezvous hashing, one
// for each fanout members plus one, so that enough are left if one is lost. Each
// daemon ranks them by a hash of its own name, so that the daemons of a lost relay
// spread over all remaining ones.
func selectRelays(m *vm.Membership, self vm.Identity, direct, fanout int) []string {
	if m == nil || len(m.Members) <= direct {
		return nil
	}
	local := &vm.Membership{}
	for i := range m.Members {
		if m.Members[i].Domain == self.Domain {
			local.Members = append(local.Members, m.Members[i])
		}
	}
	count := (len(local.Members)+fanout-1)/fanout + 1
	relays := &vm.Membership{Members: domain.Homes(local, "relays of "+self.Domain, count)}
	for i := range relays.Members {
		if relays.Members[i].Name == self.Name {
			return nil
		}
	}
	var addrs []string
	for _, r := range domain.Homes(relays, self.Name, maxRelays) {
		addrs = append(addrs, r.PeerAddr)
	}
	return addrs
}
