package admit

import (
	"sync/atomic"
	"time"

	"pearmoor/internal/vm"
)

// Outcome is what a permit's holder learnt about the leaf.
type Outcome uint8

// The outcomes.
const (
	Unused    Outcome = iota // nothing was sent, nothing learnt
	Answered                 // the leaf replied
	Declined                 // the leaf replied without running: alive, its time says nothing
	Refused                  // the leaf refused before running: 429 or 503
	Failed                   // no connection, a reset, or no reply in time
	Cancelled                // the caller gave up on an attempt that was still running
)

// Permit is the right to have one request in flight at a leaf. It is held until
// the leaf is known to be done, which may be after the caller has gone on.
type Permit struct {
	gate    *gate
	gen     uint64
	granted vm.Instant
	stalled time.Duration // stalls of the process before it was granted
	done    atomic.Bool
}

// held returns for how long the permit has been out, less the stalls of the process.
func (p *Permit) held(now vm.Instant) time.Duration {
	return now.Sub(p.granted) - (p.gate.set.stalls.until(now) - p.stalled)
}

// Check fails with verdict NotRun when the lease under which the permit was
// given has run out. It is called right before the request is written.
func (p *Permit) Check() error {
	f := &p.gate.set.fence
	if f.open(p.gen, p.gate.set.clock()) {
		return nil
	}
	return errUnconfirmed()
}

// Until returns the end of the lease: no attempt's deadline may outlive it.
func (p *Permit) Until() vm.Instant { return p.gate.set.fence.end() }

// Done gives the permit back with what was learnt of the leaf. retryAfter is
// the leaf's own word with Refused, 0 if it gave none. Only the first call counts.
func (p *Permit) Done(o Outcome, retryAfter time.Duration) {
	if p.done.CompareAndSwap(false, true) {
		p.gate.release(p, o, retryAfter)
	}
}

// Release gives back a permit that was not used.
func (p *Permit) Release() { p.Done(Unused, 0) }
