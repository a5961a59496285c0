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

// applyTime is how long after its acknowledgement a configuration is in force
// everywhere.
const applyTime = 3 * time.Second

// operatorState is what the operators have sent.
type operatorState struct {
	mu     sync.Mutex
	sets   [][]string // of shards, of every configuration sent
	number int
	acks   []ack
	texts  map[int]string // of what was sent, by number
	more   atomic.Int64   // routes that each new configuration holds besides
}

type ack struct {
	number int
	at     time.Time
}

// oneConfiguration reports whether the services may all be shards of one configuration.
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

// ledger is the service whose requests may run once.
const ledger = "ledger"

// next returns a new configuration; another part of the services are its shards.
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
		panic(err) // it is made of constants
	}
	o.texts[o.number] = string(text)
	return o.number, o.texts[o.number]
}

// release returns a configuration with these shards, and as many more routes.
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

// earlier returns a configuration that was sent before.
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

// newestAcked returns the highest number acknowledged before that moment.
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

// put sends a configuration to the VMs in turn until one acknowledges it, or ctx ends.
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
			w.fail("configuration %d is refused: %s", number, body)
			return false
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// runOperators sends configurations, invalid ones between them, and reads them back.
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

// putInvalid sends half of a configuration: it must be refused.
func (w *world) putInvalid(rng *rand.Rand, text string) {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	v := w.vms[rng.IntN(daemons)]
	if status, _ := get(client, http.MethodPost, "http://"+v.addr(w.ports.operators)+standin.PutPath, text[:len(text)/2]); status == http.StatusOK {
		w.fail("%s acknowledged half a configuration", v.name)
	}
}

// readBack holds that a read is never older than what was acknowledged long before.
func (w *world) readBack(rng *rand.Rand) (int, bool) {
	want := w.ops.newestAcked(time.Now().Add(-applyTime))
	client := &http.Client{Timeout: 1500 * time.Millisecond}
	defer client.CloseIdleConnections()
	return w.readBackAt(client, w.vms[rng.IntN(daemons)], want)
}

// readBackAt reads the configuration at one VM, or where that sends on to.
func (w *world) readBackAt(client *http.Client, v *vmProcess, want int) (int, bool) {
	status, body := get(client, http.MethodGet, "http://"+v.addr(w.ports.operators)+standin.GetPath, "")
	if status != http.StatusOK {
		return 0, false
	}
	number, err := standin.Number(body)
	if err != nil {
		w.fail("%s gives back %q", v.name, body)
		return 0, false
	}
	got := int(number)
	if got < want {
		w.fail("%s gives back configuration %d, %d was acknowledged more than %v before", v.name, got, want, applyTime)
	}
	return got, true
}

// moreRoutes make a configuration of some 0.4 MB, which a narrow link carries in 1.3 s.
const moreRoutes = 2000

// growAndShrink has operators send long configurations for a while, short ones again after
// that, and so on until ctx ends. It draws from a source of its own: the faults of a seed
// stay those that it always had.
func (w *world) growAndShrink(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		w.ops.more.Store(moreRoutes)
		vm.Sleep(ctx, time.Duration(1+rng.IntN(3))*time.Second)
		w.ops.more.Store(0)
		vm.Sleep(ctx, time.Duration(2+rng.IntN(6))*time.Second)
	}
}

// longOverNarrowLinks sends one long configuration while the links to all control VMs are
// narrow. It must be acknowledged, come into force, and be read back at each VM in the time
// that an operator waits.
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
		w.fail("long configuration %d is not acknowledged over narrow links", number)
		return
	}
	time.Sleep(applyTime + 2*time.Second) // the links carry it to each of them
	client := &http.Client{Timeout: 2 * time.Second}
	defer client.CloseIdleConnections()
	for _, v := range w.vms {
		if got, ok := w.readBackAt(client, v, number); !ok || got < number {
			w.fail("%s gives back configuration %d (%v) after long %d was acknowledged", v.name, got, ok, number)
		}
	}
}
