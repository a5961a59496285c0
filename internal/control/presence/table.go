package presence

import (
	"sync"
	"time"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/vm"
)

// key names one run of a daemon: a paused run that resumes must not keep the
// lease of the run that replaced it alive, nor the other way round.
type key struct {
	name        string
	incarnation uint64
}

func keyOf(m *vm.Member) key { return key{m.Name, m.Incarnation} }

// run is what is known of one run of a daemon.
type run struct {
	member vm.Member
	config uint64     // newest version confirmed
	acked  uint64     // newest epoch acknowledged
	first  vm.Instant // first heard by this leader
	heard  vm.Instant
	until  vm.Instant // no lease it may hold lasts longer
}

// gone reports whether the run has said that it holds nothing any more.
func (r *run) gone() bool { return r.member.Phase == vm.Gone }

// mayWork reports whether the run may hold a lease at now.
func (r *run) mayWork(now vm.Instant) bool { return !r.gone() && now < r.until }

// takesWork reports whether the phase lets a daemon take or finish work.
func takesWork(p vm.Phase) bool { return p == vm.Serving || p == vm.Draining }

// Table is the leader's table. It may be used by several goroutines.
type Table struct {
	mu     sync.Mutex
	runs   map[key]*run
	newest map[string]uint64 // newest incarnation heard, by name
}

// New returns an empty table.
func New() *Table {
	return &Table{runs: make(map[key]*run), newest: make(map[string]uint64)}
}

// Reset starts the table anew for a new leader: the members may hold leases of
// its predecessor until that instant, and have confirmed nothing yet.
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

// Terms are what a heartbeat has to meet to be granted a lease.
type Terms struct {
	Lease time.Duration
	// Config and Epoch are what a daemon must have confirmed by now. A daemon
	// that is heard but does not follow would otherwise hold up a change, or a
	// hand-over of shares, for ever; without a lease it holds it up no longer
	// than the lease lasts.
	Config   uint64
	Epoch    uint64
	Patience time.Duration // a daemon heard first more recently is let off
}

// Beat records heartbeats. It returns the names that are not granted a lease,
// and whether anything besides the time of the heartbeat is new.
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
		return false, false // a late heartbeat of a run that has ended
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

// Sweep forgets runs whose lease has run out.
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

// forgetAfter keeps a run that ended in sight of operators for a while.
const forgetAfter = 10 * time.Second
