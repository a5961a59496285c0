package policy

import "time"

const (
	// maxProbes is the maximum number of sends that one attempt of a suspected request makes
	// before a leaf answers. They are made one at a time.
	maxProbes = 1
	// ProbeTimeout is how long a request of a daemon whose quarantine may be outdated waits
	// for the result of its first send. A leaf that a request crashes usually closes its
	// connection sooner.
	ProbeTimeout = 25 * time.Millisecond
	// QuarantinedRetryAfter is the Retry-After for a blocked request. Retrying succeeds only
	// after an operator has removed the block.
	QuarantinedRetryAfter = time.Minute
	// TrialRetryAfter is the Retry-After for a suspected request while another daemon is
	// trying it.
	TrialRetryAfter = time.Second
)

// Suspicion tracks within one attempt of a request whether the request may be crashing the
// leaves that run it. A reply from any leaf that ran it proves that it does not.
//
// The exit of a leaf normally causes a retry, and a gather starts at every shard at once.
// Without this check one attempt could crash two leaves of each shard. The zero value is not
// suspicious.
type Suspicion struct {
	Suspected bool // suspected because of earlier attempts
	LeafExits int  // leaves that exited during this attempt
	Answered  bool // a leaf ran the request and answered
	// Unconfirmed is set while it is unknown whether the request is quarantined, because no
	// leader has confirmed the quarantine of this daemon. It is cleared by the first send
	// that ends without the exit of a leaf, or after ProbeTimeout.
	Unconfirmed bool
	probes      int // sends made one at a time
}

// Guarded reports whether sends must be made one at a time.
func (s *Suspicion) Guarded() bool {
	return !s.Answered && (s.Suspected || s.Unconfirmed || s.LeafExits > 0)
}

// MaySend reports whether another send is allowed while inFlight sends are in flight.
func (s *Suspicion) MaySend(inFlight int) bool {
	return !s.Guarded() || inFlight == 0 && s.probes < maxProbes
}

// RecordSend counts a send.
func (s *Suspicion) RecordSend() {
	if s.Guarded() {
		s.probes++
	}
}

// RecordNotRun removes a send that no leaf began to run from the count.
func (s *Suspicion) RecordNotRun() { s.probes = max(0, s.probes-1) }

// Exhausted reports whether the attempt is over: no send is in flight, and none is allowed.
func (s *Suspicion) Exhausted(inFlight int) bool {
	return s.Guarded() && inFlight == 0 && s.probes >= maxProbes
}
