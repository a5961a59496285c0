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
type tierSize struct {
	services int
	daemons  int
	version  uint64 // index version that the leaves start with
	delay    time.Duration
	jitter   bool // vary the delay of each attempt between 0.5 and 1.5 times delay
}

var smallTier = tierSize{services: testServices, daemons: 3, version: 1, delay: 5 * time.Millisecond}

const (
	testServices   = 3
	leafSlots      = 2
	docsPerService = 24
	pollInterval   = 200 * time.Millisecond
	networkDelay   = 500 * time.Microsecond
)

func fakeClock() vm.Instant { return vm.Instant(time.Now().UnixNano()) }

// testTier runs daemons and fake leaves with the fake clock of a synctest bubble.
type testTier struct {
	tierSize
	mu         sync.Mutex
	view       atomic.Pointer[relay.View]
	daemons    map[string]*testDaemon // by VM name
	leaves     map[string]*fakeLeaf
	runs       map[string]int // by request body, service and shard
	rng        *rand.Rand
	cancel     context.CancelFunc
	ctx        context.Context
	goroutines sync.WaitGroup
}

// fakeLeaf simulates a leaf.
type fakeLeaf struct {
	service          string
	versions         map[uint64]uint32 // version -> number of shards; the leaf holds all shards of its versions
	down             bool
	delay            time.Duration
	slowRate         float64 // fraction of attempts that take slowFactor times delay
	refusalRate      float64 // fraction of attempts that are refused
	lossRate         float64 // fraction of attempts that run but whose reply is lost
	wrongVersionRate float64 // fraction of replies that are of another version than requested
	inFlight         int
	maxInFlight      int
}

const slowFactor = 20

// testDaemon is one incarnation of a daemon: an engine and what it last polled from the leaves.
type testDaemon struct {
	tier    *testTier
	self    vm.Identity
	engine  *Engine
	gates   *admit.Gates
	mu      sync.Mutex
	catalog map[string][]leaf.Snapshot
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
	for d := range uint64(docsPerService) {
		if (d+version)%7 != 0 && uint32(d)%shardsAt(version) == shard {
			hits = append(hits, contract.Hit{ID: fmt.Sprintf("%s-%d", service, d), Score: float64(d)})
		}
	}
	return hits
}

func newTestTier(seed uint64, scope string, size tierSize) *testTier {
	tier := &testTier{tierSize: size, daemons: map[string]*testDaemon{}, leaves: map[string]*fakeLeaf{}, runs: map[string]int{}}
	tier.rng = rand.New(rand.NewPCG(seed, seed))
	tier.ctx, tier.cancel = context.WithCancel(context.Background())
	t := settings.New()
	for s := range size.services {
		path := fmt.Sprintf("/desk/s%d", s)
		list := ""
		for l := range 2 {
			addr := fmt.Sprintf("127.0.0.1:%d", 1000+10*s+l)
			tier.leaves[addr] = &fakeLeaf{service: path, versions: map[uint64]uint32{size.version: shardsAt(size.version)}, delay: size.delay}
			list += fmt.Sprintf("s%d-%d=%s@d%d,", s, l, addr, l)
		}
		t = mustApply(t, settings.Edit{Path: path, Name: "leaves", Value: list[:len(list)-1]})
	}
	if scope != "" {
		t = mustApply(t, settings.Edit{Path: "/desk", Name: "snapshot", Value: scope})
	}
	members := &vm.Membership{Epoch: 1}
	for i := range size.daemons {
		name := string(rune('a' + i))
		id := vm.Identity{Name: name, Incarnation: 1, Domain: "d" + name, Region: "r", PeerAddr: name}
		members.Members = append(members.Members, vm.Member{Identity: id, Phase: vm.Serving})
	}
	tier.view.Store(&relay.View{ConfigVersion: 1, InForce: 1, Tree: t, Settled: members, LeaseEnd: fakeClock().Add(time.Hour)})
	for _, m := range members.Members {
		tier.startDaemon(m.Identity)
	}
	return tier
}

