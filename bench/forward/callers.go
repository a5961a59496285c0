package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/load"
	"pearmoor/platform/standin"
)

// requestKind describes one kind of request.
type kind struct {
	name     string
	prefix   string
	share    float64 // fraction of all requests
	gathers  bool
	work     time.Duration // mean, at a leaf of average speed
	aim      time.Duration
	wait     time.Duration // of the caller, for all attempts together
	least    float64       // coverage that the route requires
	priority int
}

const (
	singleService = "ledger"
	topRecords    = 10
)

var kinds = []kind{
	{name: "wide", prefix: "/wide/", share: 0.6, gathers: true, work: 15 * time.Millisecond, aim: 120 * time.Millisecond, wait: 2 * time.Second, least: 0.89},
	{name: "quick", prefix: "/quick/", share: 0.2, gathers: true, work: 5 * time.Millisecond, aim: 60 * time.Millisecond, wait: time.Second, least: 0.75, priority: 1},
	{name: "single", prefix: "/single/", share: 0.2, work: 60 * time.Millisecond, aim: 400 * time.Millisecond, wait: 4 * time.Second, priority: 1},
}

func workOf(path string) time.Duration {
	for _, k := range kinds {
		if strings.HasPrefix(path, k.prefix) {
			return k.work
		}
	}
	return 0
}

// kindStats counts the outcomes of the requests of one kind, as callers see them.
type tally struct {
	kind     kind
	recorder *load.Recorder

	mu       sync.Mutex
	count    int
	inAim    int
	late     int
	refused  int
	failed   int
	again    int // requests that took a second attempt
	coverage float64
	faults   []string // one description for each wrong answer
}

// caller is a caller of the tier with its own address list and connections.
type caller struct {
	run    *run
	domain string
	rng    *rand.Rand
	client *http.Client

	mu    sync.Mutex
	addrs []string
	until time.Time
}

const (
	callerCount  = 24
	longKeepers  = 5 // one list in five is kept for three times its lifetime
	connectLimit = time.Second
)

func (r *run) newCaller(i int) *caller {
	return &caller{
		run: r, domain: domains[i%len(domains)], rng: rand.New(rand.NewPCG(r.seed, uint64(i))),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, ResponseHeaderTimeout: 5 * time.Second}},
	}
}

// pickAddr returns the address of a random VM other than exclude, at which an attempt has failed.
func (c *caller) address(not string) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.until) {
		c.lookup()
	}
	var fit []string
	for _, a := range c.addrs {
		if a != not {
			fit = append(fit, a)
		}
	}
	if len(fit) == 0 {
		return "", errors.New("no address is known")
	}
	return fit[c.rng.IntN(len(fit))], nil
}

// refreshAddrs fetches a new address list. If no VM answers, the old list stays. The caller must hold c.mu.
func (c *caller) lookup() {
	client := &http.Client{Timeout: connectLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, i := range c.rng.Perm(len(c.run.tier.vms)) {
		v := c.run.tier.vms[i]
		resp, err := client.Get("http://" + v.at(v.spec.Ports.Directory) + standin.LookupPath(host, region, c.domain))
		if err != nil {
			continue
		}
		text, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK {
			continue
		}
		addrs, keep, err := standin.Addresses(text)
		if err != nil {
			continue
		}
		if c.rng.IntN(longKeepers) == 0 {
			keep *= 3
		}
		c.addrs, c.until = addrs, time.Now().Add(time.Duration(keep*float64(time.Second)))
		return
	}
}

// sendRequest makes a request of the kind of t. If the first attempt is not served and a
// retry is allowed, it makes a second one after the delay that the tier asks for.
func (c *caller) ask(ctx context.Context, t *tally, intended time.Time) {
	end := intended.Add(t.kind.wait)
	failedAt, again := "", false
	for {
		addr, err := c.address(failedAt)
		var out outcome
		if err == nil {
			out = c.attempt(ctx, t, addr, end)
		}
		if out.served || again || !t.mayAskAgain(out) || time.Until(end) <= 0 {
			t.note(intended, out, again)
			return
		}
		failedAt, again = addr, true
		time.Sleep(min(out.comeBack, time.Until(end)/3))
	}
}

// outcome is the result of one attempt.
type outcome struct {
	served   bool
	refused  bool // rejected before it ran
	coverage float64
	comeBack time.Duration
}

// mayRetry reports whether a second attempt is safe: a request that is not idempotent may be repeated only if it did not run.
func (t *tally) mayAskAgain(o outcome) bool { return t.kind.gathers || o.refused }

var attempts atomic.Int64

func (c *caller) attempt(ctx context.Context, t *tally, addr string, end time.Time) outcome {
	id := fmt.Sprintf("a%d", attempts.Add(1))
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+t.kind.prefix+id, nil)
	if err != nil {
		return outcome{}
	}
	req.Host = host
	req.Header.Set(dialect.RequestID, id)
	req.Header.Set(dialect.Deadline, strconv.FormatInt(time.Until(end).Milliseconds(), 10))
	resp, err := c.client.Do(req)
	if err != nil {
		return outcome{}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return outcome{}
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return outcome{served: true, coverage: t.check(id, resp.Header, string(text), c.run.tier.shards)}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		s, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // without the header the retry is immediate
		return outcome{refused: true, comeBack: time.Duration(s * float64(time.Second))}
	}
	return outcome{}
}

// checkAnswer returns the coverage of an answer and records what is wrong with it.
func (t *tally) check(id string, h http.Header, text string, shards []string) float64 {
	if !t.kind.gathers {
		if stamp := strings.Split(h.Get(dialect.Signature), "/"); len(stamp) != 3 || stamp[1] != id {
			t.wrong("%s got the answer %q", id, h.Get(dialect.Signature))
		}
		return 1
	}
	var services []string
	for _, stamp := range strings.Split(strings.Join(h.Values(dialect.PartSignatures), ","), ",") {
		f := strings.Split(strings.TrimSpace(stamp), "/")
		if len(f) != 3 || f[1] != id || slices.Contains(services, f[0]) {
			t.wrong("%s got the part %q", id, stamp)
			continue
		}
		services = append(services, f[0])
	}
	missing, err := strconv.Atoi(h.Get(dialect.MissingParts))
	if err != nil || missing+len(services) != len(shards) {
		t.wrong("%s: %d parts and %q missing of %d", id, len(services), h.Get(dialect.MissingParts), len(shards))
	}
	if want := standin.Top(services, id, topRecords); text != want {
		t.wrong("%s: other records than the greatest of its parts", id)
	}
	return float64(len(services)) / float64(len(shards))
}

func (t *tally) wrong(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = append(t.faults, fmt.Sprintf(format, args...))
}

func (t *tally) note(intended time.Time, o outcome, again bool) {
	took := time.Since(intended)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count++
	if again {
		t.again++
	}
	switch {
	case o.served:
		t.recorder.Record(intended, took)
		t.coverage += o.coverage
		if took <= t.kind.aim {
			t.inAim++
		} else {
			t.late++
		}
	case o.refused:
		t.refused++
	default:
		t.failed++
	}
}
