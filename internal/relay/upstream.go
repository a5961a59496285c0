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

// maxRelays is how many relays a daemon tries before it asks control directly.
const maxRelays = 2

// How long an upstream that failed is passed over: doubled with each failure in
// a row, and jittered, so that daemons that lost one upstream together don't come
// back together. Control addresses are few and the new leader is one of them, so
// they are tried again sooner.
const (
	firstControlPause = 100 * time.Millisecond
	maxControlPause   = time.Second
	firstRelayPause   = time.Second
	maxRelayPause     = 30 * time.Second
)

// upstreams chooses whom to sync with. It is not safe for concurrent use.
type upstreams struct {
	self    vm.Identity
	control []string // peer addresses of the control group
	named   bool     // the group itself has named them
	seeds   []string // peer addresses given at start or since, which may be out of date
	leader  string   // who was last said to lead, empty if not known
	paused  map[string]pause
	rng     *rand.Rand

	relaysFor *vm.Membership // membership that relays were worked out from
	relays    []string
	direct    bool // a relay has failed, and no control VM has answered since
}

type pause struct {
	until vm.Instant
	last  time.Duration
}

func newUpstreams(self vm.Identity, control []string) *upstreams {
	seed := xxhash.Sum64String(self.Name)
	u := &upstreams{
		self:   self,
		paused: make(map[string]pause),
		rng:    rand.New(rand.NewPCG(seed, self.Incarnation)),
	}
	u.control = u.spread(control)
	u.seeds = slices.Clone(u.control)
	return u
}

// setControl takes the control group's addresses, as the group names them.
func (u *upstreams) setControl(addrs []string) {
	if len(addrs) > 0 {
		u.control, u.named = u.spread(addrs), true
	}
}

// setSeeds takes addresses to fall back to. Those not known before come first: an
// earlier one that is no control VM holds a call for statelessHold before it says that
// it knows nothing.
func (u *upstreams) setSeeds(addrs []string) {
	var fresh, known []string
	for _, a := range addrs {
		if slices.Contains(u.seeds, a) || slices.Contains(u.control, a) {
			known = append(known, a)
		} else {
			fresh = append(fresh, a)
		}
	}
	u.seeds = append(u.spread(fresh), known...)
}

// spread returns the addresses in an order of this daemon's own, so that none is asked
// first by all.
func (u *upstreams) spread(addrs []string) []string {
	sorted := slices.Compact(slices.Sorted(slices.Values(addrs)))
	if len(sorted) == 0 {
		return nil
	}
	first := int(xxhash.Sum64String(u.self.Name) % uint64(len(sorted)))
	return slices.Concat(sorted[first:], sorted[:first])
}

// candidates lists the addresses to sync with, best first. After a relay has failed a
// control VM is asked before any relay: two that are lost would else be asked in turn,
// each while the pause of the other ends, beside a leader that answers.
func (u *upstreams) candidates() []string {
	relays := slices.DeleteFunc(slices.Clone(u.relays), func(a string) bool { return !u.isRelay(a) })
	if u.direct {
		return slices.Concat(u.controlVMs(), relays)
	}
	return slices.Concat(relays, u.controlVMs())
}

// controlVMs lists the addresses where control VMs may be, best first. The one that
// failed longest ago comes first: in a fixed order two dead ones, whose
// pauses end as fast as calls are repeated, would be asked in turn for ever, and
// the daemon would lose its lease beside a third one that works.
func (u *upstreams) controlVMs() []string {
	var list []string
	if u.leader != "" {
		list = append(list, u.leader)
	}
	// All that were learned may have been replaced while this daemon was cut off,
	// and those named at its start may never have been of the group.
	first, last := u.control, u.seeds
	if !u.named {
		first, last = u.seeds, u.control
	}
	control := slices.Clone(first)
	for _, addr := range last {
		if !slices.Contains(control, addr) {
			control = append(control, addr)
		}
	}
	slices.SortStableFunc(control, func(a, b string) int {
		return cmp.Compare(u.paused[a].until, u.paused[b].until)
	})
	for _, addr := range control {
		if addr != u.leader {
			list = append(list, addr)
		}
	}
	return list
}

// pick returns the best candidate that is not passed over at now. When all are,
// it returns the first to become free and how long that takes.
func (u *upstreams) pick(now vm.Instant) (addr string, wait time.Duration) {
	var soonest vm.Instant
	for _, candidate := range u.candidates() {
		until := u.paused[candidate].until
		if until <= now {
			return candidate, 0
		}
		if addr == "" || until < soonest {
			addr, soonest = candidate, until
		}
	}
	return addr, soonest.Sub(now)
}

// failed passes addr over for a while.
func (u *upstreams) failed(addr string, now vm.Instant) {
	first, most := firstControlPause, maxControlPause
	if u.isRelay(addr) {
		first, most = firstRelayPause, maxRelayPause
		u.direct = true
	}
	last := min(max(first, 2*u.paused[addr].last), most)
	u.paused[addr] = pause{until: now.Add(u.jitter(last)), last: last}
	if addr == u.leader {
		u.leader = ""
	}
}

// fails reports whether addr has failed and not worked since.
func (u *upstreams) fails(addr string) bool { return u.paused[addr].last > 0 }

// worked forgets earlier failures of addr.
func (u *upstreams) worked(addr string) {
	delete(u.paused, addr)
	u.direct = u.direct && u.isRelay(addr)
}

// isRelay reports whether addr is asked as a relay. A control VM is not: it passes
// nothing on, and passed over as long as a relay it could not be followed once it leads.
func (u *upstreams) isRelay(addr string) bool {
	return slices.Contains(u.relays, addr) && !slices.Contains(u.control, addr)
}

// redirected takes addr as the leader. It reports false when addr was just found
// not to work: the one who names it has not noticed yet.
func (u *upstreams) redirected(addr string, now vm.Instant) bool {
	if u.paused[addr].until > now {
		return false
	}
	u.leader = addr
	return true
}

// jitter returns a time between half of d and d.
func (u *upstreams) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(u.rng.Int64N(int64(d/2)+1))
}

// members works out the relays of this daemon from a new membership.
func (u *upstreams) members(m *vm.Membership, direct, fanout int) {
	if m == u.relaysFor {
		return
	}
	u.relaysFor = m
	u.relays = relaysOf(m, u.self, direct, fanout)
}

// relaysOf returns the peer addresses of the relays that self should use, best
// first. There are none when the leader can take all members, and for a relay,
// which syncs with the leader.
//
// Relays are the members of a failure domain that rendezvous hashing chooses, one
// for each fanout members and one more, so that the loss of one leaves enough.
// Each daemon ranks them by a hash of its own, so that the daemons of a lost
// relay spread over all that are left.
func relaysOf(m *vm.Membership, self vm.Identity, direct, fanout int) []string {
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
