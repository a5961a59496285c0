package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pearmoor/platform/standin"
)

const (
	shardsOfAll  = 10 // services from which each configuration selects its shards
	shardsOfOne  = 8
	topOfAnswer  = 5
	keepAddrs    = 2 * time.Second
	callerWait   = 1500 * time.Millisecond
	callersCount = 8
	// settleTime is how long after the answer the runs of a request are counted, to detect
	// leaves that start a request late, after it was reported as not run.
	settleTime = 2500 * time.Millisecond
)

// caller fetches an address list, caches it for addressLifetime, and sends one request
// after another.
type caller struct {
	w      *world
	rng    *rand.Rand
	client *http.Client
	addrs  []string
	asked  time.Time
}

func (w *world) runCallers(ctx context.Context, wg *sync.WaitGroup) {
	for i := range callersCount {
		c := &caller{w: w, rng: rand.New(rand.NewPCG(uint64(i), 7)), client: &http.Client{Transport: &http.Transport{}, Timeout: 4 * time.Second}}
		wg.Go(func() {
			for ctx.Err() == nil {
				c.one()
				time.Sleep(time.Duration(5+c.rng.IntN(30)) * time.Millisecond)
			}
			c.client.CloseIdleConnections()
		})
	}
}

// entryAddr returns a random address of the cached list. It fetches a new list from the
// first directory that answers if the cached one has expired.
func (c *caller) address() string {
	if time.Since(c.asked) > keepAddrs || len(c.addrs) == 0 {
		client := &http.Client{Timeout: time.Second}
		for _, i := range c.rng.Perm(daemons) {
			v := c.w.vms[i]
			status, body := get(client, http.MethodGet, "http://"+v.addr(c.w.ports.directory)+standin.LookupPath(host, region, domain), "")
			if status != http.StatusOK {
				continue
			}
			addrs, _, err := standin.Addresses(body)
			if err != nil {
				c.w.fail("%s: %v", v.name, err)
				continue
			}
			c.addrs, c.asked = addrs, time.Now()
			break
		}
		client.CloseIdleConnections()
	}
	if len(c.addrs) == 0 {
		return ""
	}
	return c.addrs[c.rng.IntN(len(c.addrs))]
}

func (c *caller) one() {
	addr := c.address()
	if addr == "" {
		return
	}
	if c.rng.IntN(3) == 0 {
		c.charge(addr)
		return
	}
	c.search(addr)
}

// send sends one request without retries and returns the answer.
func (c *caller) send(addr, method, path, body, id string) (*http.Response, string, error) {
	c.w.mu.Lock()
	c.w.wants[id] = method + " " + path + " " + body
	c.w.mu.Unlock()
	var rd io.Reader
	if body != "" {
		rd = io.MultiReader(strings.NewReader(body)) // not rewindable, so that the HTTP client can't retry
	}
	req, err := http.NewRequest(method, "http://"+addr+path, rd)
	if err != nil {
		return nil, "", err
	}
	if body != "" {
		req.ContentLength = int64(len(body))
	}
	req.Host = host
	req.Header.Set(dialect.RequestID, id)
	req.Header.Set(dialect.Deadline, strconv.FormatInt(callerWait.Milliseconds(), 10))
	var reused atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reused.Store(i.Reused) }}
	resp, err := c.client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		c.checkCut(addr, id, err)
		return nil, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		c.checkCut(addr, id, err)
		return nil, "", err
	}
	c.w.mu.Lock()
	c.w.served[fmt.Sprint(resp.StatusCode)]++
	c.w.mu.Unlock()
	return resp, string(text), nil
}

// checkNotCutOff checks that a graceful stop does not cut off a request that a leaf has
// begun to run. Errors are expected within 6 s after a kill, pause or start.
func (c *caller) checkCut(addr, id string, err error) {
	v := c.w.vmAt(addr)
	if v == nil || v.harmedWithin(6*time.Second) || strings.Contains(err.Error(), "Client.Timeout") {
		return
	}
	if c.w.runsOf(id) > 0 {
		c.w.fail("%s cut off request %s, which a leaf had begun to run: %v", v.name, id, err)
	}
}

func (c *caller) newID() string { return fmt.Sprintf("r%d", c.w.nextID.Add(1)) }

// sendCharge sends a request that must run at most once, and checks its runs.
func (c *caller) charge(addr string) {
	id := c.newID()
	resp, _, err := c.send(addr, http.MethodPost, "/charge/"+id, "body of "+id, id)
	refused := err == nil && slices.Contains([]int{408, 421, 429, 503}, resp.StatusCode)
	ok := err == nil && resp.StatusCode == http.StatusOK
	time.AfterFunc(settleTime, func() {
		switch n := c.w.runsOf(id); {
		case n > 1:
			c.w.fail("request %s ran %d times", id, n)
		case refused && n > 0:
			c.w.fail("request %s was reported as not run but has run", id)
		case ok && n != 1:
			c.w.fail("request %s was answered but ran %d times", id, n)
		}
	})
}

// sendSearch sends a query that gathers the parts of several shards, and checks its answer.
func (c *caller) search(addr string) {
	id := c.newID()
	resp, text, err := c.send(addr, http.MethodGet, "/search/"+id, "", id)
	if err != nil || resp.StatusCode != http.StatusOK {
		return
	}
	var services []string
	for _, stamp := range strings.Split(strings.Join(resp.Header.Values(dialect.PartSignatures), ","), ",") {
		fields := strings.Split(strings.TrimSpace(stamp), "/")
		if len(fields) != 3 || fields[1] != id {
			c.w.fail("request %s was answered with a part of another request: %q", id, stamp)
			return
		}
		if slices.Contains(services, fields[0]) {
			c.w.fail("answer to request %s has two parts of %s", id, fields[0])
		}
		services = append(services, fields[0])
	}
	missing, _ := strconv.Atoi(resp.Header.Get(dialect.MissingParts))
	if len(services)+missing != shardsOfOne || len(services) < 5 {
		c.w.fail("request %s: %d parts and %d missing, of %d shards", id, len(services), missing, shardsOfOne)
	}
	if !c.w.ops.oneConfiguration(services) {
		c.w.fail("request %s: parts %v do not belong to one configuration", id, services)
	}
	if want := standin.Top(services, id, topOfAnswer); text != want {
		c.w.fail("request %s: got %q, want %q", id, text, want)
	}
}
