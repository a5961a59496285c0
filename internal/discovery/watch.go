package discovery

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/relay"
	"pearmoor/internal/vm"
	"pearmoor/internal/work"
)

// Config configures a Syncer.
type Config struct {
	Source Source
	Conns  relay.Conns
	Clock  vm.Clock // nil means vm.Now
	// IsReader reports whether this daemon reads the list from the Source.
	Reads func() bool
	// Unresponsive returns the sorted names of the daemons that the reader has not
	// heard from recently.
	Quiet func() []string
	// Upstreams returns the peer addresses of the daemons to watch, best first.
	Upstreams func() []string
	// ReadInterval is the time between two readings. It must be short enough that
	// every daemon learns of a draining leaf before the leaf stops serving.
	Every time.Duration
	// FallbackAge is the age of the list at which a daemon that is not the reader
	// reads it itself.
	Alone time.Duration
	// ListNeeded reports whether this daemon can use the list yet. After a power loss
	// every daemon starts without a list. Without a configuration it has no use for
	// one, and once it has a configuration it also knows the daemons that read the list.
	Wanted func() bool
	// ReadAtStart is set on the few daemons that may become the reader: they read at
	// their start, so that the list is available when they become the reader.
	Early bool
	// ReadJitter spreads the readings of daemons that lost the reader together: each
	// waits a random part of it before every reading.
	Spread func() time.Duration
}

const (
	watchHold   = time.Second
	watchMargin = 400 * time.Millisecond // beyond watchWait; a silently dropped connection shows only as a time-out
	// maxLeafBytes is the maximum size of one leaf in a reply.
	leafBytes  = 160
	watchRetry = 100 * time.Millisecond
	// minUpstreamPause and maxUpstreamPause bound how long an upstream is skipped after
	// failed or stale calls. The minimum exceeds the duration of such a call.
	pauseFirst   = 2 * (watchHold + watchMargin)
	pauseLongest = 15 * time.Second
	readTimeout  = 2 * time.Second
)

// Syncer keeps a LeafCache up to date.
type Finder struct {
	cfg  Config
	book *Book
	// Used only by the goroutine of readLoop.
	lost       bool                // the last call to the Source failed
	unreadable map[string]struct{} // unreadable entries of the last reading

	started vm.Instant // gives upstreams FallbackAge to send a list before this daemon reads it
}

// NewSyncer returns a syncer that does nothing until Run is called.
func NewFinder(cfg Config, book *Book) *Finder {
	if cfg.Clock == nil {
		cfg.Clock = vm.Now
	}
	return &Finder{cfg: cfg, book: book, started: cfg.Clock()}
}

// Run reads or watches the list until ctx ends.
func (f *Finder) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.watch(ctx)
	}()
	f.read(ctx)
	<-done
}

// readLoop reads the list while this daemon is the reader or has no recent list.
func (f *Finder) read(ctx context.Context) {
	for ctx.Err() == nil {
		began := f.cfg.Clock()
		if f.cfg.Reads() {
			f.book.SetQuiet(f.cfg.Quiet())
		}
		if !f.due() {
			vm.Sleep(ctx, watchRetry)
			continue
		}
		if !f.cfg.Reads() {
			if !vm.Sleep(ctx, rand.N(f.cfg.Spread()+1)) || !f.due() {
				continue
			}
			began = f.cfg.Clock()
		}
		f.readOnce(ctx, began)
	}
}

func (f *Finder) due() bool {
	age := f.book.Age()
	if f.cfg.Reads() {
		return age >= f.cfg.Every
	}
	if f.cfg.Early && !f.book.Known() {
		return true
	}
	return age >= f.cfg.Alone && f.cfg.Wanted() && f.cfg.Clock().Sub(f.started) >= f.cfg.Alone
}

func (f *Finder) readOnce(ctx context.Context, began vm.Instant) {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	listing, err := f.cfg.Source.List(readCtx)
	if err != nil {
		readsFailed.Inc(1)
		if !f.lost {
			klog.Warningf("discovery: list can't be read, age=%v: %v", f.book.Age(), err)
		}
		f.lost = true
		vm.Sleep(ctx, f.cfg.Every/2)
		return
	}
	readsMeter.Inc(1)
	if f.lost {
		klog.Infof("discovery: list can be read again")
	}
	f.lost = false
	f.tellUnreadable(listing.Unreadable)
	f.book.Take(listing.Leaves, began)
}

// maxUnreadableLogged bounds the log lines about unreadable entries of one reading.
const mostTold = 20

// logUnreadable logs each unreadable entry once while it is listed.
func (f *Finder) tellUnreadable(list []Unreadable) {
	now := make(map[string]struct{}, len(list))
	told := 0
	for _, u := range list {
		key := u.ID + " " + u.Fault.Error()
		now[key] = struct{}{}
		if _, known := f.unreadable[key]; known {
			continue
		}
		entriesUnreadable.Inc(1)
		if told++; told <= mostTold {
			klog.Warningf("discovery: skipped unreadable list entry id=%q: %v", u.ID, u.Fault)
		}
	}
	if told > mostTold {
		klog.Warningf("discovery: further unreadable list entries not logged: %d", told-mostTold)
	}
	f.unreadable = now
}

