package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"pearmoor/internal/forward"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/policy"
	"pearmoor/internal/relay"
	"pearmoor/internal/route"
	"pearmoor/internal/vm"
)

const (
	// askTimeout is how long an owner is waited for before the next one is asked. A call between
	// daemons takes 0.3 to 3 ms.
	askTimeout = 20 * time.Millisecond
	// patientTimeout is how long owners are waited for once none has answered in askTimeout. VMs
	// without CPU are slow together, and a caller that is refused comes back after 0.3 s or more.
	patientTimeout = 150 * time.Millisecond
	// maxGrantAge is the age, from the send of the call, at which a grant is not used: the
	// process was suspended. It is below policy.QuotaUseDelay.
	maxGrantAge = 200 * time.Millisecond
	// callTimeout is how long the reply to a call is waited for in order to give back a late
	// grant. giveBackTimeout bounds the call that does.
	callTimeout     = time.Second
	giveBackTimeout = 250 * time.Millisecond
	// maxGiveBacks bounds the concurrent calls that give back.
	maxGiveBacks = 32
	// maxCalls bounds the concurrent calls for one organisation to one owner. Further requests
	// share the next call.
	maxCalls = 4
	// initialBackoff and maxBackoff bound how long an owner is passed over after a failure. The
	// time doubles with each consecutive failure.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// notOwnerBackoff is how long a daemon that does not own the place of an organisation is
	// passed over for it: about the time in which a change of the membership is settled.
	notOwnerBackoff = 100 * time.Millisecond
	// neverAdmitted is the Retry-After of an organisation whose quota is below one request.
	neverAdmitted = 10 * time.Second
	// lineIdleTime is how long the state of an unused line is kept.
	lineIdleTime = time.Minute
)

// client asks the owners of quotas.
type client struct {
	cfg       Config
	local     *owner
	giveBacks chan struct{} // one element for each call in flight that gives back

	mu     sync.Mutex
	lines  map[lineKey]*line
	health map[string]*ownerHealth // by address; only owners that have failed
	places map[string]*cachedPlaces
}

// lineKey identifies the calls for one organisation to one owner.
type lineKey struct{ organisation, addr string }

// line is the calls for one organisation to one owner.
type line struct {
	queue         []*waiter // wait for one of the calls in flight to end
	inFlight      int
	notOwnerUntil vm.Instant
	lastUsed      vm.Instant
}

type ownerHealth struct {
	failures     int // consecutive
	backoffUntil vm.Instant
}

// cachedPlaces are the owners of an organisation's places under the memberships of a view.
type cachedPlaces struct {
	settled, pending *vm.Membership
	rate, burst      float64
	owners           []*vm.Member
	totalRate        float64 // of the places in the settled membership
	belowOne         bool    // the quota is below one request
}

// waiter is a request that waits for a call. Its fields are guarded by client.mu until done is
// closed.
type waiter struct {
	abandoned bool
	answer    answer
	done      chan struct{}
}

// answer is what an owner has answered about one request.
type answer struct {
	kind       answerKind
	retryAfter time.Duration
	refused    int
	grant      forward.QuotaGrant
	sentAt     vm.Instant // of the call
}

type answerKind uint8

const (
	unanswered answerKind = iota
	notOwner
	notAdmitted
	admitted
)

func newClient(cfg Config, local *owner) *client {
	return &client{
		cfg: cfg, local: local, giveBacks: make(chan struct{}, maxGiveBacks),
		lines: make(map[lineKey]*line), health: make(map[string]*ownerHealth), places: make(map[string]*cachedPlaces),
	}
}

// Take implements forward.Quotas.
func (q *Quotas) Take(ctx context.Context, org *route.Organisation) forward.QuotaDecision {
	if org.Rate <= 0 {
		return forward.QuotaDecision{Admitted: true, Known: true}
	}
	c := q.client
	start := c.cfg.Clock()
	d := c.take(ctx, org)
	takeMicros.Update(c.cfg.Clock().Sub(start).Microseconds())
	switch {
	case d.Admitted:
		taken.Inc(1)
	case d.Known:
		refused.Inc(1)
	default:
		unknown.Inc(1)
	}
	return d
}

