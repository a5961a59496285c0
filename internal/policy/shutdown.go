package policy

import "time"

// Fractions of the grace period of a planned stop.
const (
	// openFraction is how long a stopping daemon takes any request, because callers keep its
	// address for a while and continue to use open connections.
	openFraction = 0.45
	// acceptFraction is how long it takes requests that are certain to end in time.
	acceptFraction = 0.6
	// finishFraction is when the requests in flight are cut off. The rest of the grace period is
	// for transferring leadership.
	finishFraction = 0.9
	// exitFraction is when a daemon of which a part has failed ends, even if others still run.
	exitFraction = 0.95
)

// finalAnswerTime is reserved for sending final answers to the requests that are still in
// flight. Without it their callers would see a closed connection.
const finalAnswerTime = 150 * time.Millisecond

// StoppingRetryAfter is the Retry-After of a request that a stopping daemon refuses. Other
// daemons can serve it at once.
const StoppingRetryAfter = 10 * time.Millisecond

// Shutdown is the schedule of a planned stop. All times count from its beginning.
type Shutdown struct {
	GracePeriod time.Duration // after which the process is killed
}

func (s Shutdown) after(fraction float64) time.Duration {
	return time.Duration(fraction * float64(s.GracePeriod))
}

// AcceptUntil returns when the daemon stops accepting connections.
func (s Shutdown) AcceptUntil() time.Duration { return s.after(acceptFraction) }

// FinalAnswersAt returns when the requests in flight get their final answers.
func (s Shutdown) FinalAnswersAt() time.Duration { return s.FinishAt() - finalAnswerTime }

// FinishAt returns when the requests in flight are cut off.
func (s Shutdown) FinishAt() time.Duration { return s.after(finishFraction) }

// ExitAt returns when the process ends if nothing else ends it.
func (s Shutdown) ExitAt() time.Duration { return s.after(exitFraction) }

// Admits reports whether a request that arrives when the stop has lasted elapsed may be sent to
// leaves. longest is the longest time until its answer has been sent. An answer that has begun
// can't be replaced by a final one, so what might be cut off is refused while it has not run.
func (s Shutdown) Admits(elapsed, longest time.Duration) bool {
	return elapsed <= s.after(openFraction) || elapsed+longest <= s.FinalAnswersAt()
}