// fetchFirstList requests the initial list. Every watchRetryDelay/2 it asks one more
// upstream until one has replied with a list, because some upstreams may not be running
// yet and a call to a VM without power ends only by its time-out.
func (f *Finder) first(ctx context.Context) {
	var asked work.Each
	var fetching sync.Mutex
	asked.InTurn(ctx, watchRetry/2, f.cfg.Upstreams, f.book.Known, func(addr string) {
		// The watch loop that follows meets the same error and logs it.
		leaves, err := f.count(ctx, addr)
		if err != nil || leaves < 0 || !fetching.TryLock() {
			return
		}
		defer fetching.Unlock()
		_, _ = f.watchOnce(ctx, addr, leaves)
	})
}

// leafCount asks the daemon at addr how many leaves it knows; -1 means it has no list. The
// whole list is then fetched from one daemon at a time, because parallel transfers would
// slow each other down.
func (f *Finder) count(ctx context.Context, addr string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, watchMargin)
	defer cancel()
	conn, err := f.cfg.Conns.Conn(ctx, addr)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	reply, err := wire.NewDRPCLeavesClient(conn).Watch(ctx, &wire.LeavesRequest{CountOnly: true})
	if err != nil || reply.Run == 0 {
		return -1, err
	}
	return int(reply.Leaves), nil
}

// watchLoop requests changes from another daemon while this one is not the reader.
func (f *Finder) watch(ctx context.Context) {
	f.first(ctx)
	failing := make(upstreamPauses)
	last := "" // the upstream that sent the newest list
	for ctx.Err() == nil {
		asked := f.cfg.Clock()
		addr, ok := failing.pick(f.cfg.Upstreams(), asked)
		if f.cfg.Reads() || !ok {
			vm.Sleep(ctx, watchRetry)
			continue
		}
		leaves := 0 // usually only changes are sent
		if addr != last {
			leaves = len(f.book.Snapshot().All())
		}
		fresh, err := f.watchOnce(ctx, addr, leaves)
		if err == nil && fresh {
			delete(failing, addr)
			last = addr
			continue
		}
		// The upstream does not answer or has no recent list: try another one.
		now := f.cfg.Clock()
		failing.add(addr, now)
		if now.Sub(asked) < watchRetry {
			vm.Sleep(ctx, watchRetry/2+rand.N(watchRetry))
		}
	}
}

// upstreamPauses holds how long upstreams that failed or had no recent list are skipped.
type upstreamPauses map[string]*upstreamPause

type upstreamPause struct {
	failures int
	until    vm.Instant
}

// recordFailure counts a failure of an upstream. The pause doubles with each failure.
func (p upstreamPauses) add(addr string, now vm.Instant) {
	x := p[addr]
	if x == nil {
		x = &upstreamPause{}
		p[addr] = x
	}
	x.until = now.Add(min(pauseFirst<<min(x.failures, 8), pauseLongest))
	x.failures++
}

// pick returns the first of addrs that is not paused, or else the one whose pause ends
// first. It removes the pauses of all addresses that are not in addrs.
func (p upstreamPauses) pick(addrs []string, now vm.Instant) (addr string, ok bool) {
	for known := range p {
		if !slices.Contains(addrs, known) {
			delete(p, known)
		}
	}
	for _, a := range addrs {
		x := p[a]
		if x == nil || now >= x.until {
			return a, true
		}
		if !ok || x.until < p[addr].until {
			addr, ok = a, true
		}
	}
	return addr, ok
}

// watchOnce sends one request to the daemon at addr and reports whether its reading is
// recent. The time-out allows for a reply with maxLeaves leaves.
func (f *Finder) watchOnce(ctx context.Context, addr string, leaves int) (fresh bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, peer.TimeFor(watchHold+watchMargin, leaves*leafBytes))
	defer cancel()
	conn, err := f.cfg.Conns.Conn(ctx, addr)
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	reply, err := wire.NewDRPCLeavesClient(conn).Watch(ctx, f.book.request(watchHold))
	if err != nil {
		return false, errors.Wrapf(err, "discovery: %s", addr)
	}
	f.book.receive(reply)
	fresh = time.Duration(reply.AgeMs)*time.Millisecond < f.freshFor()
	return reply.Run != 0 && fresh, nil
}

// Server returns the server for the daemons that watch this one.
func (f *Finder) Server() wire.DRPCLeavesServer { return &server{f.book, f.freshFor()} }

// maxFreshAge is the maximum age of an upstream's list at which watching it is worthwhile.
func (f *Finder) freshFor() time.Duration { return 2*f.cfg.Every + watchHold }

type server struct {
	book  *Book
	fresh time.Duration
}

// Watch implements wire.DRPCLeavesServer. The reply is held until the leaves change or
// the hold time ends. A daemon without a list or with an outdated one replies
// immediately: otherwise after a full restart each daemon would wait a second for one
// that has no list either, while the reader has it.
func (s *server) Watch(ctx context.Context, req *wire.LeavesRequest) (*wire.LeavesReply, error) {
	timer := time.NewTimer(min(time.Duration(req.WaitMs)*time.Millisecond, watchHold))
	defer timer.Stop()
	for {
		changed := s.book.Changed()
		reply := s.book.reply(req)
		if req.CountOnly || len(reply.Entries)+len(reply.Removed) > 0 || reply.Whole || quietDigest(reply.Quiet) != req.Quiet || s.book.Age() > s.fresh {
			return reply, nil
		}
		select {
		case <-changed:
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		return s.book.reply(req), nil
	}
}
