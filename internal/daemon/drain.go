package daemon

import (
	"context"
	"math"
	"time"

	"k8s.io/klog/v2"

	"pearmoor/internal/relay"
	"pearmoor/internal/vm"
)

const (
	// delistTimeout bounds the wait until the agreed membership no longer lists this
	// daemon as serving, which never happens while control is unreachable.
	delistTimeout = 15 * time.Second
	// goneTimeout bounds the wait until control has recorded this daemon as gone.
	goneTimeout       = 2 * time.Second
	drainPollInterval = 20 * time.Millisecond
	// failureStopTimeout bounds the wait for the other parts after a drain because of one that
	// has failed.
	failureStopTimeout = 5 * time.Second
)

// drainLimits bounds the steps of a drain.
type drainLimits struct {
	delist time.Duration // until the agreed membership no longer lists the daemon as serving
	lists  time.Duration // until the address lists that name the daemon have expired
	finish time.Duration // until the requests in flight have ended
}

var (
	plannedDrain = drainLimits{delist: delistTimeout, lists: math.MaxInt64, finish: math.MaxInt64}
	// failureDrain does not wait for address lists to expire: callers of a daemon without one of
	// its parts go to the next address.
	failureDrain = drainLimits{delist: 2 * time.Second, lists: 0, finish: 10 * time.Second}
)

// total returns the longest time that a drain takes.
func (l drainLimits) total() time.Duration { return l.delist + l.lists + l.finish + goneTimeout }

// drain shuts down gracefully. Callers keep an address list for its lifetime, so the
// daemon first leaves the address lists and gives up its shares, then serves until the
// last list that names it has expired, and then finishes the requests in flight.
func (d *Daemon) drain(abort context.Context, limits drainLimits, stopCallers func()) {
	d.lifecycle.set(phaseDraining)
	if d.entry == nil {
		return
	}
	klog.Infof("daemon: %s drains: leaving the address lists", d.self.Name)
	d.client.SetPhase(vm.Draining)
	pollUntil(abort, limits.delist, func() bool { return isDelisted(d.client.Current(), d.self) })
	lifetime := min(d.listExpiry.Remaining(vm.Now()), limits.lists)
	klog.Infof("daemon: %s drains: serves callers that keep its address for %s; %d requests in flight", d.self.Name, lifetime, d.engine.InFlight())
	pollUntil(abort, lifetime, func() bool { return false })
	stopCallers()
	finish, cancel := context.WithTimeout(abort, limits.finish)
	defer cancel()
	if err := d.engine.Drain(finish); err != nil {
		klog.Warningf("daemon: %s cuts off %d requests in flight: %v", d.self.Name, d.engine.InFlight(), err)
	}
	d.client.SetPhase(vm.Gone)
	pollUntil(abort, goneTimeout, func() bool { return isGone(d.client.Current(), d.self) })
}

// isDelisted reports whether the agreed membership no longer has self as serving. A
// daemon with that membership does not put self on an address list.
func isDelisted(v *relay.View, self vm.Identity) bool {
	if v.Settled == nil || v.Pending != nil {
		return false
	}
	m, ok := v.Settled.Find(self.Name)
	return !ok || !m.SameIncarnation(self) || m.Phase != vm.Serving
}

// isGone reports whether neither the agreed nor the pending membership has self in a phase
// other than Gone.
func isGone(v *relay.View, self vm.Identity) bool {
	for _, m := range []*vm.Membership{v.Settled, v.Pending} {
		if m == nil {
			continue
		}
		if found, ok := m.Find(self.Name); ok && found.SameIncarnation(self) && found.Phase != vm.Gone {
			return false
		}
	}
	return true
}

// pollUntil polls done until it returns true, the timeout has passed or ctx is done.
func pollUntil(ctx context.Context, timeout time.Duration, done func() bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}
