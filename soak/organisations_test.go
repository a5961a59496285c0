package soak

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"pearmoor/internal/route"
	"pearmoor/internal/vm"
	"pearmoor/platform/standin"
)

const (
	// revokeTime, quotaWindow, quotaOver and quotaSlack are the bounds in the settings of the
	// VMs. revokeTime leaves time for an election after the disk of the machine that runs the soak
	// has stalled: with 2.5 s all VMs refused keys for 0.4 s after a stall of 1 s.
	revokeTime  = 4 * time.Second
	quotaWindow = 5 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 20
	// writeMargin is the time from the check of a key in a VM until a leaf reads the request, with
	// that of a busy machine.
	writeMargin = 500 * time.Millisecond
	// patientHold is how long a leaf holds a patient request before it refuses it, and
	// patientTimeout the time-out of such requests. With that of the others no VM would send one
	// again after a key that was revoked since its arrival is dead.
	patientHold    = revokeTime + writeMargin + 500*time.Millisecond
	patientTimeout = 10 * time.Second
	// outdatedTime is how long a VM that resumes is cut off.
	outdatedTime = 300 * time.Millisecond
	// restartTime is how long requests are sent while all VMs restart.
	restartTime = 8 * time.Second
	// servedAfterFaults is the time after the last fault within which requests of an
	// organisation below its limit must be served again. From then on no VM may answer 503 to two
	// of them in a row, or to more than maxUnavailable of them: a VM that waits for its turn on
	// the processor for 20 ms answers 503, since no owner of the quota has answered in time.
	servedAfterFaults = 3 * time.Second
	maxUnavailable    = 0.02
)

// Organisations and keys. No key appears in a log, so all of them have keyPrefix, for which the
// logs are searched.
const (
	keyPrefix      = "sk-soak-"
	unknownKey     = keyPrefix + "unknown"
	usualOrg       = "usual"   // of the callers that runs without organisations have too
	calmOrg        = "calm"    // far below its limit
	noisyOrg       = "noisy"   // sends many times its quota in bursts
	hastyOrg       = "hasty"   // retries immediately
	varyingOrg     = "varying" // its quota is lowered and raised
	forgedOrg      = "forged"  // in the header of callers; it does not exist
	movingKeys     = 8         // keys that are given, taken away, moved and given back
	movingOrgs     = 3         // the organisations that have them
	publicPath     = "/public/"
	patientPath    = "/patient/"
	scheduleLength = 5 * time.Minute // longer than a run
)

func fixedKey(org string) string { return keyPrefix + org }
func movingKey(i int) string     { return fmt.Sprintf("%smoving-%d", keyPrefix, i) }
func movingOrg(i int) string     { return fmt.Sprintf("moving-%d", i) }

// hasOrganisations reports whether the runs of a seed have organisations. The seeds of
// regressions have none, so that they play the faults that they have played before.
func hasOrganisations(seed uint64) bool { return seed%3 == 1 }

// vmDomains are the failure domains of the VMs of a run with organisations: each of them has an
// owner of each quota. Without organisations all VMs are in the first one.
var vmDomains = []string{domain, "hall-3", "hall-4", domain, "hall-3"}

// organisations is the state of a run with organisations.
type organisations struct {
	h        *harness
	start    time.Time
	holders  [movingKeys][]holding // of each moving key, in ascending order of time
	highRate []time.Duration       // the quota of varyingOrg changes at these times; it is high first

	mu                    sync.Mutex
	configurations        []keyConfiguration        // as sent, in ascending order of number
	requests              map[string]*keyedRequest  // by request ID
	answers               map[string]map[string]int // number by organisation and status
	faultsEnded           time.Time                 // zero until then
	checkedUntil          time.Time                 // zero until the checks without faults end
	unavailable           map[string]bool           // whether the last checked request of calmOrg to a VM was answered 503
	calm, calmUnavailable int                       // checked requests of calmOrg, and those that were answered 503
	revokedAnswers        map[string]int            // number of answers to requests with keys that were dead, by status and body
	pauses                int                       // beyond the lease
}

// holding is an organisation that has a key from some time on, "" if none has it.
type holding struct {
	from time.Duration
	org  string
}

