package presence

import (
	"slices"
	"sort"
	"time"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/vm"
)

// MembershipChanges returns the upserts and removals that turn the settled membership
// into the set of daemons that are running now. A member is removed when its lease has
// expired, when it reports phase Gone, or when a newer run of the same name has sent a
// heartbeat.
func (t *Table) MembershipChanges(settled *vm.Membership, now vm.Instant) (upserts []*wire.Vm, removes []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := 0 // members that are in the table
	for i := range settled.Members {
		old := &settled.Members[i]
		if _, ok := t.newestIncarnation[old.Name]; ok {
			known++
		}
		m, ok := t.desiredMember(old.Name, now)
		switch {
		case !ok:
			removes = append(removes, old.Name)
		case m != *old:
			upserts = append(upserts, vm.MemberToWire(m))
		}
	}
	if known < len(t.newestIncarnation) {
		upserts = append(upserts, t.joiningMembers(settled, now)...)
	}
	sort.Slice(upserts, func(i, j int) bool { return upserts[i].Name < upserts[j].Name })
	return upserts, removes
}

// joiningMembers returns the serving daemons that are not in the settled membership.
func (t *Table) joiningMembers(settled *vm.Membership, now vm.Instant) []*wire.Vm {
	var out []*wire.Vm
	for name := range t.newestIncarnation {
		if _, ok := settled.Find(name); ok {
			continue
		}
		if m, ok := t.desiredMember(name, now); ok && m.Phase == vm.Serving {
			out = append(out, vm.MemberToWire(m))
		}
	}
	return out
}

// desiredMember returns the newest run of a daemon if it should be a member, that is, if it
// is serving or draining and may hold a lease.
func (t *Table) desiredMember(name string, now vm.Instant) (vm.Member, bool) {
	r := t.runs[runID{name, t.newestIncarnation[name]}]
	if r == nil || !r.mayHoldLease(now) || !isActive(r.member.Phase) {
		return vm.Member{}, false
	}
	return r.member, true
}

// EpochAcknowledged reports whether no member of the memberships can still use shares
// larger than those of the epoch: each has acknowledged the epoch, has reported Gone,
// or its lease has expired. A run that is not in the table has no lease.
func (t *Table) EpochAcknowledged(epoch uint64, now vm.Instant, memberships ...*vm.Membership) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, ms := range memberships {
		for i := range ms.Members {
			r := t.runs[runIDOf(&ms.Members[i])]
			if r != nil && r.mayHoldLease(now) && r.ackedEpoch < epoch {
				return false
			}
		}
	}
	return true
}

// ConfirmedVersion returns the highest version, at most newest, that every active
// daemon with a lease has confirmed.
func (t *Table) ConfirmedVersion(newest uint64, now vm.Instant) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.runs {
		if r.confirmedVersion < newest && r.mayHoldLease(now) && isActive(r.member.Phase) {
			newest = r.confirmedVersion
		}
	}
	return newest
}

// UnconfirmedDaemons returns the names of the active daemons with a lease that have
// not confirmed the version, sorted.
func (t *Table) UnconfirmedDaemons(version uint64, now vm.Instant) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for _, r := range t.runs {
		if r.confirmedVersion < version && r.mayHoldLease(now) && isActive(r.member.Phase) {
			out = append(out, r.member.Name)
		}
	}
	sort.Strings(out)
	return out
}

// DaemonStatuses returns the status of each run in the table, sorted by name, then
// incarnation.
func (t *Table) DaemonStatuses(now vm.Instant) []*wire.DaemonStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*wire.DaemonStatus, 0, len(t.runs))
	for _, r := range t.runs {
		out = append(out, &wire.DaemonStatus{
			Vm: vm.MemberToWire(r.member), ConfigVersion: r.confirmedVersion, AckedEpoch: r.ackedEpoch,
			LeaseLeftMs: uint32(max(r.leaseEnd.Sub(now), 0).Milliseconds()),
		})
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i].Vm, out[j].Vm
		return a.Name < b.Name || a.Name == b.Name && a.Incarnation < b.Incarnation
	})
	return out
}

// Len returns the number of runs in the table.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.runs)
}

// SilentMembers returns the names of the members of any of the memberships that have
// sent no heartbeat for longer than threshold, sorted. A nil membership has no
// members.
func (t *Table) SilentMembers(now vm.Instant, threshold time.Duration, memberships ...*vm.Membership) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for _, members := range memberships {
		if members == nil {
			continue
		}
		for i := range members.Members {
			name := members.Members[i].Name
			r := t.runs[runID{name, t.newestIncarnation[name]}]
			if r == nil || now.Sub(r.lastHeard) > threshold {
				out = append(out, name)
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
