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
type requestKind struct {
	name          string
	prefix        string
	fraction      float64 // fraction of all requests
	gathers       bool
	meanWork      time.Duration // mean, at a leaf of average speed
	targetLatency time.Duration
	timeout       time.Duration // of the caller, for all attempts together
	minCoverage   float64       // coverage that the route requires
	priority      int
}

const (
	singleService  = "ledger"
	topRecordCount = 10
)

var requestKinds = []requestKind{
	{name: "wide", prefix: "/wide/", fraction: 0.6, gathers: true, meanWork: 15 * time.Millisecond, targetLatency: 120 * time.Millisecond, timeout: 2 * time.Second, minCoverage: 0.89},
	{name: "quick", prefix: "/quick/", fraction: 0.2, gathers: true, meanWork: 5 * time.Millisecond, targetLatency: 60 * time.Millisecond, timeout: time.Second, minCoverage: 0.75, priority: 1},
	{name: "single", prefix: "/single/", fraction: 0.2, meanWork: 60 * time.Millisecond, targetLatency: 400 * time.Millisecond, timeout: 4 * time.Second, priority: 1},
}

func meanWorkOf(path string) time.Duration {
	for _, k := range requestKinds {
		if strings.HasPrefix(path, k.prefix) {
			return k.meanWork
		}
	}
	return 0
}

// kindStats counts the outcomes of the requests of one kind, as callers see them.
type kindStats struct {
	kind     requestKind
	recorder *load.Recorder

	mu           sync.Mutex
	count        int
	inTime       int
	late         int
	rejected     int
	failed       int
	retried      int // requests that took a second attempt
	coverage     float64
	wrongAnswers []string // one description for each wrong answer
}

// caller is a caller of the tier with its own address list and connections.
type caller struct {
	run    *run
	domain string
	rng    *rand.Rand
	client *http.Client

	mu          sync.Mutex
	addrs       []string
	addrsExpire time.Time
}

const (
	callerCount   = 24
	longTTLOneIn  = 5 // one list in five is kept for three times its lifetime
	lookupTimeout = time.Second
)

func (r *run) newCaller(i int) *caller {
	return &caller{
		run: r, domain: domains[i%len(domains)], rng: rand.New(rand.NewPCG(r.seed, uint64(i))),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, ResponseHeaderTimeout: 5 * time.Second}},
	}
}

// pickAddr returns the address of a random VM other than exclude, at which an attempt has failed.
func (c *caller) pickAddr(exclude string) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.addrsExpire) {
		c.refreshAddrs()
	}
	var usable []string
	for _, a := range c.addrs {
		if a != exclude {
			usable = append(usable, a)
		}
	}
	if len(usable) == 0 {
		return "", errors.New("no address is known")
	}
	return usable[c.rng.IntN(len(usable))], nil
}

// refreshAddrs fetches a new address list. If no VM answers, the old list stays. The caller must hold c.mu.
func (c *caller) refreshAddrs() {
	client := &http.Client{Timeout: lookupTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, i := range c.rng.Perm(len(c.run.tier.vms)) {
		v := c.run.tier.vms[i]
		resp, err := client.Get("http://" + v.addr(v.spec.Ports.Directory) + standin.LookupPath(host, region, c.domain))
		if err != nil {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK {
			continue
		}
		addrs, ttl, err := standin.DecodeAddresses(body)
		if err != nil {
			continue
		}
		if c.rng.IntN(longTTLOneIn) == 0 {
			ttl *= 3
		}
		c.addrs, c.addrsExpire = addrs, time.Now().Add(time.Duration(ttl*float64(time.Second)))
		return
	}
}

// sendRequest makes a request of the kind of stats. If the first attempt is not served and a
// retry is allowed, it makes a second one after the delay that the tier asks for.
func (c *caller) sendRequest(ctx context.Context, stats *kindStats, intended time.Time) {
	deadline := intended.Add(stats.kind.timeout)
	failedAddr, retried := "", false
	for {
		addr, err := c.pickAddr(failedAddr)
		var out outcome
		if err == nil {
			out = c.attempt(ctx, stats, addr, deadline)
		}
		if out.served || retried || !stats.mayRetry(out) || time.Until(deadline) <= 0 {
			stats.record(intended, out, retried)
			return
		}
		failedAddr, retried = addr, true
		time.Sleep(min(out.retryAfter, time.Until(deadline)/3))
	}
}

// outcome is the result of one attempt.
type outcome struct {
	served     bool
	rejected   bool // rejected before it ran
	coverage   float64
	retryAfter time.Duration
}

// mayRetry reports whether a second attempt is safe: a request that is not idempotent may be repeated only if it did not run.
func (s *kindStats) mayRetry(o outcome) bool { return s.kind.gathers || o.rejected }

var attemptCount atomic.Int64

func (c *caller) attempt(ctx context.Context, stats *kindStats, addr string, deadline time.Time) outcome {
	id := fmt.Sprintf("a%d", attemptCount.Add(1))
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+stats.kind.prefix+id, nil)
	if err != nil {
		return outcome{}
	}
	req.Host = host
	req.Header.Set(dialect.RequestID, id)
	req.Header.Set(dialect.Deadline, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	resp, err := c.client.Do(req)
	if err != nil {
		return outcome{}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return outcome{}
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return outcome{served: true, coverage: stats.checkAnswer(id, resp.Header, string(body), c.run.tier.shards)}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		s, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // without the header the retry is immediate
		return outcome{rejected: true, retryAfter: time.Duration(s * float64(time.Second))}
	}
	return outcome{}
}

// checkAnswer returns the coverage of an answer and records what is wrong with it.
func (s *kindStats) checkAnswer(id string, h http.Header, body string, shards []string) float64 {
	if !s.kind.gathers {
		if signature := strings.Split(h.Get(dialect.Signature), "/"); len(signature) != 3 || signature[1] != id {
			s.addWrongAnswer("%s got the answer %q", id, h.Get(dialect.Signature))
		}
		return 1
	}
	var services []string
	for _, signature := range strings.Split(strings.Join(h.Values(dialect.PartSignatures), ","), ",") {
		f := strings.Split(strings.TrimSpace(signature), "/")
		if len(f) != 3 || f[1] != id || slices.Contains(services, f[0]) {
			s.addWrongAnswer("%s got the part %q", id, signature)
			continue
		}
		services = append(services, f[0])
	}
	missing, err := strconv.Atoi(h.Get(dialect.MissingParts))
	if err != nil || missing+len(services) != len(shards) {
		s.addWrongAnswer("%s: %d parts and %q missing of %d", id, len(services), h.Get(dialect.MissingParts), len(shards))
	}
	if want := standin.TopRecords(services, id, topRecordCount); body != want {
		s.addWrongAnswer("%s: other records than the greatest of its parts", id)
	}
	return float64(len(services)) / float64(len(shards))
}

func (s *kindStats) addWrongAnswer(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wrongAnswers = append(s.wrongAnswers, fmt.Sprintf(format, args...))
}

func (s *kindStats) record(intended time.Time, o outcome, retried bool) {
	latency := time.Since(intended)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count++
	if retried {
		s.retried++
	}
	switch {
	case o.served:
		s.recorder.Record(intended, latency)
		s.coverage += o.coverage
		if latency <= s.kind.targetLatency {
			s.inTime++
		} else {
			s.late++
		}
	case o.rejected:
		s.rejected++
	default:
		s.failed++
	}
}