// take asks the owners one after the other until one admits the request. Those in backoff are
// asked only if no other one has answered.
func (c *client) take(ctx context.Context, org *route.Organisation) forward.QuotaDecision {
	places := c.placesOf(org, c.cfg.View())
	if places == nil {
		return forward.QuotaDecision{}
	}
	if places.belowOne {
		return forward.QuotaDecision{Known: true, RetryAfter: neverAdmitted}
	}
	var d forward.QuotaDecision
	recentlyRefused := 0
	ask := func(m *vm.Member, timeout time.Duration) bool {
		a := c.ask(ctx, org.Name, m, timeout)
		if a.kind == admitted && c.cfg.Clock().Sub(a.sentAt) > maxGrantAge {
			lateGrants.Inc(1)
			c.giveBack(org.Name, m.PeerAddr, a.grant, 1)
			a.kind = unanswered
		}
		switch a.kind {
		case admitted:
			d = forward.QuotaDecision{Admitted: true, Known: true, Owner: m.PeerAddr, Grant: a.grant}
			return true
		case notAdmitted:
			if !d.Known || a.retryAfter < d.RetryAfter {
				d.RetryAfter, d.Owner = a.retryAfter, m.PeerAddr
			}
			d.Known = true
			// Each owner counts nearly all refusals, since all of them are asked.
			recentlyRefused = max(recentlyRefused, a.refused)
		}
		return false
	}
	var passedOver []*vm.Member
	for _, m := range c.inOrder(places.owners) {
		if !c.available(org.Name, m.PeerAddr) {
			passedOver = append(passedOver, m)
		} else if ask(m, askTimeout) {
			return d
		}
	}
	for _, m := range passedOver {
		if d.Known {
			break
		}
		if ask(m, askTimeout) {
			return d
		}
	}
	patientUntil := c.cfg.Clock().Add(patientTimeout)
	for _, m := range c.inOrder(places.owners) {
		left := patientUntil.Sub(c.cfg.Clock())
		if d.Known || left <= 0 {
			break
		}
		if ask(m, left) {
			return d
		}
	}
	if d.Known {
		d.RetryAfter = policy.QuotaRetryAfter(d.RetryAfter, recentlyRefused, places.totalRate)
	}
	return d
}

// inOrder returns the owners in the order in which they are asked: the one in this daemon's own
// failure domain first, the others at random, so that they fill and empty alike.
func (c *client) inOrder(owners []*vm.Member) []*vm.Member {
	out := make([]*vm.Member, 0, len(owners))
	for _, i := range rand.Perm(len(owners)) {
		out = append(out, owners[i])
		if last := len(out) - 1; owners[i].Domain == c.cfg.Self().Domain {
			out[0], out[last] = out[last], out[0]
		}
	}
	return out
}

// placesOf returns the owners of an organisation's places, or nil if no membership is known.
// While a membership is being settled, a place has an owner only if it is the same in both.
func (c *client) placesOf(org *route.Organisation, view *relay.View) *cachedPlaces {
	if view == nil || view.Settled == nil {
		return nil
	}
	c.mu.Lock()
	p := c.places[org.Name]
	c.mu.Unlock()
	if p != nil && p.settled == view.Settled && p.pending == view.Pending && p.rate == org.Rate && p.burst == org.Burst {
		return p
	}
	p = &cachedPlaces{settled: view.Settled, pending: view.Pending, rate: org.Rate, burst: org.Burst}
	settled, share := placesOf(org, view.Settled, c.cfg.Limits)
	p.owners, p.totalRate = settled, share.Rate*float64(len(settled))
	p.belowOne = len(settled) == 0 && len(policy.QuotaOwners(org.Name, view.Settled)) > 0
	if view.Pending != nil {
		inPending, _ := placesOf(org, view.Pending, c.cfg.Limits)
		p.owners = nil
		for _, m := range settled {
			for _, o := range inPending {
				if m.Name == o.Name {
					p.owners = append(p.owners, o)
				}
			}
		}
	}
	c.mu.Lock()
	c.places[org.Name] = p
	c.mu.Unlock()
	return p
}

