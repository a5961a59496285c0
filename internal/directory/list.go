package directory

import (
	"iter"
	"math/rand/v2"
	"slices"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
	"pearmoor/internal/relay"
	"pearmoor/internal/vm"
)

const (
	// maxAddresses bounds a list, however many daemons there are.
	maxAddresses = 8
	// maxServices bounds the work of one list. A path with more query services
	// below it has homes on so many daemons that preferring them gains nothing.
	maxServices = 64
	// drawn is from how many members of a region the fall-back is chosen.
	drawn = 4 * maxAddresses
	// retryAfterMS is when a caller that got no list may ask again.
	retryAfterMS = 1000
)

// List returns the entries that a caller of path should try, in order: first the
// homes of the path's query services, which save a hop, then other daemons to
// fall back to. Only members that are Serving, and stay so in a pending
// membership, are listed; self is left out without a valid lease. The error is a
// *contract.Error with verdict NotRun.
func List(v *relay.View, path string, self vm.Identity, now vm.Instant) ([]contract.Address, error) {
	return lister{rand: rand.IntN}.list(v, path, self, now)
}

// lister orders addresses by a source of random numbers in [0, n).
type lister struct {
	rand func(n int) int
}

func (l lister) list(v *relay.View, path string, self vm.Identity, now vm.Instant) ([]contract.Address, error) {
	if v == nil || v.Tree == nil || v.Settled == nil {
		return nil, refuse(contract.ReasonUnconfirmed, errors.New("this daemon has not yet learned the configuration"))
	}
	services := v.Tree.Services(path)
	if len(services) == 0 {
		err := contract.Refuse(contract.ReasonUnknownPath, errors.Newf("no query service at or below %q", path))
		return nil, err
	}
	f := filter{view: v, self: self, alone: !v.Confirmed(now)}
	used := make(map[string]int)
	near := f.homes(services)
	ordered := l.spread(nil, near, used)
	region := self.Region
	if len(ordered) > 0 {
		region = ordered[0].Region
	}
	beside, away := l.others(f, near, region)
	ordered = l.spread(ordered, beside, used)
	ordered = l.spread(ordered, away, used)
	if len(ordered) == 0 {
		return nil, refuse(contract.ReasonUnconfirmed, errors.New("no daemon is known to be serving"))
	}
	return addresses(ordered), nil
}

func refuse(reason contract.Reason, cause error) error {
	return &contract.Error{Verdict: contract.NotRun, Reason: reason, RetryAfter: retryAfterMS, Cause: cause}
}

// filter knows which members callers may be sent to.
type filter struct {
	view  *relay.View
	self  vm.Identity
	alone bool // self has no lease
}

func (f *filter) lists(m *vm.Member) bool {
	if m.Phase != vm.Serving || m.CallerAddr == "" {
		return false
	}
	if m.Name == f.self.Name && (f.alone || m.Incarnation != f.self.Incarnation) {
		return false
	}
	return staysServing(f.view.Pending, m)
}

// staysServing reports whether m is still Serving in the membership to come. A
// caller keeps its list past the moment that membership settles.
func staysServing(pending *vm.Membership, m *vm.Member) bool {
	if pending == nil {
		return true
	}
	next, ok := pending.Find(m.Name)
	return ok && next.Phase == vm.Serving && next.Incarnation == m.Incarnation
}

// homes returns the homes of services that may be listed, each once.
func (f *filter) homes(services []string) []*vm.Member {
	if len(services) > maxServices {
		return nil
	}
	var out []*vm.Member
	for _, service := range services {
		e, ok := f.view.Tree.Effective(service)
		if !ok {
			continue
		}
		homes := f.view.HomesOf(service, e)
		for i := range homes {
			if !holds(out, &homes[i]) && f.lists(&homes[i]) {
				out = append(out, &homes[i])
			}
		}
	}
	return out
}

func holds(members []*vm.Member, m *vm.Member) bool {
	for _, other := range members {
		if other.Name == m.Name {
			return true
		}
	}
	return false
}

// others draws members besides near at random: enough of the region to choose
// from, or all there are, and those of other regions met on the way. It looks at
// no more members than that takes, however many there are.
func (l lister) others(f filter, near []*vm.Member, region string) (beside, away []*vm.Member) {
	members := f.view.Settled.Members
	for i := range l.walk(len(members)) {
		m := &members[i]
		if len(beside) == drawn {
			break
		}
		if holds(near, m) || !f.lists(m) {
			continue
		}
		if m.Region == region {
			beside = append(beside, m)
		} else if len(away) < drawn {
			away = append(away, m)
		}
	}
	return beside, away
}

// walk yields each of 0..n-1 once, from a random start by a random stride. The
// first is uniform, and neighbours in the list, whose names often name their
// failure domain, do not come together.
func (l lister) walk(n int) iter.Seq[int] {
	return func(yield func(int) bool) {
		if n == 0 {
			return
		}
		at, stride := l.rand(n), 1
		if n > 2 {
			stride = 1 + l.rand(n-1)
		}
		for gcd(stride, n) != 1 {
			stride++
		}
		for range n {
			if !yield(at) {
				return
			}
			at = (at + stride) % n
		}
	}
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// spread adds members to out at random, up to maxAddresses, but takes the next
// one from a failure domain that the list has used least so far: the address
// tried after a failed one should not be lost to the same fault. The first place
// is uniform over members. Were the domains drawn first, a daemon alone in its
// domain would get the callers that three share elsewhere.
func (l lister) spread(out, members []*vm.Member, used map[string]int) []*vm.Member {
	members = slices.Clone(members)
	l.shuffle(members)
	for len(members) > 0 && len(out) < maxAddresses {
		best := 0
		for i := range members {
			if used[members[i].Domain] < used[members[best].Domain] {
				best = i
			}
		}
		used[members[best].Domain]++
		out = append(out, members[best])
		members = append(members[:best], members[best+1:]...)
	}
	return out
}

func (l lister) shuffle(members []*vm.Member) {
	for i := len(members) - 1; i > 0; i-- {
		j := l.rand(i + 1)
		members[i], members[j] = members[j], members[i]
	}
}

func addresses(members []*vm.Member) []contract.Address {
	out := make([]contract.Address, len(members))
	for i, m := range members {
		out[i] = contract.Address{VM: m.Name, URL: m.CallerAddr, Domain: m.Domain}
	}
	return out
}
