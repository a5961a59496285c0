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

// steerEvery is how long the choice of daemons that take callers is used: it is looked
// at for every send, and its inputs change a few times a second at most.
const steerEvery = 100 * time.Millisecond

// steering remembers the choice of daemons that take callers.
type steering struct {
	mu     sync.Mutex
	of     *vm.Membership
	at     vm.Instant
	choice choice
}

// choice is what the daemons that serve are used for.
type choice struct {
	serving  []*vm.Member
	fit      []*vm.Member // with the processor for the widest gathers
	others   []*vm.Member // serving, and not fit
	eligible []*vm.Member // that callers are sent to
}

// eligible returns the daemons that callers are sent to: of those that serve and are not
// silent, those that policy.Eligible chooses.
func (v *VM) eligible(ms *vm.Membership) []*vm.Member { return v.choose(ms).eligible }

// choose returns what the daemons are used for now.
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

// reachable returns the daemons that callers are sent to, as far as this daemon can reach
// them: others in place of those that are lost, and for how long to name these.
func (v *VM) reachable(ms *vm.Membership) ([]*vm.Member, time.Duration) {
	c := v.choose(ms)
	v.prober.check(c.fit, c.others)
	if left := v.prober.without(c.serving); len(left) < len(c.serving) {
		return policy.Eligible(left, widest(v.engine.Table())), substituteLifetime
	}
	return c.eligible, addressLifetime
}

// helpers returns the daemons that this one asks for parts of a gather: the fit ones. One
// that is not fit has a gather only while those are out of reach, and asks others like itself.
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

// serving returns the daemons that serve and are not silent.
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

// widest returns the processor that a table's widest gather asks of a VM.
func widest(t *route.Table) uint32 {
	need := uint32(0)
	if t != nil {
		for _, e := range t.Entries() {
			need = max(need, policy.RequiredMillicores(len(e.Shards), e.TargetLatency))
		}
	}
	return need
}

// idleSharers is how many times the tier's daemons a daemon counts that is not fit. It
// sends for few requests, and the shares of the fit ones add up to the whole.
const idleSharers = 4

// senders returns among how many daemons what is shared by those that send to leaves is
// divided, 0 while that is not known.
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
