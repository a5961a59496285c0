package policy

import "time"

const (
	// mostProbes is how many sends an attempt of a guarded request makes one by one.
	mostProbes = 1
	// QuarantinedRetryAfter is told to the caller of a request that reaches no leaf: asking
	// again is of use only after an operator has lifted it.
	QuarantinedRetryAfter = time.Minute
	// TrialRetryAfter is told to the caller of a suspected request that another daemon is
	// trying at this moment.
	TrialRetryAfter = time.Second
)

// Suspicion follows within one attempt of a request whether it may be what ends the
// leaves that run it. An answer of any leaf that ran it proves that it is not.
//
// A leaf's end is by itself a reason to send again, and a gather starts at every shard:
// without this one attempt takes two leaves of each shard. The zero value suspects nothing.
type Suspicion struct {
	Suspect  bool // from attempts before
	Ends     int  // leaves that ended under this attempt
	Survived bool // a leaf ran it and answered
	probes   int
}

// Guarded reports whether sends are made one by one.
func (s *Suspicion) Guarded() bool { return !s.Survived && (s.Suspect || s.Ends > 0) }

// MaySend reports whether one more send may be made while that many are under way.
func (s *Suspicion) MaySend(inFlight int) bool {
	return !s.Guarded() || inFlight == 0 && s.probes < mostProbes
}

// Sent counts a send.
func (s *Suspicion) Sent() {
	if s.Guarded() {
		s.probes++
	}
}

// Unsent counts out a send that no leaf began to run.
func (s *Suspicion) Unsent() { s.probes = max(0, s.probes-1) }

// Spent reports whether the attempt is over: no send is under way, and none may be made.
func (s *Suspicion) Spent(inFlight int) bool {
	return s.Guarded() && inFlight == 0 && s.probes >= mostProbes
}
