package soak

import (
	"context"
	"net/http"
	"strings"
	"time"
)

const (
	// fatalPath is of requests that crash each leaf that runs them; these are back after
	// fatalDown, at another address.
	fatalPath = "/search/fatal"
	fatalDown = time.Second
	// fatalEvery is between two attempts of one such request.
	fatalEvery = 700 * time.Millisecond
	// fatalRetries is how many attempts may reach leaves once all is calm.
	fatalRetries = 3
)

// runFatal sends a request that crashes leaves again and again, wherever callers are sent.
func (w *world) runFatal(ctx context.Context, c *caller) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		if addr := c.address(); addr != "" {
			_, _, _ = c.send(addr, http.MethodGet, fatalPath, "", c.newID())
		}
		time.Sleep(fatalEvery)
	}
}

// crash ends a leaf under a request; it stays on the list for a while.
func (l *leaf) crash() {
	if !l.crashed.CompareAndSwap(false, true) {
		return
	}
	l.link.close()
	_ = l.server.Close()
	time.Sleep(fatalDown)
	l.w.drop(l)
	l.w.startLeaf(l.service)
}

// checkFatal holds that a request that went on to crash leaves reaches hardly any once all is
// calm, at whatever VM it comes.
func (w *world) checkFatal() {
	c := &caller{w: w, rng: w.rng, client: &http.Client{Transport: &http.Transport{}, Timeout: 4 * time.Second}}
	defer c.client.CloseIdleConnections()
	var reached []string
	for range 2 {
		for _, v := range w.vms {
			id := c.newID()
			_, _, _ = c.send(v.addr(w.ports.callers), http.MethodGet, fatalPath, "", id)
			if w.runsOf(id) > 0 {
				reached = append(reached, v.name)
			}
		}
	}
	if len(reached) > fatalRetries {
		w.fail("a request that crashes leaves reaches leaves in %d attempts after all has healed, at %s", len(reached), strings.Join(reached, " "))
	}
}
