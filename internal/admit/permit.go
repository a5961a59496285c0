package admit

import (
	"sync/atomic"
	"time"

	"pearmoor/internal/vm"
)

// Outcome is what the holder of a permit learned about the leaf.
type Outcome uint8

// Outcomes of an attempt.
const (
	Unused    Outcome = iota // nothing was sent
	Answered                 // the leaf replied
	Declined                 // the leaf replied without running the request; its time says nothing about the service time
	Refused                  // the leaf refused the request before running it: 429 or 503
	Failed                   // no connection, a reset, or no reply in time
	Cancelled                // the caller cancelled an attempt that was still running
)

// Permit allows one request in flight at a leaf. It is held until the leaf has
// finished the request, which may be after the caller has stopped waiting.
type Permit struct {
	gate            *gate
	leaseGeneration uint64
	granted         vm.Instant
	stallsAtGrant   time.Duration // stall time of the process up to the grant
	done            atomic.Bool
}

// held returns how long the permit has been held, not counting the time for which the process
// was stalled.
func (p *Permit) held(now vm.Instant) time.Duration {
	return now.Sub(p.granted) - (p.gate.gates.stalls.totalAt(now) - p.stallsAtGrant)
}

// Check fails with verdict NotRun if the lease under which the permit was granted has
// expired. Call it immediately before the request is written.
func (p *Permit) Check() error {
	lease := &p.gate.gates.lease
	if lease.valid(p.leaseGeneration, p.gate.gates.clock()) {
		return nil
	}
	return errLeaseExpired()
}

// LeaseEnd returns the end of the lease. No attempt may have a later deadline.
func (p *Permit) LeaseEnd() vm.Instant { return p.gate.gates.lease.end() }

// Done releases the permit and records the outcome. retryAfter is the retry time
// that the leaf sent with Refused, or 0. Only the first call has an effect.
func (p *Permit) Done(o Outcome, retryAfter time.Duration) {
	if p.done.CompareAndSwap(false, true) {
		p.gate.release(p, o, retryAfter)
	}
}

// Release releases a permit that was not used.
func (p *Permit) Release() { p.Done(Unused, 0) }
