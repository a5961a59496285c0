package daemon

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"pearmoor/internal/relay"
	"pearmoor/internal/vm"
)

const (
	// agreeLimit bounds the wait for the agreed membership to show this daemon as
	// leaving; without control there is nobody to agree.
	agreeLimit = 15 * time.Second
	// leaveLimit bounds the last word to control.
	leaveLimit = 2 * time.Second
	drainPoll  = 20 * time.Millisecond
)

// drain is the graceful shutdown. Callers keep an address for its lifetime, so a
// daemon that closed its port at once would cut them off: it first leaves the
// address lists and hands on its shares, then serves until the last list that
// names it has run out, then finishes what is in flight.
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

// hasLeft reports whether the agreed membership no longer names self as serving,
// so that no daemon that knows it lists self.
func hasLeft(v *relay.View, self vm.Identity) bool {
	if v.Settled == nil || v.Pending != nil {
		return false
	}
	m, ok := v.Settled.Find(self.Name)
	return !ok || !m.Same(self) || m.Phase != vm.Serving
}

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

// waitFor polls done until it holds, limit has passed or ctx ends.
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