func mustApply(t *settings.Tree, e settings.Edit) *settings.Tree {
	next, err := t.Apply(1, []settings.Edit{e})
	if err != nil {
		panic(err)
	}
	return next
}

// startDaemon starts an incarnation of a daemon.
func (tier *testTier) startDaemon(id vm.Identity) {
	d := &testDaemon{tier: tier, self: id, gates: admit.NewGates(fakeClock), catalog: map[string][]leaf.Snapshot{}}
	d.engine = New(Config{Self: id, Source: tier, Gates: d.gates, Sender: d, Catalog: d, Conns: tier, Clock: fakeClock})
	for _, path := range tier.view.Load().Tree.Services("") {
		eff, _ := tier.view.Load().Tree.Effective(path)
		for i, l := range eff.Leaves {
			slots, _ := tier.view.Load().Share(path, eff, i, id)
			d.gates.Configure(l.Addr, admit.Limits{Slots: slots, MaxQueue: eff.QueueLimit})
		}
	}
	d.gates.SetLeaseEnd(tier.view.Load().LeaseEnd)
	tier.mu.Lock()
	tier.daemons[id.Name] = d
	tier.mu.Unlock()
	d.poll()
	tier.goroutines.Go(func() { d.pollLoop() })
}

func (d *testDaemon) pollLoop() {
	for {
		select {
		case <-time.After(pollInterval):
			d.poll()
		case <-d.tier.ctx.Done():
			return
		}
	}
}

// poll reads the versions that the leaves hold, as the prober does.
func (d *testDaemon) poll() {
	d.tier.mu.Lock()
	defer d.tier.mu.Unlock()
	catalog := map[string][]leaf.Snapshot{}
	for _, path := range d.tier.view.Load().Tree.Services("") {
		eff, _ := d.tier.view.Load().Tree.Effective(path)
		catalog[path] = d.tier.snapshots(eff.Leaves)
	}
	d.mu.Lock()
	d.catalog = catalog
	d.mu.Unlock()
}

