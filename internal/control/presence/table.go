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
type key struct {
	name        string
	incarnation uint64
}

func keyOf(m *vm.Member) key { return key{m.Name, m.Incarnation} }

// run is the state of one run of a daemon.
type run struct {
	member vm.Member
	config uint64     // newest configuration version confirmed
	acked  uint64     // newest epoch acknowledged
	first  vm.Instant // first heartbeat received by this leader
	heard  vm.Instant
	until  vm.Instant // no lease granted to the run ends later
}

// gone reports whether the run has stopped and holds no shares.
func (r *run) gone() bool { return r.member.Phase == vm.Gone }

// mayHoldLease reports whether the run may hold a lease at now.
func (r *run) mayWork(now vm.Instant) bool { return !r.gone() && now < r.until }

// isActive reports whether a daemon in this phase accepts new requests or finishes
// requests in flight.
func takesWork(p vm.Phase) bool { return p == vm.Serving || p == vm.Draining }

// Table is the leader's table of daemons. It is safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	runs   map[key]*run
	newest map[string]uint64 // by name
}

// New returns an empty table.
func New() *Table {
	return &Table{runs: make(map[key]*run), newest: make(map[string]uint64)}
}

// Reset initializes the table for a new leader. The members of the memberships may
// hold leases of the previous leader until leaseEnd and have confirmed nothing to this
// leader yet.
func (t *Table) Reset(now, until vm.Instant, memberships ...*vm.Membership) {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.runs)
	clear(t.newest)
	for _, ms := range memberships {
		if ms == nil {
			continue
		}
		for i := range ms.Members {
			m := ms.Members[i]
			t.runs[keyOf(&m)] = &run{member: m, first: now, heard: now, until: until}
			t.newest[m.Name] = max(t.newest[m.Name], m.Incarnation)
		}
	}
}

// LeaseRequirements are the conditions that a heartbeat must meet for a lease to be
// granted.
type Terms struct {
	Lease time.Duration
	// MinConfigVersion and MinEpoch are what a daemon must have confirmed after its
	// grace period. A daemon that sends heartbeats but confirms nothing new would
	// otherwise block a configuration change, or a transfer of shares, indefinitely.
	// Without a new lease it blocks them no longer than its current lease lasts.
	Config   uint64
	Epoch    uint64
	Patience time.Duration // time after the first heartbeat in which the minimums do not apply
}

// RecordHeartbeats records heartbeats. It returns the names of the daemons that are
// not granted a lease, and whether anything but the time of the last heartbeat has
// changed.
func (t *Table) Beat(hbs []*wire.Heartbeat, now vm.Instant, terms *Terms) (refused []string, news bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, hb := range hbs {
		granted, fresh := t.beat(hb, now, terms)
		if !granted {
			refused = append(refused, hb.GetVm().GetName())
		}
		news = news || fresh
	}
	return refused, news
}

func (t *Table) beat(hb *wire.Heartbeat, now vm.Instant, terms *Terms) (granted, news bool) {
	m := vm.FromWire(hb.GetVm())
	r := t.runs[keyOf(&m)]
	if r == nil {
		r = &run{member: m, first: now}
		t.runs[keyOf(&m)] = r
		t.newest[m.Name] = max(t.newest[m.Name], m.Incarnation)
		news = true
	}
	if r.gone() && !news {
		return false, false // a delayed heartbeat of a run that has ended
	}
	if m != r.member {
		r.member, news = m, true
	}
	news = news || hb.ConfigVersion > r.config || hb.AckedEpoch > r.acked
	r.config, r.acked = max(r.config, hb.ConfigVersion), max(r.acked, hb.AckedEpoch)
	r.heard = now
	if !t.grantable(r, now, terms) {
		return false, news
	}
	r.until = max(r.until, now.Add(terms.Lease))
	return true, news
}

func (t *Table) grantable(r *run, now vm.Instant, terms *Terms) bool {
	if r.gone() || r.member.Incarnation < t.newest[r.member.Name] {
		return false
	}
	if now.Sub(r.first) < terms.Patience {
		return true
	}
	return r.config >= terms.Config && r.acked >= terms.Epoch
}

// DeleteExpired deletes the runs whose lease has expired and that have sent no
// heartbeat for expiredRunRetention.
func (t *Table) Sweep(now vm.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, r := range t.runs {
		if now < r.until || now.Sub(r.heard) < forgetAfter {
			continue
		}
		delete(t.runs, k)
		if t.newest[k.name] == k.incarnation {
			delete(t.newest, k.name)
		}
	}
}

// expiredRunRetention keeps an ended run visible to operators for a while.
const forgetAfter = 10 * time.Second
