package policy

import (
	"math"
	"time"

	"pearmoor/internal/vm"
)

const (
	// useDecayTime is the time in which the weight of past use falls to 1/e. It is longer than
	// the pauses of an organisation with few requests, and short enough that an organisation
	// is not disadvantaged for long after a burst.
	useDecayTime = 4 * time.Second
	// maxTrackedOrganisations bounds the memory for recent use. It is larger than the number
	// of requests that can wait, whose organisations are not removed.
	maxTrackedOrganisations = 2 * roomLevels * RoomQueue
	// rebaseAfter keeps the factor of newer use far below the largest float64.
	rebaseAfter = 64 * useDecayTime
	// lighterUseAge is how long a sum over all organisations is used, so that refusals cost the
	// same with many organisations.
	lighterUseAge = 50 * time.Millisecond
	// negligibleUse is the use, in nanoseconds, below which an organisation is forgotten.
	negligibleUse = 1000
)

// organisationUse is the recent use of CPU by one organisation.
type organisationUse struct {
	name   string
	used   float64 // scaled, see recentUse
	weight float64
	// relative is used / weight, kept because requests are compared by it.
	relative float64
	levels   [roomLevels]levelUse
	waiting  [roomLevels]int
}

// levelUse is the part of an organisation's use at one level of priority, and a cached forecast.
type levelUse struct {
	used       float64
	lighter    float64 // scaled use at this level by organisations that go before this one
	computedAt vm.Instant
}

func (o *organisationUse) set(used, weight float64) {
	o.used, o.weight, o.relative = used, weight, used/weight
}

func (o *organisationUse) isWaiting() bool { return o.waiting != [roomLevels]int{} }

// recentUse records how much CPU time was used lately, with exponentially decreasing weight.
// In place of reducing all sums as time passes, new use is multiplied by a factor that grows,
// so that sums of different organisations can be compared as they are.
type recentUse struct {
	base          vm.Instant
	factor        float64 // exp((now - base) / useDecayTime)
	at            vm.Instant
	organisations map[string]*organisationUse
	levels        [roomLevels]float64
	aged          float64
	unknown       organisationUse // stands for an organisation without recent use
}

func newRecentUse() recentUse {
	return recentUse{factor: 1, organisations: make(map[string]*organisationUse)}
}

func (u *recentUse) advanceTo(now vm.Instant) {
	if now == u.at {
		return
	}
	u.at = now
	u.factor = math.Exp(float64(now.Sub(u.base)) / float64(useDecayTime))
	if now.Sub(u.base) > rebaseAfter {
		u.rebase()
	}
}

// rebase expresses all sums relative to the current time and forgets what is negligible.
func (u *recentUse) rebase() {
	for name, o := range u.organisations {
		if o.set(o.used/u.factor, o.weight); o.used < negligibleUse && !o.isWaiting() {
			delete(u.organisations, name)
		}
		for i := range o.levels {
			o.levels[i] = levelUse{used: o.levels[i].used / u.factor}
		}
	}
	for i := range u.levels {
		u.levels[i] /= u.factor
	}
	u.aged /= u.factor
	u.base, u.factor = u.at, 1
}

// shareOf returns the average share of the VM's CPU of a sum.
func (u *recentUse) shareOf(sum float64) float64 {
	return sum / u.factor / float64(useDecayTime)
}

// find returns the use of an organisation. For one without recent use it returns a record that
// is valid until the next call.
func (u *recentUse) find(name string, weight float64) *organisationUse {
	o := u.organisations[name]
	if o == nil {
		u.unknown = organisationUse{}
		o = &u.unknown
	}
	o.set(o.used, weight)
	return o
}

// keep returns a permanent record for one returned by find.
func (u *recentUse) keep(o *organisationUse, name string) *organisationUse {
	if o != &u.unknown {
		return o
	}
	if len(u.organisations) >= maxTrackedOrganisations {
		u.removeSmallest()
	}
	kept := &organisationUse{name: name, weight: o.weight}
	u.organisations[name] = kept
	return kept
}

// removeSmallest forgets the organisation that has used the least and has no request waiting.
func (u *recentUse) removeSmallest() {
	var least *organisationUse
	for _, o := range u.organisations {
		if !o.isWaiting() && (least == nil || o.used < least.used) {
			least = o
		}
	}
	if least != nil {
		delete(u.organisations, least.name)
	}
}

// lighterUse returns the use at a level by organisations that have used less than o, relative to
// their weights, and will therefore go before it.
func (u *recentUse) lighterUse(o *organisationUse, level int) float64 {
	if o == &u.unknown {
		return 0
	}
	l := &o.levels[level]
	if l.computedAt == 0 || u.at.Sub(l.computedAt) >= lighterUseAge {
		l.lighter, l.computedAt = 0, u.at
		for _, other := range u.organisations {
			if other != o && other.relative < o.relative {
				l.lighter += other.levels[level].used
			}
		}
	}
	return l.lighter
}

// charge adds the CPU time of a request that was admitted.
func (u *recentUse) charge(t *RoomTicket, aged bool) {
	used := float64(t.run) * u.factor
	t.org.set(t.org.used+used, t.org.weight)
	t.org.levels[t.level()].used += used
	u.levels[t.level()] += used
	if aged {
		u.aged += used
	}
}
