package presence

import (
	"sync"
	"time"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/vm"
)

// runID identifies one run of a daemon. Leases are kept by run, so that a paused run
// that resumes does not extend the lease of the run that replaced it, nor the other
// way round.
type runID struct {
	name        string
	incarnation uint64
}

func runIDOf(m *vm.Member) runID { return runID{m.Name, m.Incarnation} }

// run is the state of one run of a daemon.
type run struct {
	member           vm.Member
	confirmedVersion uint64     // newest configuration version confirmed
	ackedEpoch       uint64     // newest epoch acknowledged
	firstHeard       vm.Instant // first heartbeat received by this leader
	lastHeard        vm.Instant
	leaseEnd         vm.Instant // latest possible end of the leases granted to the run
}

// gone reports whether the run has stopped and holds no shares.
func (r *run) gone() bool { return r.member.Phase == vm.Gone }

// mayHoldLease reports whether the run may hold a lease at now.
func (r *run) mayHoldLease(now vm.Instant) bool { return !r.gone() && now < r.leaseEnd }

// isActive reports whether a daemon in this phase accepts new requests or finishes
// requests in flight.
func isActive(p vm.Phase) bool { return p == vm.Serving || p == vm.Draining }

// Table is the leader's table of daemons. It is safe for concurrent use.
type Table struct {
	mu                sync.Mutex
	runs              map[runID]*run
	newestIncarnation map[string]uint64 // by name
	exclusiveRuns     bool
}

// New returns an empty table. With exclusiveRuns, two runs of one daemon never exist at the same
// time: the first heartbeat of a run proves that the earlier runs have ended and use no shares.
func New(exclusiveRuns bool) *Table {
	return &Table{runs: make(map[runID]*run), newestIncarnation: make(map[string]uint64), exclusiveRuns: exclusiveRuns}
}

// Reset initializes the table for a new leader. The members of the memberships may
// hold leases of the previous leader until leaseEnd and have confirmed nothing to this
// leader yet.
func (t *Table) Reset(now, leaseEnd vm.Instant, memberships ...*vm.Membership) {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.runs)
	clear(t.newestIncarnation)
	for _, ms := range memberships {
		if ms == nil {
			continue
		}
		for i := range ms.Members {
			m := ms.Members[i]
			t.runs[runIDOf(&m)] = &run{member: m, firstHeard: now, lastHeard: now, leaseEnd: leaseEnd}
			t.newestIncarnation[m.Name] = max(t.newestIncarnation[m.Name], m.Incarnation)
		}
	}
}

// LeaseRequirements are the conditions that a heartbeat must meet for a lease to be
// granted.
type LeaseRequirements struct {
	Lease time.Duration
	// MinConfigVersion and MinEpoch are what a daemon must have confirmed after its
	// grace period. A daemon that sends heartbeats but confirms nothing new would
	// otherwise block a configuration change, or a transfer of shares, indefinitely.
	// Without a new lease it blocks them no longer than its current lease lasts.
	MinConfigVersion uint64
	MinEpoch         uint64
	GracePeriod      time.Duration // time after the first heartbeat in which the minimums do not apply
}

// RecordHeartbeats records heartbeats. It returns the names of the daemons that are
// not granted a lease, and whether anything but the time of the last heartbeat has
// changed.
func (t *Table) RecordHeartbeats(hbs []*wire.Heartbeat, now vm.Instant, requirements *LeaseRequirements) (refused []string, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, hb := range hbs {
		granted, runChanged := t.recordHeartbeat(hb, now, requirements)
		if !granted {
			refused = append(refused, hb.GetVm().GetName())
		}
		changed = changed || runChanged
	}
	return refused, changed
}

func (t *Table) recordHeartbeat(hb *wire.Heartbeat, now vm.Instant, requirements *LeaseRequirements) (granted, changed bool) {
	m := vm.MemberFromWire(hb.GetVm())
	r := t.runs[runIDOf(&m)]
	if r == nil {
		r = &run{member: m, firstHeard: now}
		t.runs[runIDOf(&m)] = r
		t.newestIncarnation[m.Name] = max(t.newestIncarnation[m.Name], m.Incarnation)
		if t.exclusiveRuns {
			t.endEarlierRuns(runIDOf(&m), now)
		}
		changed = true
	}
	if r.gone() && !changed {
		return false, false // a delayed heartbeat of a run that has ended
	}
	if m != r.member {
		r.member, changed = m, true
	}
	changed = changed || hb.ConfigVersion > r.confirmedVersion || hb.AckedEpoch > r.ackedEpoch
	r.confirmedVersion, r.ackedEpoch = max(r.confirmedVersion, hb.ConfigVersion), max(r.ackedEpoch, hb.AckedEpoch)
	r.lastHeard = now
	if !t.mayGrant(r, now, requirements) {
		return false, changed
	}
	r.leaseEnd = max(r.leaseEnd, now.Add(requirements.Lease))
	return true, changed
}

// endEarlierRuns ends the leases of the runs before the given one. Otherwise a membership with the
// new run could not be settled before those leases end, six seconds after a restart of the tier.
func (t *Table) endEarlierRuns(newest runID, now vm.Instant) {
	for id, r := range t.runs {
		if id.name == newest.name && id.incarnation < newest.incarnation {
			r.leaseEnd = min(r.leaseEnd, now)
		}
	}
}

func (t *Table) mayGrant(r *run, now vm.Instant, requirements *LeaseRequirements) bool {
	if r.gone() || r.member.Incarnation < t.newestIncarnation[r.member.Name] {
		return false
	}
	if now.Sub(r.firstHeard) < requirements.GracePeriod {
		return true
	}
	return r.confirmedVersion >= requirements.MinConfigVersion && r.ackedEpoch >= requirements.MinEpoch
}

// DeleteExpired deletes the runs whose lease has expired and that have sent no
// heartbeat for expiredRunRetention.
func (t *Table) DeleteExpired(now vm.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range t.runs {
		if now < r.leaseEnd || now.Sub(r.lastHeard) < expiredRunRetention {
			continue
		}
		delete(t.runs, id)
		if t.newestIncarnation[id.name] == id.incarnation {
			delete(t.newestIncarnation, id.name)
		}
	}
}

// expiredRunRetention keeps an ended run visible to operators for a while.
const expiredRunRetention = 10 * time.Second