// keyConfiguration is the part of a configuration that concerns organisations.
type keyConfiguration struct {
	number int
	sent   time.Time         // before it was first sent
	keys   map[string]string // organisation by key
	quotas map[string]quota  // by organisation
}

type quota struct{ rate, burst float64 }

func (q quota) bound() float64 {
	return (q.rate*quotaWindow.Seconds()+q.burst)*(1+quotaOver) + quotaSlack
}

// keyedRequest is a request as its caller sent it, and when it first arrived at a leaf.
type keyedRequest struct {
	key     string // "": none
	sent    time.Time
	arrived time.Time // zero: it did not
	refused bool      // a leaf has held it and then refused it
	org     string    // as the leaf received it
}

// newOrganisations draws when keys and quotas change, from a separate random source: it does not
// change the other faults of the seed.
func newOrganisations(h *harness, seed uint64) *organisations {
	o := &organisations{h: h, start: time.Now(), requests: make(map[string]*keyedRequest), answers: make(map[string]map[string]int), unavailable: make(map[string]bool), revokedAnswers: make(map[string]int)}
	rng := rand.New(rand.NewPCG(seed, 20))
	for k := range o.holders {
		at := time.Duration(0)
		for org := movingOrg(rng.IntN(movingOrgs)); at < scheduleLength; {
			o.holders[k] = append(o.holders[k], holding{at, org})
			at += time.Duration(1500+rng.IntN(4000)) * time.Millisecond
			if org != "" && rng.IntN(3) > 0 {
				org = "" // longer than revokeTime, so that there is a time when the key must not run
				at += revokeTime
			} else {
				org = movingOrg(rng.IntN(movingOrgs))
			}
		}
	}
	for at := time.Duration(0); at < scheduleLength; {
		at += time.Duration(5000+rng.IntN(4000)) * time.Millisecond
		o.highRate = append(o.highRate, at)
	}
	return o
}

// addTo adds the organisations of now to a configuration, a route that needs no key, and one with
// a long time-out. It is called in ascending order of number.
func (o *organisations) addTo(r *route.Release) {
	age := time.Since(o.start)
	varying := quota{60, 30}
	if slices.IndexFunc(o.highRate, func(at time.Duration) bool { return at > age })%2 == 1 {
		varying = quota{4, 2}
	}
	c := keyConfiguration{number: int(r.Number), sent: time.Now(), keys: make(map[string]string), quotas: map[string]quota{
		usualOrg: {3000, 1500}, calmOrg: {900, 300}, noisyOrg: {5, 60}, hastyOrg: {10, 4}, varyingOrg: varying,
	}}
	for _, name := range slices.Sorted(maps.Keys(c.quotas)) {
		org := route.Organisation{Name: name, Keys: []string{fixedKey(name)}, Rate: c.quotas[name].rate, Burst: c.quotas[name].burst}
		org.HasPriority = name == noisyOrg // 0, the highest: its quota must limit it, not its priority
		r.Organisations = append(r.Organisations, org)
		c.keys[fixedKey(name)] = name
	}
	for i := range movingOrgs {
		org := route.Organisation{Name: movingOrg(i)}
		for k, holders := range o.holders {
			next := slices.IndexFunc(holders, func(h holding) bool { return h.from > age })
			if next > 0 && holders[next-1].org == org.Name {
				org.Keys = append(org.Keys, movingKey(k))
				c.keys[movingKey(k)] = org.Name
			}
		}
		r.Organisations = append(r.Organisations, org)
	}
	r.KeysRequired = true
	r.Routes = append(r.Routes,
		route.Route{Name: "public", Host: hostname, Prefix: publicPath, Repeatable: true, Public: true,
			Timeout: 2 * time.Second, TargetLatency: 400 * time.Millisecond, Service: ledger, MaxAttempts: 2},
		route.Route{Name: "patient", Host: hostname, Prefix: patientPath,
			Timeout: patientTimeout, TargetLatency: 400 * time.Millisecond, Service: ledger, MaxAttempts: 2})
	o.mu.Lock()
	o.configurations = append(o.configurations, c)
	o.mu.Unlock()
}

