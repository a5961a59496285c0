package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
)

const (
	addressesPath  = "/v1/addresses"
	queryPath      = "/v1/query"
	maxAnswerBytes = 64 << 20
	maxHeadBytes   = 1 << 20               // limit on the headers of an answer
	failoverDelay  = 20 * time.Millisecond // before the addresses of a new list are tried

	// A paused daemon accepts connections but never answers. Without avoidPeriod, a
	// caller would try it first for every request and lose all of them.
	addressTimeout = 250 * time.Millisecond // for one daemon to return an address list
	avoidPeriod    = 5 * time.Second        // for which a daemon that did not answer is tried last
)

var errNoDaemon = errors.New("no daemon is known from which to request addresses")

// caller implements Querier. It caches one address list per path for the list's lifetime.
type caller struct {
	http      *http.Client
	entryURLs []string

	mu         sync.Mutex
	lists      map[string]*addressList
	avoidUntil map[string]time.Time // by base URL of a daemon that did not answer: until when it is tried last
}

// addressList is the cached list of a path. mu is held while the list is fetched, so that
// concurrent requests cause a single fetch.
type addressList struct {
	mu        sync.Mutex
	reply     *contract.Addresses
	expiresAt time.Time
}

func newCaller(client *http.Client, entryURLs []string) *caller {
	return &caller{http: client, entryURLs: entryURLs, lists: make(map[string]*addressList), avoidUntil: make(map[string]time.Time)}
}

// Outcome is the result of one request.
type Outcome struct {
	Answer    *contract.Answer  // nil unless the status was 200
	Failure   *contract.Failure // nil if there was an answer or no daemon replied
	Err       error             // last transport error if no daemon replied, or the error of decoding the reply
	Failovers int               // attempts after the first
	Resends   int               // failovers of a non-repeatable request after an attempt that may have arrived
	Session   string            // session of a non-repeatable request
}

// Querier sends one request and returns its outcome. If q has a session, the request is a
// resend and keeps that session.
type Querier interface {
	Query(ctx context.Context, q contract.Request, deadline time.Time) Outcome
}

// addresses returns the address list of a path, fetching a new one if the cached one has
// expired.
func (c *caller) addresses(ctx context.Context, path string) (*contract.Addresses, error) {
	c.mu.Lock()
	l := c.lists[path]
	if l == nil {
		l = &addressList{}
		c.lists[path] = l
	}
	c.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reply != nil && time.Now().Before(l.expiresAt) {
		return l.reply, nil
	}
	reply, err := c.fetchAddresses(ctx, path, l.reply)
	if err != nil {
		return nil, err
	}
	l.reply = reply
	l.expiresAt = time.Now().Add(time.Duration(reply.LifetimeMS) * time.Millisecond)
	return reply, nil
}

func (c *caller) expire(path string, old *contract.Addresses) {
	c.mu.Lock()
	l := c.lists[path]
	c.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reply == old {
		l.expiresAt = time.Time{}
	}
}

// fetchAddresses requests an address list from the daemons of the old list and then from
// entryURLs. A draining daemon returns a list without a session; then the daemons of that
// list are tried next, and the list without a session is the last resort.
func (c *caller) fetchAddresses(ctx context.Context, path string, old *contract.Addresses) (*contract.Addresses, error) {
	var bases []string
	if old != nil {
		bases = urls(old)
	}
	for _, i := range rand.Perm(len(c.entryURLs)) {
		bases = append(bases, c.entryURLs[i])
	}
	bases = c.avoidedLast(bases)
	var lastErr error
	var withoutSession *contract.Addresses
	for i := 0; i < len(bases) && ctx.Err() == nil; i++ {
		reply, err := c.fetchFrom(ctx, bases[i], path)
		switch {
		case err != nil:
			c.avoid(bases[i])
			lastErr = err
		case reply.Session != "":
			return reply, nil
		case withoutSession == nil:
			withoutSession = reply
			bases = append(urls(reply), bases[i+1:]...)
			i = -1
		}
	}
	switch {
	case withoutSession != nil:
		return withoutSession, nil
	case lastErr != nil:
		return nil, lastErr
	case ctx.Err() != nil:
		return nil, ctx.Err()
	default:
		return nil, errNoDaemon
	}
}

func (c *caller) avoid(base string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidUntil[base] = time.Now().Add(avoidPeriod)
}

// avoidedLast returns bases with the daemons that did not answer recently moved to the end.
func (c *caller) avoidedLast(bases []string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var preferred, avoided []string
	for _, b := range bases {
		if now.Before(c.avoidUntil[b]) {
			avoided = append(avoided, b)
		} else {
			preferred = append(preferred, b)
		}
	}
	return append(preferred, avoided...)
}

func urls(a *contract.Addresses) []string {
	out := make([]string, len(a.Addresses))
	for i := range a.Addresses {
		out[i] = a.Addresses[i].URL
	}
	return out
}

func (c *caller) fetchFrom(ctx context.Context, base, path string) (*contract.Addresses, error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	u := base + addressesPath + "?service=" + url.QueryEscape(path)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("%s: %s: %s", u, resp.Status, bytes.TrimSpace(body))
	}
	var reply contract.Addresses
	if err := json.Unmarshal(body, &reply); err != nil {
		return nil, errors.Wrap(err, u)
	}
	if len(reply.Addresses) == 0 {
		return nil, errors.Newf("%s: address list is empty", u)
	}
	return &reply, nil
}

// Query implements Querier. It fails over along the address list until the deadline.
func (c *caller) Query(ctx context.Context, q contract.Request, deadline time.Time) Outcome {
	var out Outcome
	for first := true; ; first = false {
		if !first && !sleepUntil(ctx, time.Now().Add(failoverDelay)) {
			return out
		}
		list, err := c.addresses(ctx, q.Path)
		if err != nil {
			out.Err = err
			return out
		}
		if q.Session == "" && !q.IsRepeatable() {
			q.Session = list.Session
		}
		out.Session = q.Session
		for _, base := range c.avoidedLast(urls(list)) {
			if c.tryAddress(ctx, base, q, deadline, &out) {
				return out
			}
			out.Failovers++
		}
		c.expire(q.Path, list)
	}
}

// tryAddress sends q to one address. It returns true if no further address may be tried.
func (c *caller) tryAddress(ctx context.Context, base string, q contract.Request, deadline time.Time, out *Outcome) bool {
	remaining := time.Until(deadline)
	if remaining < time.Millisecond || ctx.Err() != nil {
		if out.Err == nil {
			out.Err = context.DeadlineExceeded
		}
		return true
	}
	q.DeadlineMS = remaining.Milliseconds()
	status, body, wrote, err := c.post(ctx, base+queryPath, &q)
	if err != nil {
		c.avoid(base)
		out.Err, out.Failure = err, nil
		if wrote && !q.IsRepeatable() {
			out.Resends++
		}
		return false
	}
	out.Err = nil
	if status == http.StatusOK {
		out.Answer = new(contract.Answer)
		out.Err = json.Unmarshal(body, out.Answer)
		return true
	}
	out.Failure = new(contract.Failure)
	if err := json.Unmarshal(body, out.Failure); err != nil {
		out.Err = errors.Wrapf(err, "status %d", status)
		return true
	}
	return !retryElsewhere(out.Failure)
}

// retryElsewhere reports whether another address may accept the refused request.
func retryElsewhere(f *contract.Failure) bool {
	if f.Verdict != contract.NotRun {
		return false
	}
	return f.Reason == contract.ReasonDraining || f.Reason == contract.ReasonUnconfirmed
}
