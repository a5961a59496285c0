package standin

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
)

// LeafConfig describes a leaf to start.
type LeafConfig struct {
	Name      string
	Listen    string // host:port; empty: a free port of 127.0.0.1
	Indexes   []contract.LeafIndex
	Documents int // of each query service; 0 means DefaultDocuments
	Behavior  Behavior
	Seed      uint64
	Runs      *Runs // shared by leaves whose runs are counted together; nil: the leaf counts its own
}

// Leaf is a stand-in for a leaf process.
type Leaf struct {
	name      string
	documents int
	runs      *Runs
	behavior  atomic.Pointer[Behavior]
	slots     slots
	conns     connCount
	counts    counters
	closed    atomic.Bool

	mu         sync.Mutex
	addr       string
	server     *http.Server // nil while down
	started    time.Time
	indexes    []contract.LeafIndex
	random     *rand.Rand
	previous   *task // previous request, for CrossShare
	report     contract.LeafStatus
	reportedAt time.Time // time of report
	serving    sync.WaitGroup
}

type counters struct {
	replies       atomic.Uint64
	refused       atomic.Uint64
	notHeld       atomic.Uint64
	expired       atomic.Uint64
	cancelled     atomic.Uint64
	whileDraining atomic.Uint64 // arrivals while draining
	lastArrival   atomic.Int64  // Unix nanoseconds of the last arrival
}

// StartLeaf starts a leaf. Close or Shutdown stops it.
func StartLeaf(cfg LeafConfig) (*Leaf, error) {
	if err := cfg.Behavior.Validate(); err != nil {
		return nil, err
	}
	l := &Leaf{
		name:      cfg.Name,
		documents: cfg.Documents,
		runs:      cfg.Runs,
		indexes:   slices.Clone(cfg.Indexes),
		random:    rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		addr:      cfg.Listen,
	}
	if l.documents == 0 {
		l.documents = DefaultDocuments
	}
	if l.runs == nil {
		l.runs = NewRuns(DefaultRunMemory)
	}
	if l.addr == "" {
		l.addr = "127.0.0.1:0"
	}
	l.behavior.Store(&cfg.Behavior)
	l.slots.configure(cfg.Behavior.Slots, cfg.Behavior.Queue)
	return l, l.Up()
}

// Up makes a leaf that is down listen on its previous address again. The leaf is cold.
func (l *Leaf) Up() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.server != nil {
		return nil
	}
	lis, err := net.Listen("tcp", l.addr)
	if err != nil {
		return errors.Wrapf(err, "standin: leaf %s", l.name)
	}
	l.addr = lis.Addr().String()
	l.started = time.Now()
	srv := &http.Server{Handler: l.handler(), ConnContext: withConn, ReadHeaderTimeout: time.Minute}
	l.server = srv
	l.serving.Go(func() {
		_ = srv.Serve(&limitedListener{Listener: lis, behavior: l.Behavior, conns: &l.conns})
	})
	return nil
}

// Down closes the listener and all connections without waiting for requests, as the loss of
// a leaf does.
func (l *Leaf) Down() error {
	l.mu.Lock()
	srv := l.server
	l.server = nil
	l.mu.Unlock()
	if srv == nil {
		return nil
	}
	err := srv.Close()
	l.serving.Wait()
	return err
}

// crash takes the leaf down and brings it up again after the given time.
func (l *Leaf) crash(downtime time.Duration) {
	if l.Down() != nil {
		return
	}
	time.Sleep(downtime)
	for !l.closed.Load() && l.Up() != nil { // the port may still be in use
		time.Sleep(crashRetryInterval)
	}
}

// crashRetryInterval is the time between attempts to listen on the port again.
const crashRetryInterval = 10 * time.Millisecond

// Close stops the leaf without waiting for requests.
func (l *Leaf) Close() error {
	l.closed.Store(true)
	return l.Down()
}

// Shutdown stops the leaf after the requests in flight, or when ctx ends.
func (l *Leaf) Shutdown(ctx context.Context) error {
	l.mu.Lock()
	srv := l.server
	l.mu.Unlock()
	if srv != nil {
		_ = srv.Shutdown(ctx)
	}
	return l.Down()
}

// Name returns the leaf's name.
func (l *Leaf) Name() string { return l.name }

// Addr returns host:port, which stays the same across Down and Up.
func (l *Leaf) Addr() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addr
}

// Behavior returns the current behavior.
func (l *Leaf) Behavior() Behavior { return *l.behavior.Load() }

// SetBehavior replaces the behavior. Requests that have arrived keep the previous one.
func (l *Leaf) SetBehavior(b Behavior) error {
	if err := b.Validate(); err != nil {
		return err
	}
	l.behavior.Store(&b)
	l.slots.configure(b.Slots, b.Queue)
	return nil
}

// Publish adds or replaces an index version.
func (l *Leaf) Publish(x contract.LeafIndex) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeIndex(x.Service, x.Version)
	l.indexes = append(l.indexes, x)
}

// Retire removes an index version.
func (l *Leaf) Retire(service string, version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeIndex(service, version)
}

func (l *Leaf) removeIndex(service string, version uint64) {
	kept := make([]contract.LeafIndex, 0, len(l.indexes)+1)
	for _, x := range l.indexes {
		if x.Service != service || x.Version != version {
			kept = append(kept, x)
		}
	}
	l.indexes = kept
}

// Runs returns how often a request was run at a shard.
func (l *Leaf) Runs(service, request string, shard uint32) int {
	return l.runs.Count(RunKey{Request: request, Service: service, Shard: shard})
}

// draw returns a random number in [0, 1).
func (l *Leaf) randomFloat() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.Float64()
}

// chance returns true with probability share.
func (l *Leaf) chance(share float64) bool { return share > 0 && l.randomFloat() < share }