// sinceNumber returns the configurations that may be in force now if the one with the given
// number, or a newer one, is. The caller must hold mu.
func (o *organisations) sinceNumber(n int) []keyConfiguration {
	i, _ := slices.BinarySearchFunc(o.configurations, n, func(c keyConfiguration, n int) int { return c.number - n })
	return o.configurations[i:]
}

// setHeaders records a request of a caller and sets its headers. Every second request states an
// organisation itself.
func (o *organisations) setHeaders(header http.Header, id, key string) {
	if key != "" {
		header.Set(dialect.Key, dialect.KeyScheme+" "+key)
	}
	if (id[len(id)-1]-'0')%2 == 0 {
		header.Set(dialect.Organisation, forgedOrg)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.requests[id] = &keyedRequest{key: key, sent: time.Now()}
}

// checkAtLeaf checks a request that a leaf has received: it contains no key, and its organisation
// has the key that the caller used in a configuration that may be in force. A key that was
// revoked by a configuration that was acknowledged more than revokeTime before the caller sent
// the request must not run. If the link to the leaf was open, this holds for the time at which the
// request arrives as well: the VM checks the key again before it writes the request.
func (o *organisations) checkAtLeaf(l *leaf, r *http.Request, id string) {
	now := time.Now()
	for name, values := range r.Header {
		if name == dialect.Key || strings.Contains(strings.Join(values, " "), keyPrefix) {
			o.h.fail("leaf %s received a key in the header %s of request %s", l.id, name, id)
		}
	}
	got := r.Header.Values(dialect.Organisation)
	o.mu.Lock()
	req := o.requests[id]
	o.mu.Unlock()
	if req == nil {
		return // recordRun fails
	}
	asOf := req.sent
	if written := now.Add(-writeMargin); written.After(asOf) && l.linkOpenSince(req.sent) {
		asOf = written
	}
	oldest := o.h.operators.newestAcked(asOf.Add(-revokeTime))
	o.mu.Lock()
	defer o.mu.Unlock()
	if req.arrived.IsZero() {
		req.arrived = now
		req.org = strings.Join(got, ",")
	}
	if req.key == "" {
		if len(got) > 0 || !strings.HasPrefix(r.RequestURI, publicPath) {
			o.h.fail("leaf %s received request %s, which has no key, for %s with the organisation %q", l.id, id, r.RequestURI, got)
		}
		return
	}
	var holders []string
	for _, c := range o.sinceNumber(oldest) {
		if org := c.keys[req.key]; org != "" && !slices.Contains(holders, org) {
			holders = append(holders, org)
		}
	}
	if len(got) != 1 || !slices.Contains(holders, got[0]) {
		o.h.fail("leaf %s received request %s with the organisation %q %v after it was sent; since configuration %d, acknowledged more than %v before %s, its key %s belongs to %q",
			l.id, id, got, now.Sub(req.sent), oldest, revokeTime, asOf.Format("15:04:05.000"), route.DigestKey(req.key).Fingerprint(), holders)
	}
}

// checkAnswer checks the answer to a request. A key that has been in force everywhere since
// before the request was sent must not be refused, whatever state the VM is in. Without faults
// the requests of calmOrg are served.
func (o *organisations) checkAnswer(addr, id, key string, status int, body string) {
	v := o.h.vmAtAddr(addr)
	o.mu.Lock()
	req := o.requests[id]
	o.mu.Unlock()
	if v == nil || req == nil {
		return
	}
	inForce, revoked := o.h.operators.newestAcked(req.sent.Add(-applyDelay)), o.h.operators.newestAcked(req.sent.Add(-revokeTime))
	o.mu.Lock()
	defer o.mu.Unlock()
	valid := inForce > 0 && !slices.ContainsFunc(o.sinceNumber(inForce), func(c keyConfiguration) bool { return c.keys[key] == "" })
	if revoked > 0 && key != "" && !slices.ContainsFunc(o.sinceNumber(revoked), func(c keyConfiguration) bool { return c.keys[key] != "" }) {
		answer := fmt.Sprint(status)
		if status != http.StatusOK {
			answer += " " + strings.TrimSpace(body)
		}
		o.revokedAnswers[answer]++
	}
	org := strings.TrimPrefix(key, keyPrefix)
	if o.answers[org] == nil {
		o.answers[org] = make(map[string]int)
	}
	o.answers[org][fmt.Sprint(status)]++
	if status == http.StatusUnauthorized && valid {
		o.h.fail("%s answered 401 to request %s although its key %s has been in force for more than %v", v.name, id, route.DigestKey(key).Fingerprint(), applyDelay)
	}
	if key != fixedKey(calmOrg) || o.faultsEnded.IsZero() || !o.checkedUntil.IsZero() || req.sent.Sub(o.faultsEnded) < servedAfterFaults {
		return
	}
	o.calm++
	refused := status == http.StatusUnauthorized || status == http.StatusTooManyRequests
	if status == http.StatusServiceUnavailable {
		o.calmUnavailable++
		refused = o.unavailable[v.name]
		o.h.t.Logf("%s answered 503 after %v to request %s of an organisation below its limit, sent %v after the last fault: %s", v.name, time.Since(req.sent), id, req.sent.Sub(o.faultsEnded), strings.TrimSpace(body))
	}
	o.unavailable[v.name] = status == http.StatusServiceUnavailable
	if refused {
		o.h.fail("%s refused request %s of an organisation below its limit %v after the last fault: %d %s", v.name, id, req.sent.Sub(o.faultsEnded), status, body)
	}
}

// endFaults records that the last fault has ended.
func (o *organisations) endFaults() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faultsEnded = time.Now()
}

