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
	IsReader func() bool
	// Unresponsive returns the sorted names of the daemons that the reader has not
	// heard from recently.
	Unresponsive func() []string
	// Upstreams returns the peer addresses of the daemons to watch, best first.
	Upstreams func() []string
	// ReadInterval is the time between two readings. It must be short enough that
	// every daemon learns of a draining leaf before the leaf stops serving.
	ReadInterval time.Duration
	// FallbackAge is the age of the list at which a daemon that is not the reader
	// reads it itself.
	FallbackAge time.Duration
	// ListNeeded reports whether this daemon can use the list yet. After a power loss
	// every daemon starts without a list. Without a configuration it has no use for
	// one, and once it has a configuration it also knows the daemons that read the list.
	ListNeeded func() bool
	// ReadAtStart is set on the few daemons that may become the reader: they read at
	// their start, so that the list is available when they become the reader.
	ReadAtStart bool
	// ReadJitter spreads the readings of daemons that lost the reader together: each
	// waits a random part of it before every reading.
	ReadJitter func() time.Duration
}

const (
	watchWait          = time.Second
	watchTimeoutMargin = 400 * time.Millisecond // beyond watchWait; a silently dropped connection shows only as a time-out
	// maxLeafBytes is the maximum size of one leaf in a reply.
	maxLeafBytes    = 160
	watchRetryDelay = 100 * time.Millisecond
	// minUpstreamPause and maxUpstreamPause bound how long an upstream is skipped after
	// failed or stale calls. The minimum exceeds the duration of such a call.
	minUpstreamPause = 2 * (watchWait + watchTimeoutMargin)
	maxUpstreamPause = 15 * time.Second
	readTimeout      = 2 * time.Second
)

// Syncer keeps a LeafCache up to date.
type Syncer struct {
	cfg   Config
	cache *LeafCache
	// Used only by the goroutine of readLoop.
	sourceFailing bool                // the last call to the Source failed
	unreadable    map[string]struct{} // unreadable entries of the last reading

	startedAt vm.Instant // from here on, upstreams have FallbackAge to send a list before this daemon reads it
}

// NewSyncer returns a syncer that does nothing until Run is called.
func NewSyncer(cfg Config, cache *LeafCache) *Syncer {
	if cfg.Clock == nil {
		cfg.Clock = vm.Now
	}
	return &Syncer{cfg: cfg, cache: cache, startedAt: cfg.Clock()}
}

// Run reads or watches the list until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.watchLoop(ctx)
	}()
	s.readLoop(ctx)
	<-done
}

// readLoop reads the list while this daemon is the reader or has no recent list.
func (s *Syncer) readLoop(ctx context.Context) {
	for ctx.Err() == nil {
		startedAt := s.cfg.Clock()
		if s.cfg.IsReader() {
			s.cache.SetUnresponsive(s.cfg.Unresponsive())
		}
		if !s.readDue() {
			vm.Sleep(ctx, watchRetryDelay)
			continue
		}
		if !s.cfg.IsReader() {
			if !vm.Sleep(ctx, rand.N(s.cfg.ReadJitter()+1)) || !s.readDue() {
				continue
			}
			startedAt = s.cfg.Clock()
		}
		s.readOnce(ctx, startedAt)
	}
}

func (s *Syncer) readDue() bool {
	age := s.cache.Age()
	if s.cfg.IsReader() {
		return age >= s.cfg.ReadInterval
	}
	if s.cfg.ReadAtStart && !s.cache.HasList() {
		return true
	}
	return age >= s.cfg.FallbackAge && s.cfg.ListNeeded() && s.cfg.Clock().Sub(s.startedAt) >= s.cfg.FallbackAge
}

func (s *Syncer) readOnce(ctx context.Context, startedAt vm.Instant) {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	listing, err := s.cfg.Source.List(readCtx)
	if err != nil {
		failedReadingsCounter.Inc(1)
		if !s.sourceFailing {
			klog.Warningf("discovery: list can't be read, age=%v: %v", s.cache.Age(), err)
		}
		s.sourceFailing = true
		vm.Sleep(ctx, s.cfg.ReadInterval/2)
		return
	}
	readingsCounter.Inc(1)
	if s.sourceFailing {
		klog.Infof("discovery: list can be read again")
	}
	s.sourceFailing = false
	s.logUnreadable(listing.Unreadable)
	s.cache.ApplyReading(listing.Leaves, startedAt)
}

// maxUnreadableLogged bounds the log lines about unreadable entries of one reading.
const maxUnreadableLogged = 20

// logUnreadable logs each unreadable entry once while it is listed.
func (s *Syncer) logUnreadable(list []UnreadableEntry) {
	current := make(map[string]struct{}, len(list))
	logged := 0
	for _, u := range list {
		key := u.ID + " " + u.Err.Error()
		current[key] = struct{}{}
		if _, known := s.unreadable[key]; known {
			continue
		}
		unreadableEntriesCounter.Inc(1)
		if logged++; logged <= maxUnreadableLogged {
			klog.Warningf("discovery: skipped unreadable list entry id=%q: %v", u.ID, u.Err)
		}
	}
	if logged > maxUnreadableLogged {
		klog.Warningf("discovery: further unreadable list entries not logged: %d", logged-maxUnreadableLogged)
	}
	s.unreadable = current
}

