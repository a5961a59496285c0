package directory

import (
	"math/rand/v2"

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
	open := listable(v, self, now)
	if len(open) == 0 {
		return nil, refuse(contract.ReasonUnconfirmed, errors.New("no daemon is known to be serving"))
	}
	homes := homeNames(v, services)
	near, far := split(open, func(m vm.Member) bool { return homes[m.Name] })
	used := make(map[string]int)
	ordered := l.spread(nil, near, used)
	region := self.Region
	if len(ordered) > 0 {
		region = ordered[0].Region
	}
	beside, away := split(far, func(m vm.Member) bool { return m.Region == region })
	ordered = l.spread(ordered, beside, used)
	return addresses(l.spread(ordered, away, used)), nil
}

func refuse(reason contract.Reason, cause error) error {
	return &contract.Error{Verdict: contract.NotRun, Reason: reason, RetryAfter: retryAfterMS, Cause: cause}
}

// listable returns the members that callers may be sent to.
func listable(v *relay.View, self vm.Identity, now vm.Instant) []vm.Member {
	var out []vm.Member
	for _, m := range v.Settled.Members {
		if m.Phase != vm.Serving || m.CallerAddr == "" {
			continue
		}
		if !staysServing(v.Pending, m) {
			continue
		}
		if m.Name == self.Name && (m.Incarnation != self.Incarnation || !v.Confirmed(now)) {
			continue
		}
		out = append(out, m)
	}
	return out
}

// staysServing reports whether m is still Serving in the membership to come. A
// caller keeps its list past the moment that membership settles.
func staysServing(pending *vm.Membership, m vm.Member) bool {
	if pending == nil {
		return true
	}
	next, ok := pending.Find(m.Name)
	return ok && next.Phase == vm.Serving && next.Incarnation == m.Incarnation
}

func homeNames(v *relay.View, services []string) map[string]bool {
	names := make(map[string]bool)
	if len(services) > maxServices {
		return names
	}
	for _, service := range services {
		e, ok := v.Tree.Effective(service)
		if !ok {
			continue
		}
		for _, home := range v.HomesOf(service, e) {
			names[home.Name] = true
		}
	}
	return names
}

func split(members []vm.Member, first func(vm.Member) bool) (yes, no []vm.Member) {
	for _, m := range members {
		if first(m) {
			yes = append(yes, m)
		} else {
			no = append(no, m)
		}
	}
	return yes, no
}

// spread adds members to out at random, up to maxAddresses, but takes the next
// one from a failure domain that the list has used least so far: the address
// tried after a failed one should not be lost to the same fault. The first place
// is uniform over members. Were the domains drawn first, a daemon alone in its
// domain would get the callers that three share elsewhere.
func (l lister) spread(out, members []vm.Member, used map[string]int) []vm.Member {
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

func (l lister) shuffle(members []vm.Member) {
	for i := len(members) - 1; i > 0; i-- {
		j := l.rand(i + 1)
		members[i], members[j] = members[j], members[i]
	}
}

func addresses(members []vm.Member) []contract.Address {
	out := make([]contract.Address, len(members))
	for i, m := range members {
		out[i] = contract.Address{VM: m.Name, URL: m.CallerAddr, Domain: m.Domain}
	}
	return out
}
