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
	mu       sync.Mutex
	of       *vm.Membership
	at       vm.Instant
	serving  []*vm.Member
	eligible []*vm.Member
	others   []*vm.Member // serving, and not eligible
}

// eligible returns the daemons that callers are sent to: of those that serve and are not
// silent, those that policy.Eligible chooses.
func (v *VM) eligible(ms *vm.Membership) []*vm.Member {
	eligible, _, _ := v.choice(ms)
	return eligible
}

// choice returns the daemons that callers are sent to, the others that serve, and both.
func (v *VM) choice(ms *vm.Membership) (eligible, others, serving []*vm.Member) {
	now := vm.Monotonic()
	v.steer.mu.Lock()
	defer v.steer.mu.Unlock()
	if v.steer.of != ms || now.Sub(v.steer.at) >= steerEvery || v.draining.Load() {
		before := v.steer.eligible
		v.steer.of, v.steer.at = ms, now
		v.steer.serving = v.serving(ms)
		v.steer.eligible = policy.Eligible(v.steer.serving, widest(v.engine.Table()))
		v.steer.others = without(v.steer.serving, v.steer.eligible)
		if !slices.EqualFunc(before, v.steer.eligible, sameName) {
			klog.Infof("entry: callers are sent to %v of %d daemons", memberNames(v.steer.eligible), len(ms.Members))
		}
	}
	return v.steer.eligible, v.steer.others, v.steer.serving
}

// reachable returns the daemons that callers are sent to, as far as this daemon can reach
// them: others in place of those that are lost, and for how long to name these.
func (v *VM) reachable(ms *vm.Membership) ([]*vm.Member, time.Duration) {
	eligible, others, serving := v.choice(ms)
	v.prober.check(eligible, others)
	if left := v.prober.without(serving); len(left) < len(serving) {
		return policy.Eligible(left, widest(v.engine.Table())), substituteLifetime
	}
	return eligible, addressLifetime
}

// helpers returns the daemons that this one asks for parts of a gather: those that callers
// are sent to. A daemon that they are not sent to gets a gather only while those are out of
// reach, and asks others like itself.
func (v *VM) helpers(ms *vm.Membership) []*vm.Member {
	eligible, others, _ := v.choice(ms)
	if slices.ContainsFunc(eligible, func(m *vm.Member) bool { return m.Name == v.conf.Name }) {
		return eligible
	}
	return others
}

// without returns the members that are not among some, which has the same order.
func without(all, some []*vm.Member) []*vm.Member {
	return slices.DeleteFunc(slices.Clone(all), func(m *vm.Member) bool {
		found := len(some) > 0 && some[0] == m
		if found {
			some = some[1:]
		}
		return found
	})
}

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
	quiet := v.book.Quiet()
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
			need = max(need, policy.Millicores(len(e.Shards), e.TargetLatency))
		}
	}
	return need
}

// idleSharers is how many times the tier's daemons a daemon counts that callers are not
// sent to. It gets a few requests all the same, of callers with an old list, and the
// shares of the others add up to the whole.
const idleSharers = 4

// senders returns among how many daemons what is shared by those that send to leaves is
// divided, 0 while that is not known.
func (v *VM) senders() int {
	ms := v.client.Current().Members()
	if ms == nil {
		return 0
	}
	eligible := v.eligible(ms)
	for _, m := range eligible {
		if m.Name == v.conf.Name {
			return len(eligible)
		}
	}
	return max(idleSharers*len(ms.Members), 1)
}
