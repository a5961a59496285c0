package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"pearmoor/internal/route"
	"pearmoor/internal/vm"
	"pearmoor/platform"
	"pearmoor/platform/standin"
)

// applyDelay is the time within which an acknowledged configuration must be in force on all
// VMs.
const applyTime = 3 * time.Second

// operatorState records what the operators have sent.
type operatorState struct {
	mu     sync.Mutex
	sets   [][]string // the shards of each configuration sent
	number int
	acks   []ack
	texts  map[int]string // encoded configurations sent, by number
	more   atomic.Int64   // additional routes in each new configuration
}

type ack struct {
	number int
	at     time.Time
}

// inOneConfiguration reports whether some configuration has all these services as shards.
func (o *operatorState) oneConfiguration(services []string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.ContainsFunc(o.sets, func(set []string) bool {
		return !slices.ContainsFunc(services, func(s string) bool { return !slices.Contains(set, s) })
	})
}

func allServices() []string {
	var out []string
	for i := range shardsOfAll {
		out = append(out, fmt.Sprintf("shard-%d", i))
	}
	return append(out, ledger)
}

// ledger is the service whose requests must run at most once.
const ledger = "ledger"

// newConfiguration returns the number and text of a new configuration with a random
// selection of the services as shards.
func (o *operatorState) next(rng *rand.Rand) (int, string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.number += 1 + rng.IntN(5)
	set := allServices()[:shardsOfAll]
	rng.Shuffle(len(set), func(i, k int) { set[i], set[k] = set[k], set[i] })
	set = set[:shardsOfOne]
	o.sets = append(o.sets, set)
	if o.texts == nil {
		o.texts = make(map[int]string)
	}
	text, err := platform.EncodeRelease(release(o.number, set, int(o.more.Load())))
	if err != nil {
		panic(err) // can't fail: release sets valid values only
	}
	o.texts[o.number] = string(text)
	return o.number, o.texts[o.number]
}

