package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"pearmoor/internal/contract"
)

// lateReplyTimeout is how long a caller waits after the deadline, so that late answers are
// received and counted as late.
const lateReplyTimeout = 2 * time.Second

// maxIdlePerHost is large enough to keep the connections open between bursts.
const maxIdlePerHost = 512

// Run generates the load described by cfg and returns after the last request has ended. No
// further requests start after ctx has ended.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	cfg.setDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	schedule, err := NewSchedule(cfg.Arrivals, cfg.Rate, cfg.Duration, cfg.Seed)
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdlePerHost, MaxResponseHeaderBytes: maxHeadBytes, TLSClientConfig: cfg.TLS}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}

	pollCtx, stopPolling := context.WithCancel(context.WithoutCancel(ctx))
	defer stopPolling()
	var poller *statsPoller
	var polling errgroup.Group
	if cfg.StandinURL != "" {
		if poller, err = newStatsPoller(ctx, client, cfg.StandinURL); err != nil {
			return nil, err
		}
		polling.Go(func() error { return poller.run(pollCtx, cfg.Window) })
	}
	r := newRunner(&cfg, client)
	start := time.Now()
	Drive(ctx, schedule, cfg.MaxInFlight, r.runRequest, func(int, time.Time) { r.tally.addSkipped() })
	stopPolling()
	if err := polling.Wait(); err != nil {
		return nil, err
	}
	res := r.tally.finish(&cfg, time.Since(start))
	if poller != nil {
		res.Leaves = poller.finish()
	}
	return res, nil
}

type runner struct {
	cfg      *Config
	runID    string // random, so that keys are unique across runs
	queriers []Querier
	tally    *tally

	mu     sync.Mutex
	random *rand.Rand
}

func newRunner(cfg *Config, client *http.Client) *runner {
	r := &runner{
		cfg:    cfg,
		runID:  fmt.Sprintf("%x", rand.Uint64()),
		tally:  newTally(time.Now(), cfg.Window),
		random: rand.New(rand.NewPCG(cfg.Seed, ^cfg.Seed)),
	}
	r.queriers = cfg.Queriers
	if len(r.queriers) > 0 {
		return r
	}
	for range cfg.Callers {
		r.queriers = append(r.queriers, newCaller(client, cfg.EntryURLs))
	}
	return r
}

func (r *runner) chance(share float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.Float64() < share
}

// runRequest runs the n-th request of the schedule.
func (r *runner) runRequest(n int, intended time.Time) {
	deadline := intended.Add(r.cfg.Deadline)
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(lateReplyTimeout))
	defer cancel()
	querier := r.queriers[n%len(r.queriers)]
	q := r.newRequest(n)
	o := querier.Query(ctx, q, deadline)
	runKey := r.runKey(n)
	r.tally.add(&o, runKey, intended, time.Since(intended), r.cfg.Deadline)
	if q.IsRepeatable() {
		return
	}
	var again *Outcome
	if o.Session != "" && r.chance(r.cfg.ResendShare) {
		q.Session = o.Session
		resent := resend(querier, q, r.cfg.Deadline)
		again = &resent
	}
	r.tally.addNonRepeatable(&o, again)
}

func (r *runner) runKey(n int) string { return fmt.Sprintf("%s-%d", r.runID, n) }

func (r *runner) newRequest(n int) contract.Request {
	key := r.runKey(n)
	body, err := json.Marshal(struct {
		RunKey string `json:"run_key"`
	}{key})
	if err != nil {
		panic(err) // a struct of a string can always be encoded
	}
	q := contract.Request{Path: r.cfg.Paths[n%len(r.cfg.Paths)], Body: body}
	if r.chance(r.cfg.NonRepeatableShare) {
		repeatable := false
		q.Repeatable = &repeatable
		q.Key = key
	}
	return q
}

// resend sends a request whose outcome is known again under its key, as a caller does that
// did not receive the reply.
func resend(querier Querier, q contract.Request, limit time.Duration) Outcome {
	deadline := time.Now().Add(limit)
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(lateReplyTimeout))
	defer cancel()
	return querier.Query(ctx, q, deadline)
}

// verdict returns what the caller knows about a request that has ended.
func (o *Outcome) verdict() contract.Verdict {
	switch {
	case o.Answer != nil && o.Err == nil:
		return contract.Ran
	case o.Failure != nil && o.Err == nil:
		return o.Failure.Verdict
	default:
		return contract.MayHaveRun
	}
}

// addNonRepeatable counts a non-repeatable request and its resend; again is nil if there was none.
func (t *tally) addNonRepeatable(first, again *Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := &t.res.NonRepeatable
	o.Sent++
	switch first.verdict() {
	case contract.Ran:
		o.Ran++
	case contract.NotRun:
		o.NotRun++
	default:
		o.InDoubt++
	}
	o.Resends += first.Resends
	if again == nil {
		return
	}
	o.Resends++
	switch {
	case again.verdict() == first.verdict():
		o.Repeated++
	case first.verdict() == contract.Ran && again.verdict() == contract.NotRun:
		o.Changed++
	}
}