// endChecks records that faults may follow again.
func (o *organisations) endChecks() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.checkedUntil = time.Now()
}

// runCallers runs the callers of the organisations. They send to VMs in any state.
func (o *organisations) runCallers(ctx context.Context, wg *sync.WaitGroup, seed uint64) {
	stream := uint64(30)
	run := func(key string, loop func(c *caller)) {
		c := &caller{h: o.h, key: key, rng: rand.New(rand.NewPCG(seed, stream)), client: &http.Client{Transport: &http.Transport{}, Timeout: 4 * time.Second}}
		stream++
		wg.Go(func() {
			defer c.client.CloseIdleConnections()
			for ctx.Err() == nil {
				loop(c)
			}
		})
	}
	get := func(c *caller, v *vmProcess, prefix string) int {
		id := c.newID()
		resp, _, err := c.send(v.addr(o.h.ports.callers), http.MethodGet, prefix+id, "", id)
		if err != nil {
			return 0
		}
		return resp.StatusCode
	}
	for _, v := range o.h.vms {
		run(fixedKey(calmOrg), func(c *caller) {
			get(c, v, "/search/")
			vm.Sleep(ctx, 50*time.Millisecond)
		})
		// Keys that move, and a key that never existed. This caller does not wait for answers, so
		// that a paused VM resumes with requests that were sent at any time during its pause.
		run("", func(c *caller) {
			one := *c
			switch n := c.rng.IntN(movingKeys + 2); n {
			case movingKeys:
				one.key = unknownKey
				wg.Go(func() { get(&one, v, "/search/") })
			case movingKeys + 1:
				prefix := []string{publicPath, "/search/"}[c.rng.IntN(2)]
				wg.Go(func() { get(&one, v, prefix) })
			default:
				one.key = movingKey(n)
				if c.rng.IntN(3) == 0 {
					wg.Go(func() { one.sendCharge(v.addr(o.h.ports.callers)) })
				} else {
					wg.Go(func() { one.sendSearch(v.addr(o.h.ports.callers)) })
				}
			}
			vm.Sleep(ctx, 50*time.Millisecond)
		})
		// Bursts of quotaWindow after 4 s with few requests, in which the buckets fill.
		run(fixedKey(noisyOrg), func(c *caller) {
			get(c, v, "/search/")
			if time.Since(o.start)%(quotaWindow+4*time.Second) < quotaWindow {
				vm.Sleep(ctx, 10*time.Millisecond)
			} else {
				vm.Sleep(ctx, time.Second)
			}
		})
		run(fixedKey(varyingOrg), func(c *caller) {
			get(c, v, "/search/")
			vm.Sleep(ctx, 30*time.Millisecond)
		})
	}
	for i := range movingKeys {
		run(movingKey(i), func(c *caller) {
			c.client.Timeout, c.deadline = patientTimeout+2*time.Second, patientTimeout
			id := c.newID()
			_, _, _ = c.send(o.h.vms[c.rng.IntN(len(o.h.vms))].addr(o.h.ports.callers), http.MethodPost, patientPath+id, "body of "+id, id)
			vm.Sleep(ctx, 50*time.Millisecond)
		})
	}
	run(fixedKey(hastyOrg), func(c *caller) {
		v := o.h.vms[c.rng.IntN(len(o.h.vms))]
		if status := get(c, v, "/search/"); status != http.StatusTooManyRequests && status != http.StatusServiceUnavailable {
			vm.Sleep(ctx, 20*time.Millisecond)
		}
	})
}

