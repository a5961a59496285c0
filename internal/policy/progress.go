package policy

import "time"

const (
	// Of the shards of a gather, at most one in hedgeMost is sent to twice at one
	// moment, or hedgeFew of a small gather.
	hedgeMost = 4
	hedgeFew  = 2
	// HedgeAgain is how long after a moment at which too many were late they are looked
	// at again.
	HedgeAgain = 4 * time.Millisecond

	// MostSends bounds the sends for one service and request, whatever the reason.
	MostSends = 8
	// pauseAfterRound is the wait after every leaf of a service was tried.
	pauseAfterRound = 25 * time.Millisecond
	pauseLongest    = 200 * time.Millisecond

	// comeBack bounds what a caller whose request did not run is told to wait.
	comeBackFirst = 60 * time.Millisecond
	comeBackMost  = time.Second
)

// Progress is how far a request has come. A single request is one of one shard.
type Progress struct {
	Shards int // that are asked
	Need   int // parts that an answer takes
	Have   int // parts that are there

	Open     int // shards without a part that may still bring one
	Stuck    int // shards that have no leaf to be sent to now
	Gone     int // of these, those of which no leaf can be connected to
	Ended    int // of these, those that nothing more is sent for
	Unlisted int // shards without a part that have no leaf at all

	Unsent bool          // nothing of it can have run
	Passed time.Duration // since it arrived
}

// Step is what to do with a request.
type Step uint8

// The steps.
const (
	GoOn         Step = iota
	AnswerNow         // with what is there
	GiveUpLate        // its time is over
	GiveUpFailed      // more shards have failed than may be missing
	GiveUpNoLeaf      // more shards have no leaf than may be missing
	GiveUpUnsent      // it could be sent nowhere, and holding its caller would not change that
)

// Decide returns what to do with a request now.
//
// Before AnswerBy there is nothing to gain by leaving parts out. From then on an
// answer with enough parts goes out at once: one that waits for the rest would
// come later than its caller wants it.
func (p Progress) Decide(t Times) Step {
	missable := p.Shards - p.Need
	due := p.Passed >= t.AnswerBy
	switch {
	case p.Open+p.Stuck == 0:
		return AnswerNow
	case p.Have >= p.Need && (due || p.Open == 0 && p.Gone+p.Ended == p.Stuck):
		return AnswerNow
	case p.Passed >= t.End:
		return GiveUpLate
	case p.Ended > missable:
		return GiveUpFailed
	case p.Open == 0 && p.Unlisted > missable:
		return GiveUpNoLeaf
	case p.Open == 0 && p.Have == 0 && p.Unsent && p.Passed > t.Patience:
		return GiveUpUnsent
	}
	return GoOn
}

// HoldHedges reports whether so many of the shards are late that it is this daemon that
// is behind, or all leaves are: as many sends again would make both slower still.
func HoldHedges(late, shards int) bool { return late > hedgeFew && late > shards/hedgeMost }

// RoundPause returns the wait before a service is tried again all of whose leaves were,
// a little longer each time; before is the last one.
func RoundPause(before time.Duration) time.Duration {
	return min(max(2*before, pauseAfterRound), pauseLongest)
}

// ComeBack returns what a caller whose request did not run is told to wait; stated is
// what a leaf that refused it has said, 0 for nothing.
func ComeBack(stated time.Duration) time.Duration {
	if stated > 0 {
		return min(stated, comeBackMost)
	}
	return comeBackFirst
}
