package baseline

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
	"pearmoor/internal/load"
)

// Policy chooses the leaf for an attempt and may delay the attempt.
type Policy interface {
	// Acquire returns a leaf of t, or an error when ctx ends first.
	Acquire(ctx context.Context, t *Target) (*Leaf, error)
	// Release ends the attempt. rejected says that the leaf did not run it.
	Release(l *Leaf, latency time.Duration, rejected bool)
}

const maxIdleConnsPerLeaf = 64

// Client sends each request to the leaves of all shards without a tier. It represents
// one process of a caller and shares no connections with other clients.
type Client struct {
	id      int
	next    atomic.Uint64
	http    *http.Client
	targets []Target
	policy  Policy
}

// NewClients returns n clients. It calls newPolicy for each of them.
func NewClients(n int, targets []Target, newPolicy func(i int) Policy) []*Client {
	out := make([]*Client, n)
	for i := range out {
		out[i] = &Client{
			id:      i,
			http:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerLeaf}},
			targets: targets,
			policy:  newPolicy(i),
		}
	}
	return out
}

// Queriers returns clients as load.Querier values.
func Queriers(clients []*Client) []load.Querier {
	out := make([]load.Querier, len(clients))
	for i, c := range clients {
		out[i] = c
	}
	return out
}

// Close closes the idle connections of the clients.
func Close(clients []*Client) {
	for _, c := range clients {
		c.http.CloseIdleConnections()
	}
}

// Query implements load.Querier. It makes one attempt for each shard, all in parallel.
func (c *Client) Query(ctx context.Context, q contract.Request, deadline time.Time) load.Outcome {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	id := fmt.Sprintf("direct-%d-%d-%x", c.id, c.next.Add(1), rand.Uint64())
	replies := make([]*contract.LeafReply, len(c.targets))
	failures := make([]error, len(c.targets))
	var wg sync.WaitGroup
	for i := range c.targets {
		wg.Go(func() { replies[i], failures[i] = c.attempt(ctx, id, &c.targets[i], q.Body, deadline) })
	}
	wg.Wait()
	return load.Outcome{Answer: c.merge(id, replies, failures)}
}

func (c *Client) merge(id string, replies []*contract.LeafReply, failures []error) *contract.Answer {
	a := &contract.Answer{RequestID: id, Verdict: contract.Ran, IndexVersions: map[string]uint64{}}
	a.Coverage.Total = len(c.targets)
	for i, t := range c.targets {
		a.IndexVersions[t.Service] = t.IndexVersion
		if replies[i] == nil {
			m := contract.Missing{Service: t.Service, Shard: t.Shard, Reason: reasonOf(failures[i])}
			a.Coverage.Missing = append(a.Coverage.Missing, m)
			continue
		}
		a.Coverage.Answered++
		for _, h := range replies[i].Hits {
			a.Hits = append(a.Hits, contract.ServiceHit{Service: t.Service, Shard: t.Shard, Hit: h})
		}
	}
	return a
}

func reasonOf(err error) contract.Reason {
	var e *contract.Error
	switch {
	case errors.As(err, &e):
		return e.Reason
	case errors.Is(err, context.DeadlineExceeded):
		return contract.ReasonDeadline
	default:
		return contract.ReasonTargetFailed
	}
}

func (c *Client) attempt(ctx context.Context, id string, t *Target, body json.RawMessage, deadline time.Time) (*contract.LeafReply, error) {
	l, err := c.policy.Acquire(ctx, t)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	reply, err := c.send(ctx, l, &contract.LeafRequest{
		ID: id, Attempt: 1, Service: t.Service, Shard: t.Shard, IndexVersion: t.IndexVersion,
		DeadlineMS: max(time.Until(deadline).Milliseconds(), 1), Repeatable: true, Body: body,
	})
	c.policy.Release(l, time.Since(start), contract.VerdictOf(err) == contract.NotRun)
	return reply, err
}

func (c *Client) send(ctx context.Context, l *Leaf, q *contract.LeafRequest) (*contract.LeafReply, error) {
	payload, err := json.Marshal(q)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Addr+contract.LeafQueryPath, bytes.NewReader(payload))
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusConflict:
		return nil, contract.Refuse(contract.ReasonTargetRefused, errors.Newf("%s", resp.Status))
	default:
		return nil, errors.Newf("%s", resp.Status)
	}
	reply := new(contract.LeafReply)
	if err := json.Unmarshal(data, reply); err != nil {
		return nil, err
	}
	if !reply.Matches(q) {
		return nil, &contract.Error{Reason: contract.ReasonWrongReply}
	}
	return reply, nil
}
