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
const steerEvery = 100 * time.Millisecond

// rolesCache caches the daemon roles.
type steering struct {
	mu     sync.Mutex
	of     *vm.Membership
	at     vm.Instant
	choice choice
}

// roles groups the serving daemons by what they are used for.
type choice struct {
	serving  []*vm.Member
	fit      []*vm.Member // with enough CPU for the gather that needs most
	others   []*vm.Member // serving, without enough CPU
	eligible []*vm.Member // callers are sent to these
}

// eligible returns the daemons that callers are sent to: those that policy.Eligible
// selects among the serving ones.
func (v *VM) eligible(ms *vm.Membership) []*vm.Member { return v.choose(ms).eligible }

// roles returns the current roles of the daemons, recomputed if the membership has changed
// or rolesTTL has passed.
func (v *VM) choose(ms *vm.Membership) choice {
	now := vm.Monotonic()
	v.steer.mu.Lock()
	defer v.steer.mu.Unlock()
	if v.steer.of != ms || now.Sub(v.steer.at) >= steerEvery || v.draining.Load() {
		before := v.steer.choice.eligible
		v.steer.of, v.steer.at = ms, now
		v.steer.choice = choiceOf(v.serving(ms), widest(v.engine.Table()))
		if now := v.steer.choice.eligible; !slices.EqualFunc(before, now, sameName) {
			klog.Infof("entry: callers are sent to %v of %d daemons", memberNames(now), len(ms.Members))
		}
	}
	return v.steer.choice
}

func choiceOf(serving []*vm.Member, need uint32) choice {
	fit := policy.SufficientCPU(serving, need)
	return choice{serving: serving, fit: fit, others: policy.Without(serving, fit), eligible: policy.Eligible(serving, need)}
}

// reachable returns the daemons that callers are sent to, with lost daemons replaced by
// others, and the lifetime of a list of these.
func (v *VM) reachable(ms *vm.Membership) ([]*vm.Member, time.Duration) {
	c := v.choose(ms)
	v.prober.check(c.fit, c.others)
	if left := v.prober.without(c.serving); len(left) < len(c.serving) {
		return policy.Eligible(left, widest(v.engine.Table())), substituteLifetime
	}
	return c.eligible, addressLifetime
}

// delegates returns the daemons that this one may ask for parts of a gather: those with
// sufficient CPU. A daemon without sufficient CPU runs a gather only while those are
// unreachable, and so asks other daemons without.
func (v *VM) helpers(ms *vm.Membership) []*vm.Member {
	c := v.choose(ms)
	if slices.ContainsFunc(c.fit, v.isSelf) {
		return c.fit
	}
	return c.others
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

// servingMembers returns the members that serve callers and are not unresponsive.
func (v *VM) serving(ms *vm.Membership) []*vm.Member {
	quiet := v.book.Unresponsive()
	var all []*vm.Member
	for i := range ms.Members {
		m := &ms.Members[i]
		self := m.Name == v.conf.Name
		if m.Phase != vm.Serving || m.CallerAddr == "" || self && v.draining.Load() || !self && quiet[m.Name] {
			continue
		}
		all = append(all, m)
	}
	return all
}

// requiredMillicores returns the CPU that a VM needs for the most demanding route of a
// table.
func widest(t *route.Table) uint32 {
	need := uint32(0)
	if t != nil {
		for _, e := range t.Entries() {
			need = max(need, policy.RequiredMillicores(len(e.Shards), e.TargetLatency))
		}
	}
	return need
}

// insufficientCPUFactor multiplies the number of daemons by which a daemon without
// sufficient CPU divides shared limits. Such a daemon sends few requests, and the shares
// of the daemons with sufficient CPU already add up to the whole limit.
const idleSharers = 4

// senderCount returns the number of daemons among which limits shared by all senders to
// leaves are divided, or 0 while it is unknown.
func (v *VM) senders() int {
	ms := v.client.Current().Members()
	if ms == nil {
		return 0
	}
	if fit := v.choose(ms).fit; slices.ContainsFunc(fit, v.isSelf) {
		return len(fit)
	}
	return max(idleSharers*len(ms.Members), 1)
}
