package test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"pearmoor/internal/contract"
	"pearmoor/internal/load"
	"pearmoor/internal/standin"
)

// callerTimeout bounds the wait for a reply. Replies are due within the request deadline,
// which is far shorter.
const callerTimeout = 20 * time.Second

var lastRunKey atomic.Uint64

// newQuery returns a repeatable request with a unique run key.
func (tr *tier) newQuery(path string) *contract.Request {
	key := fmt.Sprintf("key-%d", lastRunKey.Add(1))
	return &contract.Request{Path: path, Body: json.RawMessage(`{"run_key":"` + key + `"}`)}
}

// newCharge returns a request that must run at most once, in a session issued by p.
func (tr *tier) newCharge(p *process) *contract.Request {
	tr.t.Helper()
	r := tr.newQuery(ledgerPath)
	no := false
	r.Repeatable, r.Key, r.Session = &no, runKeyOf(r), tr.newSession(p)
	return r
}

// runKeyOf returns the run key in the body of r.
func runKeyOf(r *contract.Request) string {
	var body struct {
		RunKey string `json:"run_key"`
	}
	if err := json.Unmarshal(r.Body, &body); err != nil {
		panic(err) // newQuery always sets an object as the body
	}
	return body.RunKey
}

// newSession requests the address list of p until it includes a session.
func (tr *tier) newSession(p *process) string {
	tr.t.Helper()
	var list contract.Addresses
	await(tr.t, "a session from "+p.name, func() bool {
		status, body, err := doHTTP(p.callerURL+"/v1/addresses?service="+ledgerPath, nil)
		return err == nil && status == http.StatusOK && json.Unmarshal(body, &list) == nil && list.Session != ""
	})
	return list.Session
}

// reply is the outcome of a request at the caller: an answer, a failure, or an error.
type reply struct {
	status  int
	answer  *contract.Answer
	failure *contract.Failure
	err     error
	took    time.Duration
}

// verdict returns the verdict of the reply, or MayHaveRun if there was none.
func (r *reply) verdict() contract.Verdict {
	switch {
	case r.answer != nil:
		return r.answer.Verdict
	case r.failure != nil:
		return r.failure.Verdict
	}
	return contract.MayHaveRun
}

func (r *reply) String() string {
	switch {
	case r.answer != nil:
		return fmt.Sprintf("answer %s, %d of %d shards, missing %v", r.answer.Verdict, r.answer.Coverage.Answered, r.answer.Coverage.Total, r.answer.Coverage.Missing)
	case r.failure != nil:
		return fmt.Sprintf("status %d: %+v", r.status, *r.failure)
	}
	return fmt.Sprintf("no reply: %v", r.err)
}

// send sends r to the entry VM p and waits for the reply.
func (tr *tier) send(p *process, r *contract.Request) *reply {
	raw, err := json.Marshal(r)
	if err != nil {
		return &reply{err: err}
	}
	began := time.Now()
	status, body, err := doHTTP(p.callerURL+"/v1/query", raw)
	out := &reply{status: status, err: err, took: time.Since(began)}
	if err != nil {
		return out
	}
	if status == http.StatusOK {
		out.answer = new(contract.Answer)
		out.err = json.Unmarshal(body, out.answer)
		return out
	}
	out.failure = new(contract.Failure)
	out.err = json.Unmarshal(body, out.failure)
	return out
}

// sendAsync sends r in the background and returns a channel for the reply.
func (tr *tier) sendAsync(p *process, r *contract.Request) <-chan *reply {
	done := make(chan *reply, 1)
	go func() { done <- tr.send(p, r) }()
	return done
}

// doHTTP sends a POST request with body, or a GET request if body is nil. Each request
// uses a new connection, so that no test depends on one left over from another.
func doHTTP(url string, body []byte) (status int, reply []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	method := http.MethodGet
	if body != nil {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.GetBody = nil // prevents automatic retries
	req.Close = true
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	reply, err = io.ReadAll(resp.Body)
	return resp.StatusCode, reply, err
}

func fullCoverage(a *contract.Answer) bool {
	return a != nil && a.Coverage.Total > 0 && a.Coverage.Answered == a.Coverage.Total
}

// checkAnswer fails the test if an answer mixes index versions, has lost or duplicate
// hits or hits of another request, or reports wrong coverage.
func checkAnswer(t *testing.T, r *contract.Request, a *contract.Answer) {
	t.Helper()
	if c := load.CheckAnswer(a, runKeyOf(r)); c.HasErrors() {
		t.Errorf("wrong answer: %+v; coverage %+v", c, a.Coverage)
	}
}

// runsPerShard returns how often each shard of the ledger ran r.
func (tr *tier) runsPerShard(r *contract.Request) []int {
	shards := standin.DefaultShards(3)
	runs := make([]int, shards)
	for s := range shards {
		runs[s] = tr.fleet.Runs().Count(standin.RunKey{Request: runKeyOf(r), Service: ledgerPath, Shard: s})
	}
	return runs
}

// loadRun is generated load that continues until stop is called.
type loadRun struct {
	cancel context.CancelFunc
	done   chan struct{}
	result *load.Result
	err    error
}

// startLoad starts load on the entry VMs, from callers that follow the address lists.
func (tr *tier) startLoad(cfg load.Config) *loadRun {
	tr.t.Helper()
	for _, p := range tr.entries {
		cfg.EntryURLs = append(cfg.EntryURLs, p.callerURL)
	}
	cfg.Duration = 10 * time.Minute // ended by stop
	cfg.Seed = 1
	if cfg.Deadline == 0 {
		cfg.Deadline = time.Second
	}
	ctx, cancel := context.WithCancel(context.Background())
	run := &loadRun{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(run.done)
		run.result, run.err = load.Run(ctx, cfg)
	}()
	tr.t.Cleanup(func() { cancel(); <-run.done })
	return run
}

// stop ends the load and returns its result.
func (l *loadRun) stop(t *testing.T) *load.Result {
	t.Helper()
	l.cancel()
	<-l.done
	if l.err != nil {
		t.Fatal(l.err)
	}
	r := l.result
	t.Logf("load: scheduled %d answered %d whole %d refused %d in doubt %d failed %d broken %d failovers %d late %d; reasons %v missing %v check %+v once %+v; last error %q",
		r.Answered+r.Refused+r.InDoubt+r.Failed, r.Answered, r.Whole, r.Refused, r.InDoubt, r.Failed, r.BrokenAnswers, r.Failovers, r.Late, r.Reasons, r.Missing, r.Check, r.NonRepeatable, r.LastError)
	return r
}

// listsVM reports whether the address list served by p contains the VM called name.
func (tr *tier) listsVM(p *process, name string) bool {
	status, body, err := doHTTP(p.callerURL+"/v1/addresses?service="+region, nil)
	var list contract.Addresses
	if err != nil || status != http.StatusOK || json.Unmarshal(body, &list) != nil {
		return false
	}
	for _, a := range list.Addresses {
		if a.VM == name {
			return true
		}
	}
	return false
}