// available reports whether an owner is not in backoff. After the backoff of a failure, one
// request tries the owner, and others pass it over until it has answered.
func (c *client) available(organisation, addr string) bool {
	now := c.cfg.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.lines[lineKey{organisation, addr}]; l != nil && now < l.notOwnerUntil {
		return false
	}
	h := c.health[addr]
	if h == nil {
		return true
	}
	if now < h.backoffUntil {
		return false
	}
	h.backoffUntil = now.Add(askTimeout)
	return true
}

// recordFailure starts or extends the backoff of an owner, once for all requests that wait for it.
// The caller must hold c.mu.
func (c *client) recordFailure(addr string, now vm.Instant) {
	h := c.health[addr]
	if h == nil {
		h = &ownerHealth{}
		c.health[addr] = h
	}
	if h.failures == 0 || h.backoffUntil.Sub(now) <= askTimeout {
		h.backoffUntil = now.Add(min(initialBackoff<<min(h.failures, 8), maxBackoff))
		h.failures++
	}
}

// ask asks one owner to admit one request.
func (c *client) ask(ctx context.Context, organisation string, m *vm.Member, timeout time.Duration) answer {
	if ctx.Err() != nil {
		return answer{}
	}
	if m.Name == c.cfg.Self().Name {
		sentAt := c.cfg.Clock()
		reply, err := c.local.Take(ctx, &wire.TakeRequest{Organisation: organisation, Count: 1})
		return answerOf(reply, err, 0, sentAt)
	}
	key := lineKey{organisation, m.PeerAddr}
	w := c.join(key)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-w.done:
		return w.answer
	case <-timer.C:
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-w.done:
		return w.answer
	default:
	}
	w.abandoned = true
	if ctx.Err() == nil {
		c.recordFailure(m.PeerAddr, c.cfg.Clock())
	}
	return answer{}
}

// join adds a request to the calls for an organisation to an owner. A call is made at once unless
// maxCalls are in flight.
func (c *client) join(key lineKey) *waiter {
	w := &waiter{done: make(chan struct{})}
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.lines[key]
	if l == nil {
		l = &line{}
		c.lines[key] = l
	}
	l.lastUsed = c.cfg.Clock()
	l.queue = append(l.queue, w)
	if l.inFlight < maxCalls {
		l.inFlight++
		batch := l.nextBatch()
		go c.callWhileQueued(key, l, batch)
	}
	return w
}

// nextBatch removes the queued requests and returns those that still wait.
func (l *line) nextBatch() []*waiter {
	var batch []*waiter
	for _, w := range l.queue {
		if !w.abandoned {
			batch = append(batch, w)
		}
	}
	l.queue = nil
	return batch
}

func (c *client) callWhileQueued(key lineKey, l *line, batch []*waiter) {
	for len(batch) > 0 {
		c.call(key, l, batch)
		c.mu.Lock()
		batch = l.nextBatch()
		if len(batch) == 0 {
			l.inFlight--
		}
		c.mu.Unlock()
	}
}