// fetchFirstList requests the initial list. Every watchRetryDelay/2 it asks one more
// upstream until one has replied with a list, because some upstreams may not be running
// yet and a call to a VM without power ends only by its time-out.
func (s *Syncer) fetchFirstList(ctx context.Context) {
	var tasks work.KeyedRunner
	var fetching sync.Mutex
	tasks.RunStaggered(ctx, watchRetryDelay/2, s.cfg.Upstreams, s.cache.HasList, func(addr string) {
		// The watch loop that follows meets the same error and logs it.
		leaves, err := s.leafCount(ctx, addr)
		if err != nil || leaves < 0 || !fetching.TryLock() {
			return
		}
		defer fetching.Unlock()
		_, _ = s.watchOnce(ctx, addr, leaves)
	})
}

// leafCount asks the daemon at addr how many leaves it knows; -1 means it has no list. The
// whole list is then fetched from one daemon at a time, because parallel transfers would
// slow each other down.
func (s *Syncer) leafCount(ctx context.Context, addr string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeoutMargin)
	defer cancel()
	conn, err := s.cfg.Conns.Conn(ctx, addr)
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
func (s *Syncer) watchLoop(ctx context.Context) {
	s.fetchFirstList(ctx)
	pauses := make(upstreamPauses)
	lastAddr := "" // the upstream that sent the newest list
	for ctx.Err() == nil {
		askedAt := s.cfg.Clock()
		addr, ok := pauses.pick(s.cfg.Upstreams(), askedAt)
		if s.cfg.IsReader() || !ok {
			vm.Sleep(ctx, watchRetryDelay)
			continue
		}
		leaves := 0 // the upstream of the previous call usually sends only changes
		if addr != lastAddr {
			leaves = len(s.cache.Snapshot().All())
		}
		fresh, err := s.watchOnce(ctx, addr, leaves)
		if err == nil && fresh {
			delete(pauses, addr)
			lastAddr = addr
			continue
		}
		// The upstream does not answer or has no recent list: try another one.
		now := s.cfg.Clock()
		pauses.recordFailure(addr, now)
		if now.Sub(askedAt) < watchRetryDelay {
			vm.Sleep(ctx, watchRetryDelay/2+rand.N(watchRetryDelay))
		}
	}
}

// upstreamPauses holds how long upstreams that failed or had no recent list are skipped.
type upstreamPauses map[string]*upstreamPause

type upstreamPause struct {
	consecutiveFailures int
	until               vm.Instant
}

// recordFailure counts a failure of an upstream. The pause doubles with each failure.
func (p upstreamPauses) recordFailure(addr string, now vm.Instant) {
	x := p[addr]
	if x == nil {
		x = &upstreamPause{}
		p[addr] = x
	}
	x.until = now.Add(min(minUpstreamPause<<min(x.consecutiveFailures, 8), maxUpstreamPause))
	x.consecutiveFailures++
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
func (s *Syncer) watchOnce(ctx context.Context, addr string, maxLeaves int) (fresh bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, peer.CallTimeout(watchWait+watchTimeoutMargin, maxLeaves*maxLeafBytes))
	defer cancel()
	conn, err := s.cfg.Conns.Conn(ctx, addr)
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	reply, err := wire.NewDRPCLeavesClient(conn).Watch(ctx, s.cache.newRequest(watchWait))
	if err != nil {
		return false, errors.Wrapf(err, "discovery: %s", addr)
	}
	applied := s.cache.applyReply(reply)
	fresh = time.Duration(reply.AgeMs)*time.Millisecond < s.maxFreshAge()
	// An upstream with older leaves would send them again at once.
	outdated := !applied && len(reply.Entries)+len(reply.Removed) > 0
	return reply.Run != 0 && fresh && !outdated, nil
}

// Server returns the server for the daemons that watch this one.
func (s *Syncer) Server() wire.DRPCLeavesServer { return &server{s.cache, s.maxFreshAge()} }

// maxFreshAge is the maximum age of an upstream's list at which watching it is worthwhile.
func (s *Syncer) maxFreshAge() time.Duration { return 2*s.cfg.ReadInterval + watchWait }

type server struct {
	cache       *LeafCache
	maxFreshAge time.Duration
}

// Watch implements wire.DRPCLeavesServer. The reply is held until the leaves change or
// the hold time ends. A daemon without a list or with an outdated one replies
// immediately: otherwise after a full restart each daemon would wait a second for one
// that has no list either, while the reader has it.
func (s *server) Watch(ctx context.Context, req *wire.LeavesRequest) (*wire.LeavesReply, error) {
	timer := time.NewTimer(min(time.Duration(req.WaitMs)*time.Millisecond, watchWait))
	defer timer.Stop()
	for {
		changed := s.cache.Changed()
		reply := s.cache.newReply(req)
		if req.CountOnly || len(reply.Entries)+len(reply.Removed) > 0 || reply.Whole || namesDigest(reply.Quiet) != req.Quiet || s.cache.Age() > s.maxFreshAge {
			return reply, nil
		}
		select {
		case <-changed:
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		return s.cache.newReply(req), nil
	}
}
