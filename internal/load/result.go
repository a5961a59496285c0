package load

import (
	"sync"
	"time"

	"pearmoor/internal/contract"
)

// Result is the result of a run.
type Result struct {
	Rate          float64 `json:"rate"`
	DurationMS    int64   `json:"duration_ms"`
	Scheduled     int     `json:"scheduled"`
	Skipped       int     `json:"skipped"` // not started: this process had too many in flight
	Answered      int     `json:"answered"`
	Refused       int     `json:"refused"`  // verdict not_run
	InDoubt       int     `json:"in_doubt"` // verdict may_have_run
	Failed        int     `json:"failed"`   // no daemon replied before the deadline
	Late          int     `json:"late"`     // answered after the deadline
	Failovers     int     `json:"failovers"`
	Whole         int     `json:"whole"`         // answered by every shard
	Goodput       float64 `json:"goodput"`       // answers by every shard before the deadline, per second
	Coverage      float64 `json:"mean_coverage"` // over the answered requests
	ExtraAttempts int     `json:"extra_attempts"`
	BrokenAnswers int     `json:"broken_answers"` // status 200 with a body that can't be decoded

	LastError string `json:"last_error,omitempty"` // of a request without a reply

	Reasons map[contract.Reason]int `json:"reasons"` // of refused and in-doubt requests
	Missing map[contract.Reason]int `json:"missing"` // of shards not covered

	Messages      map[contract.Reason]string `json:"messages,omitempty"` // last message of each reason
	Check         Check                      `json:"check"`
	NonRepeatable NonRepeatable              `json:"not_repeatable"`

	Answers  Quantiles   `json:"answer_latency"`
	Refusals Quantiles   `json:"refusal_latency"`
	Windows  []Window    `json:"windows"` // of answers
	Leaves   *LeafReport `json:"leaves,omitempty"`
}

// NonRepeatable counts the non-repeatable requests.
type NonRepeatable struct {
	Sent     int `json:"sent"`
	Ran      int `json:"ran"`
	NotRun   int `json:"not_run"`
	InDoubt  int `json:"in_doubt"`
	Resends  int `json:"resends"`  // sent again under the same key
	Changed  int `json:"changed"`  // resends refused as not run although the first had run
	Repeated int `json:"repeated"` // resends with the verdict of the first
}

// tally accumulates the results of concurrent requests.
type tally struct {
	mu          sync.Mutex
	res         Result
	coverage    float64 // sum over the answered requests
	wholeInTime int     // answers by every shard before the deadline
	answers     *Recorder
	refusals    *Recorder
}

func newTally(start time.Time, window time.Duration) *tally {
	return &tally{
		res:      Result{Reasons: map[contract.Reason]int{}, Missing: map[contract.Reason]int{}, Messages: map[contract.Reason]string{}},
		answers:  NewRecorder(start, window),
		refusals: NewRecorder(start, window),
	}
}

func (t *tally) addSkipped() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.res.Scheduled++
	t.res.Skipped++
}

// add counts one request that ended at latency after its scheduled start.
func (t *tally) add(o *Outcome, runKey string, intended time.Time, latency, deadline time.Duration) {
	var check Check
	if o.Answer != nil && o.Err == nil {
		check = CheckAnswer(o.Answer, runKey)
		t.answers.Record(intended, latency)
	} else if o.Failure != nil {
		t.refusals.Record(intended, latency)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &t.res
	r.Scheduled++
	r.Failovers += o.Failovers
	switch {
	case o.Answer != nil && o.Err != nil:
		r.BrokenAnswers++
	case o.Answer != nil:
		t.addAnswer(o.Answer, check, latency <= deadline)
	case o.Failure != nil && o.Failure.Verdict == contract.NotRun:
		r.Refused++
		t.addFailure(o.Failure)
	case o.Failure != nil:
		r.InDoubt++
		t.addFailure(o.Failure)
	default:
		r.Failed++
		if o.Err != nil {
			r.LastError = o.Err.Error()
		}
	}
}

func (t *tally) addFailure(f *contract.Failure) {
	t.res.Reasons[f.Reason]++
	t.res.Messages[f.Reason] = f.Message
}

func (t *tally) addAnswer(a *contract.Answer, check Check, inTime bool) {
	r := &t.res
	r.Answered++
	r.ExtraAttempts += a.ExtraAttempts
	r.Check.Add(check)
	t.coverage += a.Coverage.Fraction()
	for _, m := range a.Coverage.Missing {
		r.Missing[m.Reason]++
	}
	whole := a.Coverage.Total > 0 && a.Coverage.Answered == a.Coverage.Total
	if whole {
		r.Whole++
	}
	if !inTime {
		r.Late++
	}
	if whole && inTime {
		t.wholeInTime++
	}
}

// finish returns the result of a run that took the given time.
func (t *tally) finish(c *Config, elapsed time.Duration) *Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &t.res
	r.Rate = c.Rate
	elapsed = min(elapsed, c.Duration)
	r.DurationMS = elapsed.Milliseconds()
	r.Goodput = float64(t.wholeInTime) / elapsed.Seconds()
	if r.Answered > 0 {
		r.Coverage = t.coverage / float64(r.Answered)
	}
	r.Answers = t.answers.Total()
	r.Refusals = t.refusals.Total()
	r.Windows = t.answers.Windows()
	return r
}