// call makes one call for a batch of requests. What is granted to requests that no longer wait is
// given back.
func (c *client) call(key lineKey, l *line, batch []*waiter) {
	sentAt := c.cfg.Clock()
	reply, err := c.sendTake(key, len(batch))
	now := c.cfg.Clock()
	c.mu.Lock()
	switch {
	case now.Sub(sentAt) > askTimeout: // the requests that waited for it have recorded a failure
	case err != nil:
		c.recordFailure(key.addr, now)
	default:
		delete(c.health, key.addr)
	}
	if reply.GetNotOwner() {
		l.notOwnerUntil = now.Add(notOwnerBackoff)
	}
	left := min(int(reply.GetAdmitted()), len(batch))
	granted := answerOf(reply, err, 0, sentAt)
	for _, w := range batch {
		if w.abandoned {
			continue
		}
		if left > 0 {
			w.answer = granted
			left--
		} else {
			w.answer = answerOf(reply, err, 1, sentAt)
		}
		close(w.done)
	}
	c.mu.Unlock()
	if left > 0 {
		lateGrants.Inc(int64(left))
		c.giveBack(key.organisation, key.addr, granted.grant, left)
	}
}

// answerOf returns the answer of a reply to a request that comes after the given number of admitted
// ones, at most 1.
func answerOf(reply *wire.TakeReply, err error, after uint32, sentAt vm.Instant) answer {
	a := answer{sentAt: sentAt}
	switch {
	case err != nil:
	case reply.GetNotOwner():
		a.kind = notOwner
	case reply.GetAdmitted() > 0 && after == 0:
		a.kind = admitted
		a.grant = forward.QuotaGrant{Bucket: reply.GetBucket(), GrantedAt: reply.GetGrantedAt()}
	default:
		a.kind = notAdmitted
		a.retryAfter = time.Duration(reply.GetRetryAfterUs()) * time.Microsecond
		a.refused = int(reply.GetRefused())
	}
	return a
}

func (c *client) sendTake(key lineKey, n int) (*wire.TakeReply, error) {
	// The call outlives the wait for it, since only its reply tells what must be given back.
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	conn, err := c.cfg.Conns.Conn(ctx, key.addr)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	return wire.NewDRPCQuotaClient(conn).Take(ctx, &wire.TakeRequest{Organisation: key.organisation, Count: uint32(n)})
}

// GiveBack implements forward.Quotas.
func (q *Quotas) GiveBack(org *route.Organisation, d forward.QuotaDecision) {
	if d.Admitted && d.Owner != "" {
		q.client.giveBack(org.Name, d.Owner, d.Grant, 1)
	}
}

// giveBack returns n granted requests to their owner. It does not wait for the call, which is not
// repeated: the owner could count it twice.
func (c *client) giveBack(organisation, addr string, grant forward.QuotaGrant, n int) {
	req := &wire.GiveBackRequest{Organisation: organisation, Count: uint32(n), Bucket: grant.Bucket, GrantedAt: grant.GrantedAt}
	if addr == c.cfg.Self().PeerAddr {
		givenBack.Inc(int64(n))
		_, _ = c.local.GiveBack(context.Background(), req)
		return
	}
	select {
	case c.giveBacks <- struct{}{}:
	default:
		lostReturns.Inc(int64(n))
		return
	}
	givenBack.Inc(int64(n))
	go func() {
		defer func() { <-c.giveBacks }()
		ctx, cancel := context.WithTimeout(context.Background(), giveBackTimeout)
		defer cancel()
		conn, err := c.cfg.Conns.Conn(ctx, addr)
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		// A lost return costs the organisation one request; nothing else depends on it.
		_, _ = wire.NewDRPCQuotaClient(conn).GiveBack(ctx, req)
	}()
}

// cleanup removes the state of organisations that are gone and of unused lines and owners.
func (c *client) cleanup() {
	now := c.cfg.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.places {
		if _, ok := c.cfg.Organisation(name); !ok {
			delete(c.places, name)
		}
	}
	for key, l := range c.lines {
		if l.inFlight == 0 && len(l.queue) == 0 && now.Sub(l.lastUsed) > lineIdleTime {
			delete(c.lines, key)
		}
	}
	for addr, h := range c.health {
		if now.Sub(h.backoffUntil) > lineIdleTime {
			delete(c.health, addr)
		}
	}
}
