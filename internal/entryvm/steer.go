package entryvm

import (
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"pearmoor/internal/policy"
	"pearmoor/internal/route"
	"pearmoor/internal/vm"
)

// rolesTTL is how long computed daemon roles are reused: they are read for every request
// sent to a leaf, and their inputs change at most a few times a second.
const rolesTTL = 100 * time.Millisecond

// rolesCache caches the daemon roles.
type rolesCache struct {
	mu         sync.Mutex
	membership *vm.Membership
	computedAt vm.Instant
	roles      roles
}

// roles groups the serving daemons by what they are used for.
type roles struct {
	serving         []*vm.Member
	sufficientCPU   []*vm.Member // with enough CPU for the gather that needs most
	insufficientCPU []*vm.Member // serving, without enough CPU
	eligible        []*vm.Member // callers are sent to these
}

// eligible returns the daemons that callers are sent to: those that policy.Eligible
// selects among the serving ones.
func (v *VM) eligible(ms *vm.Membership) []*vm.Member { return v.roles(ms).eligible }

// roles returns the current roles of the daemons, recomputed if the membership has changed
// or rolesTTL has passed.
func (v *VM) roles(ms *vm.Membership) roles {
	now := vm.Monotonic()
	v.rolesCache.mu.Lock()
	defer v.rolesCache.mu.Unlock()
	if v.rolesCache.membership != ms || now.Sub(v.rolesCache.computedAt) >= rolesTTL || v.draining.Load() {
		previous := v.rolesCache.roles.eligible
		v.rolesCache.membership, v.rolesCache.computedAt = ms, now
		v.rolesCache.roles = computeRoles(v.servingMembers(ms), requiredMillicores(v.engine.Table()))
		if now := v.rolesCache.roles.eligible; !slices.EqualFunc(previous, now, sameName) {
			klog.Infof("entry: callers are sent to %v of %d daemons", memberNames(now), len(ms.Members))
		}
	}
	return v.rolesCache.roles
}

func computeRoles(serving []*vm.Member, required uint32) roles {
	sufficientCPU := policy.SufficientCPU(serving, required)
	return roles{serving: serving, sufficientCPU: sufficientCPU, insufficientCPU: policy.Without(serving, sufficientCPU), eligible: policy.Eligible(serving, required)}
}

// reachable returns the daemons that callers are sent to, with lost daemons replaced by
// others, and the lifetime of a list of these.
func (v *VM) reachable(ms *vm.Membership) ([]*vm.Member, time.Duration) {
	current := v.roles(ms)
	v.prober.ensureProbed(current.sufficientCPU, current.insufficientCPU)
	if remaining := v.prober.excludeLost(current.serving); len(remaining) < len(current.serving) {
		return policy.Eligible(remaining, requiredMillicores(v.engine.Table())), substituteListLifetime
	}
	return current.eligible, addressListLifetime
}

// delegates returns the daemons that this one may ask for parts of a gather: those with
// sufficient CPU. A daemon without sufficient CPU runs a gather only while those are
// unreachable, and so asks other daemons without.
func (v *VM) delegates(ms *vm.Membership) []*vm.Member {
	current := v.roles(ms)
	if slices.ContainsFunc(current.sufficientCPU, v.isSelf) {
		return current.sufficientCPU
	}
	return current.insufficientCPU
}

func (v *VM) isSelf(m *vm.Member) bool { return m.Name == v.conf.Name }

func sameName(a, b *vm.Member) bool { return a.Name == b.Name }

func memberNames(ms []*vm.Member) []string {
	out := make([]string, len(ms))
	for i, m := range ms {
		out[i] = m.Name
	}
	return out
}

// acceptsCallers reports whether a member serves callers, by what all daemons agree on.
func acceptsCallers(m *vm.Member) bool { return m.Phase == vm.Serving && m.CallerAddr != "" }

// servingMembers returns the members that serve callers and are not unresponsive.
func (v *VM) servingMembers(ms *vm.Membership) []*vm.Member {
	unresponsive := v.leafCache.Unresponsive()
	var all []*vm.Member
	for i := range ms.Members {
		m := &ms.Members[i]
		self := m.Name == v.conf.Name
		if !acceptsCallers(m) || self && v.draining.Load() || !self && unresponsive[m.Name] {
			continue
		}
		all = append(all, m)
	}
	return all
}

// requiredMillicores returns the CPU that a VM needs for the most demanding route of a
// table.
func requiredMillicores(t *route.Table) uint32 {
	required := uint32(0)
	if t != nil {
		for _, e := range t.Entries() {
			required = max(required, policy.RequiredMillicores(len(e.Shards), e.TargetLatency))
		}
	}
	return required
}

// insufficientCPUFactor multiplies the number of daemons by which a daemon without
// sufficient CPU divides shared limits. Such a daemon sends few requests, and the shares
// of the daemons with sufficient CPU already add up to the whole limit.
const insufficientCPUFactor = 4

// senderCount returns the number of daemons among which limits shared by all senders to
// leaves are divided, or 0 while it is unknown.
func (v *VM) senderCount() int {
	ms := v.client.Current().Membership()
	if ms == nil {
		return 0
	}
	if sufficient := v.roles(ms).sufficientCPU; slices.ContainsFunc(sufficient, v.isSelf) {
		return len(sufficient)
	}
	return max(insufficientCPUFactor*len(ms.Members), 1)
}
