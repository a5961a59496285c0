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
	addressesPath = "/v1/addresses"
	queryPath     = "/v1/query"
	answerLimit   = 64 << 20
	failoverPause = 20 * time.Millisecond // before a second round over a fresh list

	// A daemon that is paused accepts connections and answers nothing. A caller
	// that asked it again first each time would lose every request to it.
	askLimit = 250 * time.Millisecond // for one daemon to give a list
	avoidFor = 5 * time.Second        // a daemon that did not answer is tried last
)

var errNoEntry = errors.New("no daemon is known to ask for addresses")

// caller keeps address lists for their lifetime, one per path.
type caller struct {
	http    *http.Client
	entries []string

	mu     sync.Mutex
	lists  map[string]*addressList
	silent map[string]time.Time // base URL of a daemon that did not answer, and until when it is tried last
}

// addressList is filled once, by the first request that needs it.
type addressList struct {
	mu    sync.Mutex
	reply *contract.Addresses
	until time.Time
}

func newCaller(client *http.Client, entries []string) *caller {
	return &caller{http: client, entries: entries, lists: make(map[string]*addressList), silent: make(map[string]time.Time)}
}

// Outcome is how one request ended.
type Outcome struct {
	Answer    *contract.Answer  // nil unless the status was 200
	Failure   *contract.Failure // nil when there was an answer or no daemon replied
	Err       error             // the last transport error when no daemon replied
	Failovers int               // attempts at a further address
	Resends   int               // failovers of a not-repeatable request that may have arrived
	Session   string            // under which a not-repeatable request was sent
}

// Asker sends one request and follows it to its end. A session given in q is
// kept: it is that of a resend.
type Asker interface {
	Ask(ctx context.Context, q contract.Request, deadline time.Time) Outcome
}

// addresses returns the list for a path, asking for a new one when it is too old.
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
	if l.reply != nil && time.Now().Before(l.until) {
		return l.reply, nil
	}
	reply, err := c.ask(ctx, path, l.reply)
	if err != nil {
		return nil, err
	}
	l.reply = reply
	l.until = time.Now().Add(time.Duration(reply.LifetimeMS) * time.Millisecond)
	return reply, nil
}

func (c *caller) forget(path string, old *contract.Addresses) {
	c.mu.Lock()
	l := c.lists[path]
	c.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reply == old {
		l.until = time.Time{}
	}
}

// ask requests a list from the daemons of the old one and from the entries. A
// leaving daemon gives a list without a session; a daemon of that list is asked
// next, and the list without one is taken only when no other is had.
func (c *caller) ask(ctx context.Context, path string, old *contract.Addresses) (*contract.Addresses, error) {
	var bases []string
	if old != nil {
		bases = urls(old)
	}
	for _, i := range rand.Perm(len(c.entries)) {
		bases = append(bases, c.entries[i])
	}
	bases = c.silentLast(bases)
	var last error
	var without *contract.Addresses
	for i := 0; i < len(bases) && ctx.Err() == nil; i++ {
		reply, err := c.askOne(ctx, bases[i], path)
		switch {
		case err != nil:
			c.avoid(bases[i])
			last = err
		case reply.Session != "":
			return reply, nil
		case without == nil:
			without = reply
			bases = append(urls(reply), bases[i+1:]...)
			i = -1
		}
	}
	switch {
	case without != nil:
		return without, nil
	case last != nil:
		return nil, last
	case ctx.Err() != nil:
		return nil, ctx.Err()
	default:
		return nil, errNoEntry
	}
}

func (c *caller) avoid(base string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent[base] = time.Now().Add(avoidFor)
}

// silentLast returns bases with those that did not answer lately at the end.
func (c *caller) silentLast(bases []string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var heard, silent []string
	for _, b := range bases {
		if now.Before(c.silent[b]) {
			silent = append(silent, b)
		} else {
			heard = append(heard, b)
		}
	}
	return append(heard, silent...)
}

func urls(a *contract.Addresses) []string {
	out := make([]string, len(a.Addresses))
	for i := range a.Addresses {
		out[i] = a.Addresses[i].URL
	}
	return out
}

func (c *caller) askOne(ctx context.Context, base, path string) (*contract.Addresses, error) {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, answerLimit))
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
		return nil, errors.Newf("%s: the list is empty", u)
	}
	return &reply, nil
}

// Ask implements Asker: it fails over along the address list until the deadline.
func (c *caller) Ask(ctx context.Context, q contract.Request, deadline time.Time) Outcome {
	var out Outcome
	for first := true; ; first = false {
		if !first && !sleepUntil(ctx, time.Now().Add(failoverPause)) {
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
		for _, base := range c.silentLast(urls(list)) {
			if c.try(ctx, base, q, deadline, &out) {
				return out
			}
			out.Failovers++
		}
		c.forget(q.Path, list)
	}
}

// try sends to one address; it returns true when the request is decided.
func (c *caller) try(ctx context.Context, base string, q contract.Request, deadline time.Time, out *Outcome) bool {
	left := time.Until(deadline)
	if left < time.Millisecond || ctx.Err() != nil {
		if out.Err == nil {
			out.Err = context.DeadlineExceeded
		}
		return true
	}
	q.DeadlineMS = left.Milliseconds()
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
	return !elsewhere(out.Failure)
}

// elsewhere reports whether another address may do what this one refused.
func elsewhere(f *contract.Failure) bool {
	if f.Verdict != contract.NotRun {
		return false
	}
	return f.Reason == contract.ReasonDraining || f.Reason == contract.ReasonUnconfirmed
}
