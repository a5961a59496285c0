package daemon

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"pearmoor/internal/relay"
	"pearmoor/internal/vm"
)

const (
	// delistTimeout bounds the wait until the agreed membership no longer lists this
	// daemon as serving, which never happens while control is unreachable.
	agreeLimit = 15 * time.Second
	// goneTimeout bounds the wait until control has recorded this daemon as gone.
	leaveLimit = 2 * time.Second
	drainPoll  = 20 * time.Millisecond
)

// drain shuts down gracefully. Callers keep an address list for its lifetime, so the
// daemon first leaves the address lists and gives up its shares, then serves until the
// last list that names it has expired, and then finishes the requests in flight.
func (d *Daemon) drain(hurry context.Context, endCallers func()) {
	d.lifecycle.set(phaseDraining)
	if d.entry == nil {
		return
	}
	klog.Infof("daemon: %s drains: leaving the address lists", d.self.Name)
	d.client.SetPhase(vm.Draining)
	waitFor(hurry, agreeLimit, func() bool { return hasLeft(d.client.Current(), d.self) })
	lifetime := d.horizon.Remaining(vm.Now())
	klog.Infof("daemon: %s drains: callers keep its address for %s; %d requests in flight", d.self.Name, lifetime, d.engine.InFlight())
	waitFor(hurry, lifetime, func() bool { return false })
	endCallers()
	if err := d.engine.Drain(hurry); err != nil {
		klog.Warningf("daemon: %s cuts off %d requests in flight: %v", d.self.Name, d.engine.InFlight(), err)
	}
	d.client.SetPhase(vm.Gone)
	waitFor(hurry, leaveLimit, func() bool { return isGone(d.client.Current(), d.self) })
}

// isDelisted reports whether the agreed membership no longer has self as serving. A
// daemon with that membership does not put self on an address list.
func hasLeft(v *relay.View, self vm.Identity) bool {
	if v.Settled == nil || v.Pending != nil {
		return false
	}
	m, ok := v.Settled.Find(self.Name)
	return !ok || !m.Same(self) || m.Phase != vm.Serving
}

// isGone reports whether neither the agreed nor the pending membership has self in a phase
// other than Gone.
func isGone(v *relay.View, self vm.Identity) bool {
	for _, m := range []*vm.Membership{v.Settled, v.Pending} {
		if m == nil {
			continue
		}
		if found, ok := m.Find(self.Name); ok && found.Same(self) && found.Phase != vm.Gone {
			return false
		}
	}
	return true
}

// pollUntil polls done until it returns true, the timeout has passed or ctx is done.
func waitFor(ctx context.Context, limit time.Duration, done func() bool) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}
