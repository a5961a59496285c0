package policy

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"pearmoor/internal/vm"
)

const (
	// RoomQueue is how many requests of one priority may wait. It bounds memory; the bound on
	// the time that a request waits usually applies first.
	RoomQueue = 256
	// roomLevels is the number of priorities with a queue of their own. Lower priorities share
	// the last one.
	roomLevels = 4
	// urgentBacklogShare is the part of the most urgent target latency up to which the backlog
	// may grow with requests of that urgency.
	urgentBacklogShare = 0.5
	// otherBacklogShare is the same for other requests. Work that was admitted cannot be
	// overtaken, so with urgentBacklogShare for all, a burst of patient requests would delay
	// every urgent one by half of its target latency. What is left covers the lateness of timers,
	// so that the CPU does not idle between two requests.
	otherBacklogShare = 1.0 / 128
	// agingShare is the part of its own time after which a waiting request goes before urgent
	// ones, and agedCPUShare the part of the CPU that such requests may take together. Without
	// that bound, a surplus of patient requests would turn into order of arrival.
	agingShare   = 0.5
	agedCPUShare = 0.05
	// maxForecastShare bounds the part of the CPU that is expected to go to requests that have
	// yet to arrive and will go before a waiting one.
	maxForecastShare = 0.9
	// waitMargin is the part of the expected wait that must be left as a margin while more than
	// overloadShare of the CPU is in use. Without it, more refusals come after a wait, as requests
	// that go first arrive later; without the condition, requests are refused below capacity.
	waitMargin    = 0.25
	overloadShare = 0.85
	// defaultUrgentLatency is used if no route has a target latency.
	defaultUrgentLatency = 100 * time.Millisecond
	minRoomRetryAfter    = 20 * time.Millisecond
	maxRoomRetryAfter    = 2 * time.Second
)

// RoomLimits are the properties of the VM and of the routing table that a Room depends on.
type RoomLimits struct {
	Millicores     uint32        // CPU of the VM; 0: unknown, counts as a core
	UrgentPriority int           // priority of the most urgent route
	UrgentLatency  time.Duration // its target latency; 0: none
}

// RoomRequest is a request for a VM's CPU.
type RoomRequest struct {
	Cost         time.Duration // CPU time on a full core
	Priority     int           // 0 is the highest
	Organisation string
	Weight       float64    // share of the organisation relative to others; 0 or less counts as 1
	LatestStart  vm.Instant // the request is of no use if it starts later
}

// RoomOutcome is the state of a request that asked for room.
type RoomOutcome int

// Outcomes of Room.Enter.
const (
	RoomAdmitted RoomOutcome = iota
	RoomQueued
	RoomFull // refused: too many requests wait
	RoomLate // refused: it could not start by its LatestStart
)

// RoomDecision is an outcome with what it was based on.
type RoomDecision struct {
	Outcome      RoomOutcome
	Backlog      time.Duration
	ExpectedWait time.Duration
	Waiting      int // requests waiting, of all priorities
}

type ticketState int

const (
	ticketWaiting ticketState = iota
	ticketAdmitted
	ticketEnded
)

// RoomTicket is a request that was admitted or waits.
type RoomTicket struct {
	RoomRequest
	run       time.Duration // CPU time on this VM
	agesAt    vm.Instant
	arrival   uint64 // order of arrival
	org       *organisationUse
	state     ticketState
	finish    vm.Instant    // when its work is done, if it is admitted
	corrected time.Duration // Room.corrected when it was admitted
}

// Room admits requests to the CPU of a VM. It answers the load of more requests than the VM can
// compute in time, most of them from a few organisations or of little urgency.
//
// The CPU time of admitted requests that has not been spent is a backlog that drains in real
// time. While it is short, requests are admitted at once. Otherwise they wait in order of
// priority, of their organisation's recent use relative to its weight, and of LatestStart. A
// request that has waited for half of its time goes first, up to a twentieth of the CPU. A request
// that could not start by its LatestStart, or finds its queue full, is refused on arrival.
//
// It is not safe for concurrent use. A time before an earlier one counts as the earlier one.
type Room struct {
	limits     RoomLimits
	now        vm.Instant
	backlog    time.Duration
	corrected  time.Duration // sum of all reductions of the backlog by requests that ended early
	waiting    []*RoomTicket
	levelCount [roomLevels]int
	arrivals   uint64
	use        recentUse
	// priorityOnly orders requests by priority and LatestStart alone, for comparison in tests.
	priorityOnly bool
}

// NewRoom returns a Room without work.
func NewRoom(limits RoomLimits) *Room {
	r := &Room{use: newRecentUse()}
	r.SetLimits(limits)
	return r
}

// SetLimits replaces the limits. Requests that wait keep their computed CPU time.
func (r *Room) SetLimits(limits RoomLimits) {
	if limits.Millicores == 0 {
		limits.Millicores = 1000
	}
	if limits.UrgentLatency <= 0 {
		limits.UrgentLatency = defaultUrgentLatency
	}
	r.limits = limits
}

