package query

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/admit"
	"pearmoor/internal/contract"
	"pearmoor/internal/link/leaf"
	"pearmoor/internal/relay"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

// tierSize is the size of a testTier.
type size struct {
	services int
	daemons  int
	version  uint64 // index version that the leaves start with
	delay    time.Duration
	jitter   bool // vary the delay of each attempt between 0.5 and 1.5 times delay
}

var smallWorld = size{services: worldServices, daemons: 3, version: 1, delay: 5 * time.Millisecond}

const (
	worldServices = 3
	worldSlots    = 2
	worldDocs     = 24
	pollEvery     = 200 * time.Millisecond
	oneWay        = 500 * time.Microsecond
)

func bubbleClock() vm.Instant { return vm.Instant(time.Now().UnixNano()) }

// testTier runs daemons and fake leaves with the fake clock of a synctest bubble.
type world struct {
	size
	mu      sync.Mutex
	view    atomic.Pointer[relay.View]
	daemons map[string]*daemon // by VM name
	leaves  map[string]*worldLeaf
	runs    map[string]int // by request body, service and shard
	rng     *rand.Rand
	stop    context.CancelFunc
	ctx     context.Context
	busy    sync.WaitGroup
}

// fakeLeaf simulates a leaf.
type worldLeaf struct {
	service  string
	versions map[uint64]uint32 // version -> number of shards; the leaf holds all shards of its versions
	down     bool
	delay    time.Duration
	slow     float64 // fraction of attempts that take slowFactor times delay
	refuses  float64 // fraction of attempts that are refused
	loses    float64 // fraction of attempts that run but whose reply is lost
	crosses  float64 // fraction of replies that are of another version than requested
	inFlight int
	peak     int
}

const slowFactor = 20

// testDaemon is one incarnation of a daemon: an engine and what it last polled from the leaves.
type daemon struct {
	w       *world
	self    vm.Identity
	engine  *Engine
	gates   *admit.Gates
	mu      sync.Mutex
	seen    map[string][]leaf.Snapshot
	crashed bool
	// unreachable makes connections to the daemon hang, as to a VM without power.
	unreachable atomic.Bool
}

// shardsAt returns the number of shards at a version. Each version splits or merges shards of
// the one before it.
func shardsAt(version uint64) uint32 { return 2 + uint32(version%3) }

// docsOf returns the documents of a shard at a version. The shards of a version are disjoint,
// and versions hold different documents.
func docsOf(service string, version uint64, shard uint32) []contract.Hit {
	var hits []contract.Hit
	for d := range uint64(worldDocs) {
		if (d+version)%7 != 0 && uint32(d)%shardsAt(version) == shard {
			hits = append(hits, contract.Hit{ID: fmt.Sprintf("%s-%d", service, d), Score: float64(d)})
		}
	}
	return hits
}

func newWorld(seed uint64, scope string, sz size) *world {
	w := &world{size: sz, daemons: map[string]*daemon{}, leaves: map[string]*worldLeaf{}, runs: map[string]int{}}
	w.rng = rand.New(rand.NewPCG(seed, seed))
	w.ctx, w.stop = context.WithCancel(context.Background())
	t := settings.New()
	for s := range sz.services {
		path := fmt.Sprintf("/desk/s%d", s)
		list := ""
		for l := range 2 {
			addr := fmt.Sprintf("127.0.0.1:%d", 1000+10*s+l)
			w.leaves[addr] = &worldLeaf{service: path, versions: map[uint64]uint32{sz.version: shardsAt(sz.version)}, delay: sz.delay}
			list += fmt.Sprintf("s%d-%d=%s@d%d,", s, l, addr, l)
		}
		t = mustApply(t, settings.Edit{Path: path, Name: "leaves", Value: list[:len(list)-1]})
	}
	if scope != "" {
		t = mustApply(t, settings.Edit{Path: "/desk", Name: "snapshot", Value: scope})
	}
	members := &vm.Membership{Epoch: 1}
	for i := range sz.daemons {
		n := string(rune('a' + i))
		id := vm.Identity{Name: n, Incarnation: 1, Domain: "d" + n, Region: "r", PeerAddr: n}
		members.Members = append(members.Members, vm.Member{Identity: id, Phase: vm.Serving})
	}
	w.view.Store(&relay.View{ConfigVersion: 1, InForce: 1, Tree: t, Settled: members, Lease: bubbleClock().Add(time.Hour)})
	for _, m := range members.Members {
		w.boot(m.Identity)
	}
	return w
}