// pauseBeyondLease pauses random VMs for longer than their leases on keys until ctx is cancelled.
// Each resumes while the links to the other VMs are held, so that at first it can't learn which
// keys were revoked meanwhile. Links that another fault may change are left alone.
func (o *organisations) pauseBeyondLease(ctx context.Context, rng *rand.Rand) {
	for vm.Sleep(ctx, time.Duration(200+rng.IntN(1000))*time.Millisecond) {
		paused, d := o.h.vms[rng.IntN(len(o.h.vms))], revokeTime+time.Duration(500+rng.IntN(2000))*time.Millisecond
		if !paused.claim() {
			continue
		}
		o.h.markDisturbed()
		paused.signal(syscall.SIGSTOP)
		time.Sleep(d)
		var held []*vmProcess
		for _, v := range o.h.vms {
			if v.claim() {
				held = append(held, v)
				v.link.state.Store(int32(linkHeld))
			}
		}
		paused.signal(syscall.SIGCONT)
		o.mu.Lock()
		o.pauses++
		o.mu.Unlock()
		time.Sleep(outdatedTime)
		for _, v := range held {
			v.link.state.Store(int32(linkOpen))
			v.markDisrupted()
			v.release()
		}
		o.h.markDisturbed()
		paused.release()
	}
}

// sendThroughRestarts sends as many requests of noisyOrg as its quota admits, while all VMs are
// killed and started again. checkQuotas fails if an owner starts with credit.
func (o *organisations) sendThroughRestarts(seed uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), restartTime)
	defer cancel()
	var wg sync.WaitGroup
	for i, v := range o.h.vms {
		c := &caller{h: o.h, key: fixedKey(noisyOrg), rng: rand.New(rand.NewPCG(seed, uint64(80+i))), client: &http.Client{Transport: &http.Transport{}, Timeout: time.Second}}
		wg.Go(func() {
			defer c.client.CloseIdleConnections()
			for vm.Sleep(ctx, 5*time.Millisecond) {
				id := c.newID()
				_, _, _ = c.send(v.addr(o.h.ports.callers), http.MethodGet, "/search/"+id, "", id)
			}
		})
	}
	time.Sleep(restartTime / 8)
	for _, v := range o.h.vms {
		v.kill()
	}
	for _, v := range o.h.vms {
		v.start()
	}
	wg.Wait()
}

// refusePatient holds the first arrival of a patient request until a key that was revoked in the
// meantime is dead, and then answers that it does not run the request, so that a VM sends it to
// another leaf. It returns false for all other requests.
func (o *organisations) refusePatient(rw http.ResponseWriter, r *http.Request, id string) bool {
	if !strings.HasPrefix(r.RequestURI, patientPath) {
		return false
	}
	o.mu.Lock()
	req := o.requests[id]
	if req == nil || req.refused {
		o.mu.Unlock()
		return false
	}
	req.refused = true
	o.mu.Unlock()
	select {
	case <-time.After(patientHold):
	case <-r.Context().Done():
	}
	refuse(rw, id)
	return true
}