// release returns a configuration with the given shards and number of additional routes.
func release(number int, shards []string, more int) *route.Release {
	r := &route.Release{
		Number: uint64(number),
		Limits: route.Limits{HeaderBytes: 16 << 10, BodyBytes: 256 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Routes: []route.Route{
			{Name: "search", Host: host, Prefix: "/search/", Repeatable: true, Timeout: 2 * time.Second, TargetLatency: 250 * time.Millisecond,
				Shards: shards, Attempts: 2, Top: topOfAnswer, LeastCoverage: 0.6},
			{Name: "charge", Host: host, Prefix: "/charge/", Timeout: 2 * time.Second, TargetLatency: 400 * time.Millisecond, Priority: 1,
				Service: ledger, Attempts: 2},
		},
	}
	for i := range more {
		r.Routes = append(r.Routes, route.Route{Name: fmt.Sprintf("more-%04d", i), Host: fmt.Sprintf("host-%03d.example", i%300), Prefix: fmt.Sprintf("/more-%04d/", i),
			Repeatable: true, Timeout: 2 * time.Second, TargetLatency: 400 * time.Millisecond, Priority: 2, Service: ledger, Attempts: 2})
	}
	for _, s := range allServices() {
		r.Services = append(r.Services, route.Service{Name: s, HealthPath: "/health", Connections: leafConns, Protocol: "h1"})
	}
	return r
}

// pastConfiguration returns the number and text of a random configuration sent before.
func (o *operatorState) earlier(rng *rand.Rand) (int, string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	numbers := make([]int, 0, len(o.texts))
	for n := range o.texts {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	n := numbers[rng.IntN(len(numbers))]
	return n, o.texts[n]
}

func (o *operatorState) acked(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.acks = append(o.acks, ack{n, time.Now()})
}

// newestAcked returns the highest number acknowledged before the given time.
func (o *operatorState) newestAcked(before time.Time) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, a := range o.acks {
		if a.at.Before(before) {
			n = max(n, a.number)
		}
	}
	return n
}

// putConfiguration sends a configuration to random VMs until one acknowledges it or ctx is
// cancelled.
func (w *world) put(ctx context.Context, rng *rand.Rand, number int, text string) bool {
	client := &http.Client{Timeout: 1500*time.Millisecond + time.Duration(len(text))*10*time.Microsecond}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		v := w.vms[rng.IntN(daemons)]
		status, body := get(client, http.MethodPost, "http://"+v.addr(w.ports.operators)+standin.PutPath, text)
		switch {
		case status == http.StatusOK:
			w.ops.acked(number)
			return true
		case status >= 400 && status < 500:
			w.fail("configuration %d was rejected: %s", number, body)
			return false
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// runOperators sends valid and invalid configurations and reads them back.
func (w *world) runOperators(ctx context.Context, wg *sync.WaitGroup) {
	for i := range 2 {
		rng := rand.New(rand.NewPCG(uint64(i), 9))
		wg.Go(func() {
			for ctx.Err() == nil {
				number, text := w.ops.next(rng)
				w.put(ctx, rng, number, text)
				w.putInvalid(rng, text)
				if rng.IntN(3) == 0 {
					number, text = w.ops.earlier(rng)
					w.put(ctx, rng, number, text)
				}
				time.Sleep(time.Duration(100+rng.IntN(700)) * time.Millisecond)
			}
		})
		wg.Go(func() {
			for ctx.Err() == nil {
				w.readBack(rand.New(rand.NewPCG(uint64(w.nextID.Load()), 3)))
				time.Sleep(70 * time.Millisecond)
			}
		})
	}
}

// putInvalid sends a truncated configuration and checks that it is rejected.
func (w *world) putInvalid(rng *rand.Rand, text string) {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	v := w.vms[rng.IntN(daemons)]
	if status, _ := get(client, http.MethodPost, "http://"+v.addr(w.ports.operators)+standin.PutPath, text[:len(text)/2]); status == http.StatusOK {
		w.fail("%s acknowledged a truncated configuration", v.name)
	}
}

// checkReadBack reads the configuration at a random VM and checks that it is not older than
// one acknowledged more than applyDelay before.
func (w *world) readBack(rng *rand.Rand) (int, bool) {
	want := w.ops.newestAcked(time.Now().Add(-applyTime))
	client := &http.Client{Timeout: 1500 * time.Millisecond}
	defer client.CloseIdleConnections()
	return w.readBackAt(client, w.vms[rng.IntN(daemons)], want)
}

// checkReadBackAt reads the configuration at one VM, following redirects, and checks that
// its number is at least want.
func (w *world) readBackAt(client *http.Client, v *vmProcess, want int) (int, bool) {
	status, body := get(client, http.MethodGet, "http://"+v.addr(w.ports.operators)+standin.GetPath, "")
	if status != http.StatusOK {
		return 0, false
	}
	number, err := standin.Number(body)
	if err != nil {
		w.fail("%s returned an unreadable configuration: %q", v.name, body)
		return 0, false
	}
	got := int(number)
	if got < want {
		w.fail("%s returned configuration %d although %d was acknowledged more than %v before", v.name, got, want, applyTime)
	}
	return got, true
}

// longConfigurationRoutes is the number of additional routes of a long configuration: about
// 0.4 MB, which a narrow link transfers in 1.3 s.
const moreRoutes = 2000

// alternateConfigurationSize makes the operators alternate between long and short
// configurations until ctx is cancelled. It uses a separate random source, so that it does
// not change the order of the other faults of a seed.
func (w *world) growAndShrink(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		w.ops.more.Store(moreRoutes)
		vm.Sleep(ctx, time.Duration(1+rng.IntN(3))*time.Second)
		w.ops.more.Store(0)
		vm.Sleep(ctx, time.Duration(2+rng.IntN(6))*time.Second)
	}
}

// checkLongConfiguration sends a long configuration while the links to all control VMs are
// narrow. It must be acknowledged, come into force, and be readable at each VM within the
// operator's time-out of 2 s.
func (w *world) longOverNarrowLinks() {
	for _, v := range w.vms[:disks] {
		v.link.state.Store(int32(narrows))
	}
	defer func() {
		for _, v := range w.vms[:disks] {
			v.link.state.Store(int32(passes))
		}
	}()
	w.ops.more.Store(moreRoutes)
	number, text := w.ops.next(w.rng)
	w.ops.more.Store(0)
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	if !w.put(ctx, w.rng, number, text) {
		w.fail("long configuration %d was not acknowledged over narrow links", number)
		return
	}
	time.Sleep(applyTime + 2*time.Second) // time for the transfer over the narrow links
	client := &http.Client{Timeout: 2 * time.Second}
	defer client.CloseIdleConnections()
	for _, v := range w.vms {
		if got, ok := w.readBackAt(client, v, number); !ok || got < number {
			w.fail("%s returned configuration %d (%v) after long configuration %d was acknowledged", v.name, got, ok, number)
		}
	}
}