// RunTime returns how long this VM computes for the given CPU time on a full core.
func (r *Room) RunTime(cost time.Duration) time.Duration {
	return time.Duration(float64(cost) * 1000 / float64(r.limits.Millicores))
}

// Waiting returns the number of requests that wait.
func (r *Room) Waiting() int { return len(r.waiting) }

// Backlog returns the time that the VM needs for the admitted work.
func (r *Room) Backlog(now vm.Instant) time.Duration {
	r.advanceTo(now)
	return r.backlog
}

func (r *Room) advanceTo(now vm.Instant) {
	if now > r.now {
		r.backlog = max(0, r.backlog-now.Sub(r.now))
		r.now = now
	}
	r.use.advanceTo(r.now)
}

// Enter decides about a request that has arrived. The ticket is nil if it is refused. Advance
// must have been called with the same time.
func (r *Room) Enter(now vm.Instant, req RoomRequest) (*RoomTicket, RoomDecision) {
	r.advanceTo(now)
	if !(req.Weight > 0) {
		req.Weight = 1
	}
	r.arrivals++
	t := RoomTicket{
		RoomRequest: req, run: r.RunTime(req.Cost), arrival: r.arrivals, org: r.use.find(req.Organisation, req.Weight),
		agesAt: r.now.Add(time.Duration(agingShare * float64(max(0, req.LatestStart.Sub(r.now))))),
	}
	d := RoomDecision{Backlog: r.backlog, Waiting: len(r.waiting)}
	if r.backlog <= r.backlogLimit(&t, false) && !slices.ContainsFunc(r.waiting, func(w *RoomTicket) bool { return r.compare(w, &t, r.mayPromote()) < 0 }) {
		admitted := t
		admitted.org = r.use.keep(t.org, req.Organisation)
		r.admit(&admitted, false)
		return &admitted, d
	}
	d.ExpectedWait = r.expectedWait(&t)
	level := t.level()
	switch free := RoomQueue - r.levelCount[level]; {
	case free <= 0 || t.org.waiting[level] >= free:
		// An organisation may use as many places as are left, so that one that sends a lot
		// does not fill the queue for the others.
		d.Outcome = RoomFull
		return nil, d
	case r.now.Add(r.withMargin(d.ExpectedWait)) > req.LatestStart:
		d.Outcome = RoomLate
		return nil, d
	}
	queued := t
	queued.org = r.use.keep(t.org, req.Organisation)
	queued.org.waiting[level]++
	r.levelCount[level]++
	r.waiting = append(r.waiting, &queued)
	d.Outcome = RoomQueued
	return &queued, d
}

func (t *RoomTicket) level() int { return min(max(t.Priority, 0), roomLevels-1) }

func (r *Room) isUrgent(t *RoomTicket) bool { return t.Priority <= r.limits.UrgentPriority }

// backlogLimit returns the backlog up to which a request is admitted.
func (r *Room) backlogLimit(t *RoomTicket, promoted bool) time.Duration {
	share := otherBacklogShare
	if promoted || r.isUrgent(t) {
		share = urgentBacklogShare
	}
	return time.Duration(share * float64(r.limits.UrgentLatency))
}

// mayPromote reports whether requests that have waited for long go before others now.
func (r *Room) mayPromote() bool { return r.use.shareOf(r.use.aged) < agedCPUShare }

func (r *Room) isAged(t *RoomTicket) bool { return r.now >= t.agesAt }

// compare returns a negative number if a goes before b.
func (r *Room) compare(a, b *RoomTicket, mayPromote bool) int {
	if mayPromote {
		agedA, agedB := r.isAged(a), r.isAged(b)
		switch {
		case agedA && agedB:
			return r.compareUse(a, b)
		case agedA:
			return -1
		case agedB:
			return 1
		}
	}
	if a.Priority != b.Priority {
		return cmp.Compare(a.Priority, b.Priority)
	}
	return r.compareUse(a, b)
}

// compareUse compares requests of the same priority.
func (r *Room) compareUse(a, b *RoomTicket) int {
	if a.org != b.org && !r.priorityOnly {
		if c := cmp.Compare(a.org.relative, b.org.relative); c != 0 {
			return c
		}
	}
	if c := cmp.Compare(a.LatestStart, b.LatestStart); c != 0 {
		return c
	}
	return cmp.Compare(a.arrival, b.arrival)
}

