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

// Config is what a Finder needs.
type Config struct {
	Source Source
	Conns  relay.Conns
	Clock  vm.Clock // nil: vm.Now
	// Reads reports whether this daemon is the one that reads the list.
	Reads func() bool
	// Quiet returns the daemons that the reader has not heard for a while, sorted.
	Quiet func() []string
	// Upstreams returns the peer addresses of daemons to watch, best first.
	Upstreams func() []string
	// Every is the time between two readings: a leaf that leaves must be known to
	// every daemon within the time it goes on serving.
	Every time.Duration
	// Alone is how old the list may become before a daemon that is not the reader
	// reads it itself.
	Alone time.Duration
	// Wanted reports whether the list is of use yet. After a loss of power every daemon
	// starts without one; before it has a configuration, it could do nothing with it,
	// and when it has one, it has found those who read the list for it.
	Wanted func() bool
	// Early is true for a daemon that may become the reader: it reads at its start, so
	// that the list is there when it leads. They are few.
	Early bool
	// Spread draws out the readings of daemons that lost the reader together: each
	// waits a random part of it before it reads and between two readings.
	Spread func() time.Duration
}

const (
	watchHold   = time.Second
	watchMargin = 400 * time.Millisecond // beyond the hold; a silent cut shows no other sign
	// leafBytes is what a leaf takes in a reply, at most.
	leafBytes  = 160
	watchRetry = 100 * time.Millisecond
	// pauseFirst and pauseLongest bound how long an upstream is passed over after calls to
	// it were of no use: at first for longer than such a call takes.
	pauseFirst   = 2 * (watchHold + watchMargin)
	pauseLongest = 15 * time.Second
	readTimeout  = 2 * time.Second
)

// Finder keeps a Book up to date.
type Finder struct {
	cfg  Config
	book *Book
	// Of the reading goroutine.
	lost       bool                // the source does not answer
	unreadable map[string]struct{} // entries of the last reading that named no leaf

	started vm.Instant // a daemon that has just started gives others the time to tell it
}

// NewFinder returns a finder that does nothing until Run.
func NewFinder(cfg Config, book *Book) *Finder {
	if cfg.Clock == nil {
		cfg.Clock = vm.Now
	}
	return &Finder{cfg: cfg, book: book, started: cfg.Clock()}
}

// Run reads or watches until ctx ends.
func (f *Finder) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.watch(ctx)
	}()
	f.read(ctx)
	<-done
}

// read reads the list while this daemon is the reader or is alone.
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

// mostTold bounds the lines about unreadable entries of one reading.
const mostTold = 20

// tellUnreadable logs the entries that name no leaf, each once for as long as it is
// listed.
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
			klog.Warningf("discovery: entry names no leaf id=%q: %v", u.ID, u.Fault)
		}
	}
	if told > mostTold {
		klog.Warningf("discovery: entries that name no leaf, not told one by one: %d", told-mostTold)
	}
	f.unreadable = now
}

// first asks for the list that a daemon starts with, at one daemon more every
// watchRetry, until there is one: some of those it knows may not be up yet, and a call
// to a VM without power ends only with its time.
func (f *Finder) first(ctx context.Context) {
	var asked work.Each
	var fetching sync.Mutex
	asked.InTurn(ctx, watchRetry/2, f.cfg.Upstreams, f.book.Known, func(addr string) {
		// An error is met again, and logged, by the watch that follows.
		leaves, err := f.count(ctx, addr)
		if err != nil || leaves < 0 || !fetching.TryLock() {
			return
		}
		defer fetching.Unlock()
		_, _ = f.watchOnce(ctx, addr, leaves)
	})
}

// count asks the daemon at addr how many leaves it knows, -1 for no list. A whole list is
// asked for at one daemon at a time: many at once would each be slower by the others.
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

// watch asks another daemon for news while this one is not the reader.
func (f *Finder) watch(ctx context.Context) {
	f.first(ctx)
	failing := make(upstreamPauses)
	last := "" // where the newest list is from
	for ctx.Err() == nil {
		asked := f.cfg.Clock()
		addr, ok := failing.pick(f.cfg.Upstreams(), asked)
		if f.cfg.Reads() || !ok {
			vm.Sleep(ctx, watchRetry)
			continue
		}
		leaves := 0 // mostly it is what has changed
		if addr != last {
			leaves = len(f.book.Snapshot().All())
		}
		fresh, err := f.watchOnce(ctx, addr, leaves)
		if err == nil && fresh {
			delete(failing, addr)
			last = addr
			continue
		}
		// It does not answer, or has nothing newer than this daemon: another one may.
		now := f.cfg.Clock()
		failing.add(addr, now)
		if now.Sub(asked) < watchRetry {
			vm.Sleep(ctx, watchRetry/2+rand.N(watchRetry))
		}
	}
}

// upstreamPauses is for how long upstreams that were of no use are passed over.
type upstreamPauses map[string]*upstreamPause

type upstreamPause struct {
	failures int // in a row
	until    vm.Instant
}

// add counts a failure of an upstream. The pause doubles with each.
func (p upstreamPauses) add(addr string, now vm.Instant) {
	x := p[addr]
	if x == nil {
		x = &upstreamPause{}
		p[addr] = x
	}
	x.until = now.Add(min(pauseFirst<<min(x.failures, 8), pauseLongest))
	x.failures++
}

// pick returns the first of addrs that is not paused, else the one whose pause ends first.
// It forgets the others.
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

// watchOnce reports whether the daemon at addr has a reading that is not old. Its reply may
// hold so many leaves.
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

// Server answers the daemons that watch this one.
func (f *Finder) Server() wire.DRPCLeavesServer { return &server{f.book, f.freshFor()} }

// freshFor is how old a list may be to be worth waiting for at the daemon that has it.
func (f *Finder) freshFor() time.Duration { return 2*f.cfg.Every + watchHold }

type server struct {
	book  *Book
	fresh time.Duration
}

// Watch implements wire.DRPCLeavesServer. A reply is held until the leaves change
// or a newer reading is there to tell of at the end of the hold. A daemon without a
// list, or with an old one, says so at once: after a restart of everything each would
// otherwise wait a second at one that knows as little, while the reader has it.
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
