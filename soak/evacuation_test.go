package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"pearmoor/internal/vm"
	"pearmoor/platform/standin"
)

const (
	// evacuationDomain is the failure domain of every second leaf. No VM is in it.
	evacuationDomain = "hall-2"
	// evacuationDelay is the time within which an acknowledged order must be in force on all
	// VMs.
	evacuationDelay = 3 * time.Second
	// evacuationAckTime is the time within which a VM must acknowledge an order when there are
	// no faults.
	evacuationAckTime = 10 * time.Second
)

// evacuationOrder is the newest order for evacuationDomain. The zero value is no order.
type evacuationOrder struct {
	mu       sync.Mutex
	evacuate bool
	ackedAt  time.Time // zero until it is acknowledged
}

func (o *evacuationOrder) set(evacuate bool, ackedAt time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.evacuate, o.ackedAt = evacuate, ackedAt
}

// inForceFor returns how long the newest order has been an acknowledged evacuation.
func (o *evacuationOrder) inForceFor() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.evacuate || o.ackedAt.IsZero() {
		return 0
	}
	return time.Since(o.ackedAt)
}

// domainOf returns the failure domain of the leaf with the given number.
func domainOf(number int64) string {
	if number%2 == 0 {
		return evacuationDomain
	}
	return domain
}

// checkNoRequestsWhileEvacuated checks that a leaf receives no requests while its failure
// domain is evacuated. Like checkNoRequestsAfterDrain it does not fail shortly after a
// disturbance.
func (l *leaf) checkNoRequestsWhileEvacuated() {
	if l.domain != evacuationDomain {
		return
	}
	if d := l.h.evacuation.inForceFor(); d > evacuationDelay && l.h.undisturbedFor() > evacuationDelay+2*time.Second {
		l.h.fail("leaf %s received a request %v after the evacuation of its domain was acknowledged", l.id, d)
	}
}

// orderEvacuation sends an order to random VMs until one acknowledges it or ctx is cancelled.
func (h *harness) orderEvacuation(ctx context.Context, rng *rand.Rand, evacuate bool) bool {
	h.evacuation.set(evacuate, time.Time{})
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		v := h.vms[rng.IntN(len(h.vms))]
		status, body := doHTTP(client, http.MethodPost, "http://"+v.addr(h.ports.operators)+standin.EvacuationPath(evacuationDomain, evacuate), "")
		switch {
		case status == http.StatusOK:
			h.evacuation.set(evacuate, time.Now())
			return true
		case status >= 400 && status < 500:
			h.fail("evacuation order %v was rejected with %d: %s", evacuate, status, body)
			return false
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// orderEvacuations starts and ends evacuations until ctx is cancelled. The operator gives up on
// some orders before they are acknowledged.
func (h *harness) orderEvacuations(ctx context.Context, rng *rand.Rand) {
	for evacuate := true; vm.Sleep(ctx, time.Duration(200+rng.IntN(3000))*time.Millisecond); evacuate = !evacuate {
		orderCtx, cancel := context.WithTimeout(ctx, time.Duration(50+rng.IntN(4000))*time.Millisecond)
		h.orderEvacuation(orderCtx, rng, evacuate)
		cancel()
	}
}

// endEvacuation ends the last evacuation.
func (h *harness) endEvacuation() {
	ctx, cancel := context.WithTimeout(context.Background(), evacuationAckTime)
	defer cancel()
	if !h.orderEvacuation(ctx, h.rng, false) {
		h.fail("the end of an evacuation was not acknowledged within %v after the faults", evacuationAckTime)
	}
}

// silenceLinks makes open connections between daemons go silent for good until ctx is
// cancelled. New connections work.
func (h *harness) silenceLinks(ctx context.Context, rng *rand.Rand) {
	for vm.Sleep(ctx, time.Duration(1000+rng.IntN(5000))*time.Millisecond) {
		v := h.vms[rng.IntN(len(h.vms))]
		h.markDisturbed()
		v.link.silence()
		v.markDisrupted()
	}
}

// checkEvacuation checks that an acknowledged evacuation outlives a kill of every VM, and that
// its end is acknowledged and followed.
func (h *harness) checkEvacuation() {
	for _, s := range allServices() {
		for !h.hasLeafIn(s, evacuationDomain) {
			h.startLeaf(s)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), evacuationAckTime)
	defer cancel()
	if !h.orderEvacuation(ctx, h.rng, true) {
		h.fail("an evacuation was not acknowledged within %v without faults", evacuationAckTime)
		return
	}
	for _, v := range h.vms {
		v.kill()
	}
	for _, v := range h.vms {
		v.start()
	}
	time.Sleep(evacuationDelay + 2*time.Second)
	if n := h.requestsInEvacuatedDomain(); n > 0 {
		h.fail("%d requests reached the evacuated domain after a kill of every VM", n)
	}
	ctx, cancel = context.WithTimeout(context.Background(), evacuationAckTime)
	defer cancel()
	if !h.orderEvacuation(ctx, h.rng, false) {
		h.fail("the end of an evacuation was not acknowledged within %v without faults", evacuationAckTime)
		return
	}
	time.Sleep(evacuationDelay)
	if h.requestsInEvacuatedDomain() == 0 {
		h.fail("the domain receives no requests %v after its evacuation was ended", evacuationDelay)
	}
}

// hasLeafIn reports whether a service has a leaf in the failure domain that is not leaving.
func (h *harness) hasLeafIn(service, domain string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(h.leaves, func(l *leaf) bool {
		return l.service == service && l.domain == domain && l.listState() == standin.Ready
	})
}

// requestsInEvacuatedDomain sends queries to every VM and returns how many requests reach
// evacuationDomain.
func (h *harness) requestsInEvacuatedDomain() int64 {
	c := &caller{h: h, key: fixedKey(usualOrg), rng: h.rng, client: &http.Client{Transport: &http.Transport{}, Timeout: 4 * time.Second}}
	defer c.client.CloseIdleConnections()
	before := h.evacuatedRequests.Load()
	for _, v := range h.vms {
		for range 10 {
			id := c.newID()
			_, _, _ = c.send(v.addr(h.ports.callers), http.MethodGet, "/search/"+id, "", id) // a refusal is no failure here
		}
	}
	return h.evacuatedRequests.Load() - before
}