// expectedWait returns when t, which has just arrived, is likely to start if it waits now: after the backlog and the
// work that goes before it, slowed down by what is likely to arrive and go before it as well,
// or when its turn among the aged requests comes, if that is earlier.
func (r *Room) expectedWait(t *RoomTicket) time.Duration {
	var before, agedBefore time.Duration
	promote := r.mayPromote()
	for _, w := range r.waiting {
		usedLess := r.compareUse(w, t) < 0
		if usedLess {
			agedBefore += w.run
		}
		if w.Priority < t.Priority || w.Priority == t.Priority && usedLess || promote && r.isAged(w) {
			before += w.run
		}
	}
	forecast := min(r.forecastShare(t), maxForecastShare)
	wait := time.Duration(float64(max(0, r.backlog+before-r.backlogLimit(t, false))) / (1 - forecast))
	aged := max(t.agesAt.Sub(r.now), time.Duration(float64(agedBefore)/agedCPUShare)) + max(0, r.backlog-r.backlogLimit(t, true))
	return min(wait, aged)
}

// withMargin returns the wait that a request must be able to bear.
func (r *Room) withMargin(wait time.Duration) time.Duration {
	total := 0.0
	for _, used := range r.use.levels {
		total += used
	}
	if r.use.shareOf(total) < overloadShare {
		return wait
	}
	return time.Duration((1 + waitMargin) * float64(wait))
}

// forecastShare returns the share of the CPU that requests took lately which would go before t.
func (r *Room) forecastShare(t *RoomTicket) float64 {
	sum := r.use.aged
	if !r.priorityOnly {
		sum += r.use.lighterUse(t.org, t.level())
	}
	for level := range t.level() {
		sum += r.use.levels[level]
	}
	return r.use.shareOf(sum)
}

// admit starts the work of a request.
func (r *Room) admit(t *RoomTicket, promoted bool) {
	t.state = ticketAdmitted
	r.backlog += t.run
	t.finish, t.corrected = r.now.Add(r.backlog), r.corrected
	r.use.charge(t, promoted)
}

// Advance moves the time on to now. It appends the requests that are admitted to started and
// those that can no longer start in time, which end, to expired.
func (r *Room) Advance(now vm.Instant, started, expired []*RoomTicket) ([]*RoomTicket, []*RoomTicket) {
	r.advanceTo(now)
	for i := 0; i < len(r.waiting); {
		if t := r.waiting[i]; t.LatestStart < r.now {
			r.remove(i)
			t.state = ticketEnded
			expired = append(expired, t)
			continue
		}
		i++
	}
	for len(r.waiting) > 0 {
		promote := r.mayPromote()
		i := r.first(promote)
		t := r.waiting[i]
		promoted := promote && r.isAged(t)
		if r.backlog > r.backlogLimit(t, promoted) {
			break
		}
		r.remove(i)
		r.admit(t, promoted)
		started = append(started, t)
	}
	return started, expired
}

// first returns the index of the request that goes before all others.
func (r *Room) first(promote bool) int {
	best := 0
	for i := 1; i < len(r.waiting); i++ {
		if r.compare(r.waiting[i], r.waiting[best], promote) < 0 {
			best = i
		}
	}
	return best
}

func (r *Room) remove(i int) {
	t := r.waiting[i]
	t.org.waiting[t.level()]--
	r.levelCount[t.level()]--
	last := len(r.waiting) - 1
	r.waiting[i], r.waiting[last] = r.waiting[last], nil
	r.waiting = r.waiting[:last]
}

// NextAdvance returns when Advance must be called next if nothing else happens before. It
// returns false if no request waits.
func (r *Room) NextAdvance() (vm.Instant, bool) {
	if len(r.waiting) == 0 {
		return 0, false
	}
	promote := r.mayPromote()
	first := r.waiting[r.first(promote)]
	at := r.now.Add(max(0, r.backlog-r.backlogLimit(first, promote && r.isAged(first))))
	for _, t := range r.waiting {
		at = min(at, t.LatestStart+1)
		if t.agesAt > r.now {
			at = min(at, max(t.agesAt, r.now.Add(r.backlog-r.backlogLimit(t, true))))
		}
	}
	return at, true
}

// Leave ends a request whose answer is ready or whose caller has left; it may be called more
// than once. If the request was still waiting, it is removed. If it ends before its work was
// expected to be done, the rest is taken off the backlog. Reductions by other requests since
// its admission may already include that rest, so they are subtracted; the backlog may then be
// too long for a while but never too short.
func (r *Room) Leave(now vm.Instant, t *RoomTicket) {
	r.advanceTo(now)
	switch t.state {
	case ticketWaiting:
		r.remove(slices.Index(r.waiting, t))
	case ticketAdmitted:
		rest := t.finish.Sub(r.now) - (r.corrected - t.corrected)
		if rest = min(rest, t.run, r.backlog); rest > 0 {
			r.backlog -= rest
			r.corrected += rest
		}
	}
	t.state = ticketEnded
}

// RoomRetryAfter returns the Retry-After of a refused request from its expected wait. It is
// drawn at random from one to one and a half times that, since many are refused together.
func RoomRetryAfter(expectedWait time.Duration) time.Duration {
	wait := min(max(expectedWait, minRoomRetryAfter), maxRoomRetryAfter)
	return wait + rand.N(wait/2)
}