func mustApply(t *settings.Tree, e settings.Edit) *settings.Tree {
	next, err := t.Apply(1, []settings.Edit{e})
	if err != nil {
		panic(err)
	}
	return next
}

// startDaemon starts an incarnation of a daemon.
func (w *world) boot(id vm.Identity) {
	d := &daemon{w: w, self: id, gates: admit.NewGates(bubbleClock), seen: map[string][]leaf.Snapshot{}}
	d.engine = New(Config{Self: id, Source: w, Gates: d.gates, Sender: d, Catalog: d, Conns: w, Clock: bubbleClock})
	for _, path := range w.view.Load().Tree.Services("") {
		eff, _ := w.view.Load().Tree.Effective(path)
		for i, l := range eff.Leaves {
			slots, _ := w.view.Load().Share(path, eff, i, id)
			d.gates.Configure(l.Addr, admit.Limits{Slots: slots, Queue: eff.QueueLimit})
		}
	}
	d.gates.Fence(w.view.Load().Lease)
	w.mu.Lock()
	w.daemons[id.Name] = d
	w.mu.Unlock()
	d.poll()
	w.busy.Go(func() { d.pollLoop() })
}

func (d *daemon) pollLoop() {
	for {
		select {
		case <-time.After(pollEvery):
			d.poll()
		case <-d.w.ctx.Done():
			return
		}
	}
}

// poll reads the versions that the leaves hold, as the prober does.
func (d *daemon) poll() {
	d.w.mu.Lock()
	defer d.w.mu.Unlock()
	seen := map[string][]leaf.Snapshot{}
	for _, path := range d.w.view.Load().Tree.Services("") {
		eff, _ := d.w.view.Load().Tree.Effective(path)
		seen[path] = d.w.snapshots(eff.Leaves)
	}
	d.mu.Lock()
	d.seen = seen
	d.mu.Unlock()
}

func (w *world) snapshots(leaves []settings.Leaf) []leaf.Snapshot {
	var snaps []leaf.Snapshot
	for v := uint64(20); v > 0; v-- {
		s := leaf.Snapshot{Version: v, Shards: shardsAt(v), Holders: make([][]settings.Leaf, shardsAt(v))}
		any := false
		for _, l := range leaves {
			wl := w.leaves[l.Addr]
			if _, ok := wl.versions[v]; !ok {
				continue
			}
			any = true
			for shard := range s.Holders {
				if !wl.down {
					s.Holders[shard] = append(s.Holders[shard], l)
				}
			}
		}
		if any {
			snaps = append(snaps, s)
		}
	}
	return snaps
}

// Snapshots implements Catalog.
func (d *daemon) Snapshots(service string) []leaf.Snapshot {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.seen[service]
}

// Current implements relay.Source.
func (w *world) Current() *relay.View     { return w.view.Load() }
func (w *world) Changed() <-chan struct{} { return nil }

type worldReply struct {
	reply *contract.LeafReply
	err   *contract.Error
}

// Send implements scatter.Sender.
func (d *daemon) Send(ctx context.Context, l settings.Leaf, req *contract.LeafRequest, permit *admit.Permit) (*contract.LeafReply, error) {
	if err := permit.Check(); err != nil {
		permit.Release()
		return nil, err
	}
	done := make(chan worldReply, 1)
	r := *req
	d.w.busy.Go(func() { done <- d.w.atLeaf(l, &r, permit) })
	select {
	case out := <-done:
		if out.err != nil {
			return nil, out.err
		}
		return out.reply, nil
	case <-ctx.Done():
		return nil, &contract.Error{Verdict: contract.MayHaveRun, Reason: contract.ReasonDeadline}
	}
}

