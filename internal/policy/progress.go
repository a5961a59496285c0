package policy

import "time"

const (
	// At most one in hedgeDivisor of the shards of a gather is hedged at a time, or
	// minHedges for a small gather.
	hedgeDivisor = 4
	minHedges    = 2
	// HedgeRecheckInterval is the time until hedges are reconsidered after they were
	// suppressed because too many shards were late.
	HedgeRecheckInterval = 4 * time.Millisecond

	// MaxSends bounds the sends of one request to one service, for whatever reason.
	MaxSends = 8
	// minRoundPause and maxRoundPause bound the pause after all leaves of a service were
	// tried.
	minRoundPause = 25 * time.Millisecond
	maxRoundPause = 200 * time.Millisecond

	// defaultRetryAfter and maxRetryAfter set the Retry-After of a request that did not run.
	defaultRetryAfter = 60 * time.Millisecond
	maxRetryAfter     = time.Second

	// ExcludedRetryAfter is the Retry-After of a request whose leaves are all in evacuated
	// failure domains or in regions that its route does not allow.
	ExcludedRetryAfter = time.Second
)

// Progress is the state of a request. A request that is not a gather counts as one shard.
type Progress struct {
	Shards   int // shards that are queried
	Required int // parts that an answer needs
	Received int // parts received

	Pending     int // shards without a part that may still deliver one
	Blocked     int // shards that cannot be sent to any leaf at present
	Unreachable int // subset of Blocked: no leaf accepts connections
	Abandoned   int // subset of Blocked: no further sends will be made
	NoLeaf      int // shards without a part for which no leaf is listed

	NotRun  bool          // no part of the request can have run
	Elapsed time.Duration // time since the request arrived
}

// Action is what to do with a request.
type Action uint8

// The actions.
const (
	Continue       Action = iota // wait for further replies
	AnswerNow                    // answer with the parts received
	GiveUpDeadline               // the time of the request is over
	GiveUpFailed                 // more shards have failed than may be missing
	GiveUpNoLeaf                 // more shards have no leaf than may be missing
	GiveUpUnsent                 // it could not be sent, and waiting longer would not help
)

// Decide returns what to do with a request now.
//
// Before PartialAfter, answering without some of the parts has no advantage. After it, an
// answer with enough parts is sent at once, because waiting for the rest would exceed the
// target latency.
func (p Progress) Decide(schedule Schedule) Action {
	mayMiss := p.Shards - p.Required
	partialAllowed := p.Elapsed >= schedule.PartialAfter
	switch {
	case p.Pending+p.Blocked == 0:
		return AnswerNow
	case p.Received >= p.Required && (partialAllowed || p.Pending == 0 && p.Unreachable+p.Abandoned == p.Blocked):
		return AnswerNow
	case p.Elapsed >= schedule.AnswerDeadline:
		return GiveUpDeadline
	case p.Abandoned > mayMiss:
		return GiveUpFailed
	case p.Pending == 0 && p.NoLeaf > mayMiss:
		return GiveUpNoLeaf
	case p.Pending == 0 && p.Received == 0 && p.NotRun && p.Elapsed > schedule.UnsentTimeout:
		return GiveUpUnsent
	}
	return Continue
}

// SuppressHedges reports whether so many shards are late that the cause is probably this
// daemon or all of the leaves. Hedging them all would slow down both further.
func SuppressHedges(late, shards int) bool { return late > minHedges && late > shards/hedgeDivisor }

// RoundPause returns the pause before the leaves of a service are tried again after all of
// them were tried. It doubles from one round to the next; previous is the last pause.
func RoundPause(previous time.Duration) time.Duration {
	return min(max(2*previous, minRoundPause), maxRoundPause)
}

// RetryAfter returns the wait to tell a caller whose request did not run. stated is the wait
// that a refusing leaf has asked for, or 0 if none has.
func RetryAfter(stated time.Duration) time.Duration {
	if stated > 0 {
		return min(stated, maxRetryAfter)
	}
	return defaultRetryAfter
}
