package policy

import "time"

const (
	// returnMargin is kept before the end of a request's time for its final answer.
	returnMargin = 8 * time.Millisecond
	// unlearnedShare is the part of the target latency after which a reply is late
	// while nothing is known of the route.
	unlearnedShare = 0.3
	unlearnedLate  = 100 * time.Millisecond
	hedgeFloor     = 2 * time.Millisecond
	// hedgeUsual is how many usual reply times pass before a second send.
	hedgeUsual = 1.5
	// connWaitUsual is how many usual reply times a send may wait for a connection.
	connWaitUsual     = 1.5
	unlearnedConnWait = 40 * time.Millisecond
	// patienceShare is the part of the target latency for which a request that could
	// not be sent anywhere is kept: refused by then, its caller still has the time for
	// another attempt.
	patienceShare = 0.2
)

// Terms are what a route asks of its answers.
type Terms struct {
	Timeout time.Duration // the longest that the operator wants a caller kept waiting
	Aim     time.Duration // target latency; 0: none
	Margin  time.Duration // of the aim, for the way to the caller
}

// Times are when something is due for a request, counted from its arrival.
type Times struct {
	End      time.Duration // the final answer at the latest
	Deadline time.Duration // what leaves are told
	AnswerBy time.Duration // with the parts there are, if they are enough
	Late     time.Duration // a reply that is not there calls for a second send
	Patience time.Duration // the refusal of a request that could be sent nowhere
}

// TimesOf returns the times of a request whose caller waits for wait (0: not stated) and
// had asked for the first time passed before.
func TimesOf(t Terms, wait, passed time.Duration, pace *Pace) Times {
	limit := t.Timeout
	if wait > 0 && wait < limit {
		limit = wait
	}
	out := Times{End: limit - returnMargin, Deadline: limit, Late: t.late(pace), Patience: unlearnedLate}
	out.AnswerBy = out.End
	if t.Aim > 0 {
		out.AnswerBy = min(max(0, t.Aim-t.Margin-passed), out.End)
		out.Patience = time.Duration(patienceShare * float64(t.Aim))
	}
	return out
}

// late returns the time after which a reply is late enough for a second send.
func (t Terms) late(pace *Pace) time.Duration {
	late, ok := pace.Late()
	if !ok {
		if t.Aim > 0 {
			return time.Duration(unlearnedShare * float64(t.Aim))
		}
		return unlearnedLate
	}
	usual := pace.Usual()
	late = max(late, time.Duration(hedgeUsual*float64(usual)), hedgeFloor)
	// A second send that can't be back in time is worth little; the last moment
	// for one that can goes before the learned one.
	if t.Aim > 0 {
		late = min(late, max(t.Aim-t.Margin-2*usual, usual))
	}
	return late
}

// ConnWait is how long a send may wait for one of the daemon's connections to a leaf, by
// how long a reply usually takes: until the one in use should be free again. Another
// leaf is tried after it.
func ConnWait(usual time.Duration) time.Duration {
	if usual <= 0 {
		return unlearnedConnWait
	}
	return time.Duration(connWaitUsual * float64(usual))
}
