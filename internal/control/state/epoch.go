package state

import (
	"slices"
	"sort"
	"sync"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/vm"
)

// maxEpochs bounds the settled epochs whose deltas are kept; a daemon further
// behind gets the whole membership.
const maxEpochs = 256

// applyEpoch makes a pending epoch, unless one is under way or the proposer saw
// another settled one.
func (s *State) applyEpoch(c *wire.EpochCommand) bool {
	if s.pending != nil || c.BaseSettled != s.settled.Epoch {
		return false
	}
	delta := &wire.MembershipDelta{
		FromEpoch: s.settled.Epoch, ToEpoch: s.lastEpoch + 1, Upserts: c.Upserts, Removes: c.Removes,
	}
	pending, err := vm.Apply(s.settled, delta)
	if err != nil {
		return false // the delta was made from the settled epoch just now
	}
	s.lastEpoch, s.pending, s.epochs.pending = delta.ToEpoch, pending, delta
	return true
}

// applySettle puts the pending epoch's shares into use.
func (s *State) applySettle(epoch uint64) bool {
	if s.pending == nil || s.pending.Epoch != epoch {
		return false
	}
	s.settled, s.pending = s.pending, nil
	s.epochs.settle()
	return true
}

// epochs keeps how the newest settled epochs came about.
type epochs struct {
	pending *wire.MembershipDelta
	list    []*wire.MembershipDelta // consecutive: each starts where the one before ended

	mu       sync.Mutex // readers fill composed side by side
	composed map[uint64]*wire.MembershipDelta
}

func (e *epochs) settle() {
	e.list = append(e.list, e.pending)
	e.pending = nil
	if len(e.list) > maxEpochs {
		e.list = slices.Delete(e.list, 0, len(e.list)-maxEpochs)
	}
	e.mu.Lock()
	e.composed = nil
	e.mu.Unlock()
}

// SettledDelta returns what turns the settled membership of epoch have into the
// newest one, nil if it is the newest. Many daemons ask from the same epoch, so
// the answers are kept until the next epoch settles.
func (s *State) SettledDelta(have uint64) *wire.MembershipDelta {
	if have == s.settled.Epoch {
		return nil
	}
	return s.epochs.since(have, s.settled)
}

func (e *epochs) since(have uint64, settled *vm.Membership) *wire.MembershipDelta {
	e.mu.Lock()
	defer e.mu.Unlock()
	from := e.index(have)
	if from < 0 {
		have = 0
	}
	if d, ok := e.composed[have]; ok {
		return d
	}
	d := e.compose(from)
	if d == nil {
		d = vm.Delta(nil, settled)
	}
	if e.composed == nil {
		e.composed = make(map[uint64]*wire.MembershipDelta)
	}
	e.composed[have] = d
	return d
}

// index returns the position of the delta that starts at epoch have, -1 if none.
func (e *epochs) index(have uint64) int {
	if have == 0 {
		return -1
	}
	return slices.IndexFunc(e.list, func(d *wire.MembershipDelta) bool { return d.FromEpoch == have })
}

// PendingDelta returns what turns the settled membership into the pending one,
// nil when none is pending.
func (s *State) PendingDelta() *wire.MembershipDelta { return s.epochs.pending }

// compose joins the deltas from position i on; nil if i is negative.
func (e *epochs) compose(i int) *wire.MembershipDelta {
	if i < 0 {
		return nil
	}
	if i == len(e.list)-1 {
		return e.list[i]
	}
	upserts, removes := make(map[string]*wire.Vm), make(map[string]bool)
	for _, d := range e.list[i:] {
		for _, name := range d.Removes {
			delete(upserts, name)
			removes[name] = true
		}
		for _, u := range d.Upserts {
			delete(removes, u.Name)
			upserts[u.Name] = u
		}
	}
	out := &wire.MembershipDelta{FromEpoch: e.list[i].FromEpoch, ToEpoch: e.list[len(e.list)-1].ToEpoch}
	for _, u := range upserts {
		out.Upserts = append(out.Upserts, u)
	}
	for name := range removes {
		out.Removes = append(out.Removes, name)
	}
	sort.Slice(out.Upserts, func(a, b int) bool { return out.Upserts[a].Name < out.Upserts[b].Name })
	sort.Strings(out.Removes)
	return out
}