// check makes the checks at the end of a run.
func (o *organisations) check() {
	o.checkQuotas()
	o.checkNoKeysInLogs()
	o.mu.Lock()
	defer o.mu.Unlock()
	runs := make(map[string]int)
	for _, r := range o.requests {
		if !r.arrived.IsZero() {
			runs[r.org]++
		}
	}
	o.h.t.Logf("requests that reached leaves by organisation %v; answers by key %v; answers to dead keys %v, %d pauses; after the faults %d of %d below the limit answered 503", runs, o.answers, o.revokedAnswers, o.pauses, o.calmUnavailable, o.calm)
	for _, org := range []string{usualOrg, calmOrg, noisyOrg, hastyOrg, varyingOrg, movingOrg(0), movingOrg(1), movingOrg(2), ""} {
		if runs[org] == 0 {
			o.h.fail("no request of organisation %q has reached a leaf", org)
		}
	}
	if o.calm < 50 || float64(o.calmUnavailable) > maxUnavailable*float64(o.calm) {
		o.h.fail("of %d requests of an organisation below its limit after the faults %d were answered 503", o.calm, o.calmUnavailable)
	}
	if len(o.revokedAnswers) == 0 {
		o.h.fail("no request was sent with a revoked key")
	}
}

// checkQuotas checks that in no window more requests of an organisation, both sent and arrived in
// it, reach leaves than the highest quota allows that may be in force in that window.
func (o *organisations) checkQuotas() {
	o.mu.Lock()
	byOrg := make(map[string][]*keyedRequest)
	for _, r := range o.requests {
		if !r.arrived.IsZero() {
			byOrg[r.org] = append(byOrg[r.org], r)
		}
	}
	names := slices.Sorted(maps.Keys(o.configurations[0].quotas))
	o.mu.Unlock()
	for _, name := range names {
		requests := byOrg[name]
		slices.SortFunc(requests, func(a, b *keyedRequest) int { return a.sent.Compare(b.sent) })
		fullest := 0.0
		for i, first := range requests {
			n, end := 0, first.sent.Add(quotaWindow)
			for _, r := range requests[i:] {
				if r.sent.After(end) {
					break
				}
				if !r.arrived.After(end) {
					n++
				}
			}
			bound := o.highestQuota(name, first.sent).bound()
			fullest = max(fullest, float64(n)/bound)
			if float64(n) > bound {
				o.h.fail("%d requests of %s reached leaves in the %v from %s, at most %.1f may", n, name, quotaWindow, first.sent.Format("15:04:05.000"), bound)
				break
			}
		}
		o.h.t.Logf("%s: at most %.2f of the bound in any window", name, fullest)
	}
}

// highestQuota returns the quota with the highest bound that may be in force in a window. One that
// was replaced by a configuration that was acknowledged more than applyDelay before is not.
func (o *organisations) highestQuota(org string, start time.Time) quota {
	oldest := o.h.operators.newestAcked(start.Add(-applyDelay))
	o.mu.Lock()
	defer o.mu.Unlock()
	var out quota
	for _, c := range o.sinceNumber(oldest) {
		if c.sent.After(start.Add(quotaWindow)) {
			break
		}
		if q := c.quotas[org]; q.bound() > out.bound() {
			out = q
		}
	}
	return out
}

// checkNoKeysInLogs checks that no key is in the log of a VM or in its audit trail.
func (o *organisations) checkNoKeysInLogs() {
	for _, v := range o.h.vms {
		files := []string{filepath.Join(o.h.dir, v.name+".log")}
		trail, err := filepath.Glob(filepath.Join(v.dataDir(), "audit*"))
		if err != nil {
			o.h.fail("audit trail of %s: %v", v.name, err)
		}
		for _, file := range append(files, trail...) {
			text, err := os.ReadFile(file)
			if err != nil {
				o.h.fail("log of %s: %v", v.name, err)
			}
			if i := bytes.Index(text, []byte(keyPrefix)); i >= 0 {
				o.h.fail("%s contains a key: %q", filepath.Base(file), text[max(i-200, 0):min(i+40, len(text))])
			}
		}
	}
}

// addBounds adds the bounds of keys and quotas to the settings of a VM.
func addBounds(v *standin.VM) {
	v.StrictRevoke, v.RevokeMS = true, float64(revokeTime.Milliseconds())
	v.QuotaWindowS, v.QuotaOver, v.QuotaSlack = quotaWindow.Seconds(), quotaOver, quotaSlack
}
