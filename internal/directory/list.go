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
	// maxAddresses bounds the length of a list, regardless of the number of daemons.
	maxAddresses = 8
	// maxServices bounds the work for one list. A path with more query services below
	// it has homes on so many daemons that preferring homes has no benefit.
	maxServices = 64
	// maxCandidates is the maximum number of members of one region that fallback
	// addresses are chosen from.
	maxCandidates = 4 * maxAddresses
	// retryAfterMS is when a caller that was refused a list may ask again.
	retryAfterMS = 1000
)

// List returns the entry addresses that a caller of path should try, in order: first
// the homes of the path's query services, which save a hop, then other daemons as
// fallbacks. It includes only members that are Serving and remain so in a pending
// membership, and excludes self while it has no valid lease. The error is a
// *contract.Error with verdict NotRun.
func List(v *relay.View, path string, self vm.Identity, now vm.Instant) ([]contract.Address, error) {
	return lister{rand: rand.IntN}.list(v, path, self, now)
}

// lister orders addresses using a source of random numbers in [0, n).
type lister struct {
	rand func(n int) int
}

func (l lister) list(v *relay.View, path string, self vm.Identity, now vm.Instant) ([]contract.Address, error) {
	if v == nil || v.Tree == nil || v.Settled == nil {
		return nil, newRefusal(contract.ReasonUnconfirmed, errors.New("this daemon has not yet learned the configuration"))
	}
	services := v.Tree.Services(path)
	if len(services) == 0 {
		err := contract.Refuse(contract.ReasonUnknownPath, errors.Newf("no query service at or below %q", path))
		return nil, err
	}
	f := filter{view: v, self: self, excludeSelf: !v.HoldsLease(now)}
	domainUse := make(map[string]int)
	homes := f.homes(services)
	ordered := l.appendSpread(nil, homes, domainUse)
	region := self.Region
	if len(ordered) > 0 {
		region = ordered[0].Region
	}
	sameRegion, otherRegions := l.fallbacks(f, homes, region)
	ordered = l.appendSpread(ordered, sameRegion, domainUse)
	ordered = l.appendSpread(ordered, otherRegions, domainUse)
	if len(ordered) == 0 {
		return nil, newRefusal(contract.ReasonUnconfirmed, errors.New("no daemon is known to be serving"))
	}
	return toAddresses(ordered), nil
}

func newRefusal(reason contract.Reason, cause error) error {
	return &contract.Error{Verdict: contract.NotRun, Reason: reason, RetryAfter: retryAfterMS, Cause: cause}
}

// filter decides which members may be listed to callers.
type filter struct {
	view        *relay.View
	self        vm.Identity
	excludeSelf bool // self has no valid lease
}

func (f *filter) eligible(m *vm.Member) bool {
	if m.Phase != vm.Serving || m.CallerAddr == "" {
		return false
	}
	if m.Name == f.self.Name && (f.excludeSelf || m.Incarnation != f.self.Incarnation) {
		return false
	}
	return staysServing(f.view.Pending, m)
}

// staysServing reports whether m is still Serving in the pending membership. Callers
// keep using a list after that membership has taken effect.
func staysServing(pending *vm.Membership, m *vm.Member) bool {
	if pending == nil {
		return true
	}
	next, ok := pending.Find(m.Name)
	return ok && next.Phase == vm.Serving && next.Incarnation == m.Incarnation
}

// homes returns the eligible homes of the services without duplicates.
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
			if !containsMember(out, &homes[i]) && f.eligible(&homes[i]) {
				out = append(out, &homes[i])
			}
		}
	}
	return out
}

func containsMember(members []*vm.Member, m *vm.Member) bool {
	for _, other := range members {
		if other.Name == m.Name {
			return true
		}
	}
	return false
}

// fallbacks goes through the members in random order and returns eligible ones other
// than homes: up to maxCandidates of the region and up to maxCandidates of other regions.
// It stops once it has maxCandidates of the region, so that it need not visit all members.
func (l lister) fallbacks(f filter, homes []*vm.Member, region string) (sameRegion, otherRegions []*vm.Member) {
	members := f.view.Settled.Members
	for i := range l.strideOrder(len(members)) {
		m := &members[i]
		if len(sameRegion) == maxCandidates {
			break
		}
		if containsMember(homes, m) || !f.eligible(m) {
			continue
		}
		if m.Region == region {
			sameRegion = append(sameRegion, m)
		} else if len(otherRegions) < maxCandidates {
			otherRegions = append(otherRegions, m)
		}
	}
	return sameRegion, otherRegions
}

// strideOrder yields each of 0..n-1 once, starting at a random index and advancing by
// a random stride. The first index is uniformly distributed. The stride
// usually separates neighbours in the list, whose names often share a failure domain.
func (l lister) strideOrder(n int) iter.Seq[int] {
	return func(yield func(int) bool) {
		if n == 0 {
			return
		}
		i, stride := l.rand(n), 1
		if n > 2 {
			stride = 1 + l.rand(n-1)
		}
		for gcd(stride, n) != 1 {
			stride++
		}
		for range n {
			if !yield(i) {
				return
			}
			i = (i + stride) % n
		}
	}
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// appendSpread appends members to out at random, up to maxAddresses. It takes each
// from a failure domain with the fewest addresses so far, because the address tried
// after a failure should not be affected by the same fault. The first address is
// uniform over members and not over domains; otherwise a daemon alone in its domain
// would get as many callers as all members of a larger domain together.
func (l lister) appendSpread(out, members []*vm.Member, domainUse map[string]int) []*vm.Member {
	members = slices.Clone(members)
	l.shuffle(members)
	for len(members) > 0 && len(out) < maxAddresses {
		best := 0
		for i := range members {
			if domainUse[members[i].Domain] < domainUse[members[best].Domain] {
				best = i
			}
		}
		domainUse[members[best].Domain]++
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

func toAddresses(members []*vm.Member) []contract.Address {
	out := make([]contract.Address, len(members))
	for i, m := range members {
		out[i] = contract.Address{VM: m.Name, URL: m.CallerAddr, Domain: m.Domain}
	}
	return out
}