// runAtLeaf runs one request at a leaf. It continues when the sender stops waiting for it.
func (w *world) atLeaf(l settings.Leaf, req *contract.LeafRequest, permit *admit.Permit) worldReply {
	time.Sleep(oneWay)
	w.mu.Lock()
	wl := w.leaves[l.Addr]
	shards, held := wl.versions[req.IndexVersion]
	roll, delay := w.rng.Float64(), wl.delay
	if w.jitter {
		delay = time.Duration((0.5 + w.rng.Float64()) * float64(delay))
	}
	if w.rng.Float64() < wl.slow {
		delay *= slowFactor
	}
	switch {
	case wl.down:
		w.mu.Unlock()
		permit.Done(admit.Failed, 0)
		return worldReply{err: contract.Refuse(contract.ReasonTargetFailed, errors.New("connection refused"))}
	case !held || req.Shard >= shards:
		w.mu.Unlock()
		permit.Done(admit.Declined, 0)
		return worldReply{err: contract.Refuse(contract.ReasonNoReplica, nil)}
	case roll < wl.refuses:
		w.mu.Unlock()
		permit.Done(admit.Refused, 0)
		return worldReply{err: contract.Refuse(contract.ReasonRefused, nil)}
	}
	w.runs[runKey(req.Body, req.Service, req.Shard)]++
	wl.inFlight++
	wl.peak = max(wl.peak, wl.inFlight)
	loses, crosses := w.rng.Float64() < wl.loses, w.rng.Float64() < wl.crosses
	w.mu.Unlock()
	time.Sleep(delay)
	w.mu.Lock()
	wl.inFlight--
	w.mu.Unlock()
	reply := &contract.LeafReply{ID: req.ID, Attempt: req.Attempt, Service: req.Service, Shard: req.Shard, IndexVersion: req.IndexVersion}
	reply.Hits = docsOf(req.Service, req.IndexVersion, req.Shard)
	if crosses {
		reply.IndexVersion++
		reply.Hits = docsOf(req.Service, req.IndexVersion+1, req.Shard)
	}
	if loses {
		permit.Done(admit.Failed, 0)
		return worldReply{err: &contract.Error{Verdict: contract.MayHaveRun, Reason: contract.ReasonTargetFailed}}
	}
	permit.Done(admit.Answered, 0)
	return worldReply{reply: reply}
}

// crash ends an incarnation: calls to it fail and it sends nothing more. Its slots are not
// reassigned to other daemons, because its lease is still valid.
func (w *world) crash(name string) {
	w.mu.Lock()
	d := w.daemons[name]
	w.mu.Unlock()
	d.mu.Lock()
	d.crashed = true
	d.mu.Unlock()
	d.gates.Fence(0)
}

// restart adds the next incarnation to the membership and starts it, after the lease of the
// previous one has expired and its requests in flight have ended.
func (w *world) restart(name string) {
	time.Sleep(2 * time.Second)
	w.mu.Lock()
	next := *w.view.Load()
	members := &vm.Membership{Epoch: next.Settled.Epoch + 1}
	var id vm.Identity
	for _, m := range next.Settled.Members {
		if m.Name == name {
			m.Incarnation++
			id = m.Identity
		}
		members.Members = append(members.Members, m)
	}
	next.Settled = members
	w.view.Store(&next)
	w.mu.Unlock()
	w.boot(id)
}

func (w *world) engine(name string) *Engine {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.daemons[name].engine
}

func (w *world) close() {
	w.stop()
	w.busy.Wait()
	synctest.Wait()
}

// runInTier runs f in a synctest bubble and returns its error to the caller outside of it.
func inWorld(t *testing.T, seed uint64, scope string, f func(w *world) error) error {
	t.Helper()
	return inWorldOf(t, seed, scope, smallWorld, f)
}

func inWorldOf(t *testing.T, seed uint64, scope string, sz size, f func(w *world) error) error {
	t.Helper()
	var err error
	synctest.Test(t, func(*testing.T) {
		w := newWorld(seed, scope, sz)
		err = f(w)
		w.close()
	})
	return err
}

func runKey(body json.RawMessage, service string, shard uint32) string {
	return fmt.Sprintf("%s%s/%d", body, service, shard)
}

func body(key string) json.RawMessage { return json.RawMessage(fmt.Sprintf("%q", key)) }