func (tier *testTier) snapshots(leaves []settings.Leaf) []leaf.Snapshot {
	var snaps []leaf.Snapshot
	for v := uint64(20); v > 0; v-- {
		s := leaf.Snapshot{Version: v, Shards: shardsAt(v), LeavesByShard: make([][]settings.Leaf, shardsAt(v))}
		any := false
		for _, l := range leaves {
			fl := tier.leaves[l.Addr]
			if _, ok := fl.versions[v]; !ok {
				continue
			}
			any = true
			for shard := range s.LeavesByShard {
				if !fl.down {
					s.LeavesByShard[shard] = append(s.LeavesByShard[shard], l)
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
func (d *testDaemon) Snapshots(service string) []leaf.Snapshot {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.catalog[service]
}

// Current implements relay.Source.
func (tier *testTier) Current() *relay.View     { return tier.view.Load() }
func (tier *testTier) Changed() <-chan struct{} { return nil }

type leafResult struct {
	reply *contract.LeafReply
	err   *contract.Error
}

// Send implements scatter.Sender.
func (d *testDaemon) Send(ctx context.Context, l settings.Leaf, req *contract.LeafRequest, permit *admit.Permit) (*contract.LeafReply, error) {
	if err := permit.Check(); err != nil {
		permit.Release()
		return nil, err
	}
	done := make(chan leafResult, 1)
	r := *req
	d.tier.goroutines.Go(func() { done <- d.tier.runAtLeaf(l, &r, permit) })
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
func (tier *testTier) runAtLeaf(l settings.Leaf, req *contract.LeafRequest, permit *admit.Permit) leafResult {
	time.Sleep(networkDelay)
	tier.mu.Lock()
	fl := tier.leaves[l.Addr]
	shards, held := fl.versions[req.IndexVersion]
	random, delay := tier.rng.Float64(), fl.delay
	if tier.jitter {
		delay = time.Duration((0.5 + tier.rng.Float64()) * float64(delay))
	}
	if tier.rng.Float64() < fl.slowRate {
		delay *= slowFactor
	}
	switch {
	case fl.down:
		tier.mu.Unlock()
		permit.Done(admit.Failed, 0)
		return leafResult{err: contract.Refuse(contract.ReasonTargetFailed, errors.New("connection refused"))}
	case !held || req.Shard >= shards:
		tier.mu.Unlock()
		permit.Done(admit.Declined, 0)
		return leafResult{err: contract.Refuse(contract.ReasonNoLiveTarget, nil)}
	case random < fl.refusalRate:
		tier.mu.Unlock()
		permit.Done(admit.Refused, 0)
		return leafResult{err: contract.Refuse(contract.ReasonTargetRefused, nil)}
	}
	tier.runs[runKey(req.Body, req.Service, req.Shard)]++
	fl.inFlight++
	fl.maxInFlight = max(fl.maxInFlight, fl.inFlight)
	loseReply, wrongVersion := tier.rng.Float64() < fl.lossRate, tier.rng.Float64() < fl.wrongVersionRate
	tier.mu.Unlock()
	time.Sleep(delay)
	tier.mu.Lock()
	fl.inFlight--
	tier.mu.Unlock()
	reply := &contract.LeafReply{ID: req.ID, Attempt: req.Attempt, Service: req.Service, Shard: req.Shard, IndexVersion: req.IndexVersion}
	reply.Hits = docsOf(req.Service, req.IndexVersion, req.Shard)
	if wrongVersion {
		reply.IndexVersion++
		reply.Hits = docsOf(req.Service, req.IndexVersion+1, req.Shard)
	}
	if loseReply {
		permit.Done(admit.Failed, 0)
		return leafResult{err: &contract.Error{Verdict: contract.MayHaveRun, Reason: contract.ReasonTargetFailed}}
	}
	permit.Done(admit.Answered, 0)
	return leafResult{reply: reply}
}

// crash ends an incarnation: calls to it fail and it sends nothing more. Its slots are not
// reassigned to other daemons, because its lease is still valid.
func (tier *testTier) crash(name string) {
	tier.mu.Lock()
	d := tier.daemons[name]
	tier.mu.Unlock()
	d.mu.Lock()
	d.crashed = true
	d.mu.Unlock()
	d.gates.SetLeaseEnd(0)
}

// restart adds the next incarnation to the membership and starts it, after the lease of the
// previous one has expired and its requests in flight have ended.
func (tier *testTier) restart(name string) {
	time.Sleep(2 * time.Second)
	tier.mu.Lock()
	next := *tier.view.Load()
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
	tier.view.Store(&next)
	tier.mu.Unlock()
	tier.startDaemon(id)
}

func (tier *testTier) engine(name string) *Engine {
	tier.mu.Lock()
	defer tier.mu.Unlock()
	return tier.daemons[name].engine
}

func (tier *testTier) close() {
	tier.cancel()
	tier.goroutines.Wait()
	synctest.Wait()
}

// runInTier runs f in a synctest bubble and returns its error to the caller outside of it.
func runInTier(t *testing.T, seed uint64, scope string, f func(tier *testTier) error) error {
	t.Helper()
	return runInTierOfSize(t, seed, scope, smallTier, f)
}

func runInTierOfSize(t *testing.T, seed uint64, scope string, size tierSize, f func(tier *testTier) error) error {
	t.Helper()
	var err error
	synctest.Test(t, func(*testing.T) {
		tier := newTestTier(seed, scope, size)
		err = f(tier)
		tier.close()
	})
	return err
}

func runKey(body json.RawMessage, service string, shard uint32) string {
	return fmt.Sprintf("%s%s/%d", body, service, shard)
}

func body(key string) json.RawMessage { return json.RawMessage(fmt.Sprintf("%q", key)) }
