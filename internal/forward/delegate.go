package forward

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"pearmoor/internal/contract"
	"pearmoor/internal/discovery"
	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/target"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/policy"
	"pearmoor/internal/vm"
)

const (
	// fewDelegated is how many shards of a gather must have their leaf in a failure
	// domain for a daemon there to be asked for them: below it the call costs as much
	// as the sends (one call takes the processor time of 2.4 parts).
	fewDelegated = 3
	// hopTime is how much earlier than a reply counts as late the first parts are wanted
	// of a daemon near their leaves: the way between two failure domains, 1 to 3 ms
	// there and back, and the call.
	hopTime = 4 * time.Millisecond
	// silentHelper is how long after the first parts were wanted a daemon may go without
	// a word before its shards are sent for directly: it is frozen, cut off or far
	// behind.
	silentHelper = 12 * time.Millisecond
	// streamOver is how long after the end of a request its stream is waited for.
	streamOver = 200 * time.Millisecond
)

var (
	delegatedParts = metrics.GetOrRegisterCounter("forward.delegated.parts", metrics.DefaultRegistry)
	delegatedLost  = metrics.GetOrRegisterCounter("forward.delegated.failed_calls", metrics.DefaultRegistry)
)

// Near finds daemons near leaves, for parts of a gather that would each have to be sent
// across a link between failure domains. It is safe for concurrent use.
type Near interface {
	// Daemon returns the address of a daemon in the failure domain, empty for none.
	Daemon(domain string) string
	// Runner returns the address of a daemon that whole gathers are handed to, other than
	// those asked already; empty where there is none or this one runs them itself.
	Runner(asked []string) string
	// Handover opens a call to it.
	Handover(ctx context.Context, addr string) (wire.DRPCGather_HandoverClient, error)
	// Scatter opens a call to a daemon near leaves.
	Scatter(ctx context.Context, addr string) (wire.DRPCGather_ScatterClient, error)
	// Ended tells how what was asked of a daemon ended: nil if it answered. It is called
	// once for each address that Daemon or Runner has returned.
	Ended(addr string, err error)
	// Suspect tells that a daemon is long overdue.
	Suspect(addr string)
}

// partSet is parts whose records came merged: they can be used only together, and with
// the sets that came before them, in which records of theirs may be left out for greater
// ones.
type partSet struct {
	records []byte
	spoiled bool
	before  *partSet // of the same daemon; nil: none
}

// unusable reports whether the set, or one that it builds on, holds what must not be in
// an answer.
func (s *partSet) unusable() bool {
	return s != nil && (s.spoiled || s.before.unusable())
}

// batch is the shards of a gather that one daemon near their leaves is asked for. For
// the run each is a flight like any other. Only the goroutine of the run uses heard and
// given.
type batch struct {
	run   *run
	addr  string
	sends []delegated
	heard bool // something has come
	given bool // up: its shards were sent for directly

	mu     sync.Mutex
	stream wire.DRPCGather_ScatterClient
	over   bool
	cancel context.CancelFunc
	newest *partSet // only the goroutine of follow uses it
}

// delegated is one send of a batch.
type delegated struct {
	shard int
	leaf  *discovery.Leaf
	call  *target.Call // names the flight; nothing is sent on it
	began vm.Instant
	ended bool
}

// choice is the leaf that a shard is to be asked at.
type choice struct {
	shard int
	leaf  *discovery.Leaf
}

// launchAll makes the first send for every shard. Parts whose leaf is in another failure
// domain are asked for through a daemon there, which sends back the greatest records
// of all in place of every part with its headers.
func (r *run) launchAll() {
	if len(r.shards) < fewDelegated || r.e.cfg.Near == nil || r.send.Stream != nil || r.suspicion.Guarded() {
		for i := range r.shards {
			r.launch(i, false)
		}
		return
	}
	board := r.e.cfg.Board
	snap := r.e.cfg.Book.Snapshot()
	usual := r.know.pace.Usual()
	away := make(map[string][]choice)
	var direct []choice
	for i := range r.shards {
		leaf := board.Choose(snap.Of(r.shards[i].service), nil, usual)
		switch {
		case leaf == nil:
			r.launch(i, false)
		case leaf.Domain == board.domain:
			direct = append(direct, choice{i, leaf})
		default:
			away[leaf.Domain] = append(away[leaf.Domain], choice{i, leaf})
		}
	}
	for domain, list := range away {
		if len(list) < fewDelegated || !r.delegate(domain, list) {
			direct = append(direct, list...)
		}
	}
	for _, c := range direct {
		r.sendTo(c.shard, c.leaf, false)
	}
}

// delegate asks a daemon in the failure domain for the parts of these shards. It is
// false when there is none to ask.
func (r *run) delegate(domain string, list []choice) bool {
	addr := r.e.cfg.Near.Daemon(domain)
	if addr == "" {
		return false
	}
	now := time.Now()
	b := &batch{run: r, addr: addr, sends: make([]delegated, len(list))}
	req := &wire.ScatterRequest{
		Id: r.req.ID, Method: r.send.Method, Head: r.send.Head, Body: r.send.Body,
		LeftUs: micros(r.send.Deadline.Sub(now)), FirstUs: micros(r.at(r.times.Late - hopTime).Sub(now)),
		UsualUs: micros(r.know.pace.Usual()), Top: uint32(r.entry.Top),
		Sends: make([]*wire.PartSend, len(list)), Caller: r.req.Caller,
	}
	for i, c := range list {
		d := delegated{shard: c.shard, leaf: c.leaf, call: &target.Call{}, began: r.e.cfg.Board.Begin(c.leaf.Life())}
		b.sends[i] = d
		req.Sends[i] = &wire.PartSend{Leaf: c.leaf.Mark()}
		r.started(c.shard, flight{call: d.call, leaf: c.leaf, batch: b})
	}
	r.batches = append(r.batches, b)
	r.delegated += len(list)
	delegatedParts.Inc(int64(len(list)))
	ctx, cancel := context.WithDeadline(context.Background(), r.at(r.times.End+streamOver))
	b.cancel = cancel
	go b.follow(ctx, req)
	return true
}

func micros(d time.Duration) uint32 { return uint32(max(0, min(d, time.Hour)).Microseconds()) }

// follow carries out the call.
func (b *batch) follow(ctx context.Context, req *wire.ScatterRequest) {
	defer b.cancel()
	err := b.exchange(ctx, req)
	open := 0
	for i := range b.sends {
		if !b.sends[i].ended {
			open++
		}
	}
	b.mu.Lock()
	over := b.over
	b.mu.Unlock()
	if open > 0 && err == nil {
		err = errors.New("forward: the daemon ended its answer early")
	}
	if over && !peer.NotSent(err) {
		b.run.e.cfg.Near.Ended(b.addr, nil) // it was told that nobody waits
	} else {
		b.run.e.cfg.Near.Ended(b.addr, err)
	}
	if open == 0 {
		return
	}
	if !over {
		delegatedLost.Inc(1)
		b.run.e.cfg.Log.Line("gather", "daemon near the leaves failed").Str("id", b.run.req.ID).Str("daemon", b.addr).
			Int("sends", int64(open)).Bool("sent", !peer.NotSent(err)).Err(err).End()
	}
	fault := mayHaveRunThere(err)
	var ends []result
	for i := range b.sends {
		ends = b.end(ends, i, result{err: fault}, policy.Unlearned)
	}
	b.deliver(ends)
}

// mayHaveRunThere is the fault of sends of which nothing is known but that the call
// failed.
func mayHaveRunThere(err error) *contract.Error {
	if peer.NotSent(err) {
		return contract.Refuse(contract.ReasonOverload, err)
	}
	return &contract.Error{Verdict: contract.MayHaveRun, Reason: contract.ReasonTargetFailed, Cause: err}
}

func (b *batch) exchange(ctx context.Context, req *wire.ScatterRequest) error {
	stream, err := b.run.e.cfg.Near.Scatter(ctx, b.addr)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }() // it has ended, or its connection has
	if !b.opened(stream) {
		return nil
	}
	if err := stream.Send(req); err != nil {
		return err
	}
	for {
		reply, err := stream.Recv()
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
		b.receive(reply)
	}
}

// opened notes the stream; it is false when nobody waits any more.
func (b *batch) opened(stream wire.DRPCGather_ScatterClient) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.over {
		return false
	}
	b.stream = stream
	return true
}

// release tells the daemon that nobody waits any more. A stream that is closed keeps
// its connection, where one whose context ends loses it.
func (b *batch) release() {
	b.mu.Lock()
	before := b.over
	b.over = true
	stream := b.stream
	b.mu.Unlock()
	if before {
		return
	}
	if stream == nil {
		b.cancel() // nothing was sent yet
		return
	}
	go func() { _ = stream.CloseSend() }() // the stream's end shows a failure
}

// sent reports whether the daemon may have got the request, once it is released.
func (b *batch) sent() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stream != nil
}

func (b *batch) receive(reply *wire.ScatterReply) {
	set := &partSet{records: reply.Records, before: b.newest}
	b.newest = set
	ends := make([]result, 0, len(reply.Ends))
	for _, e := range reply.Ends {
		if int(e.Send) >= len(b.sends) {
			continue // no send of this batch
		}
		out, answer, fault := b.read(e)
		res := result{reply: answer, err: fault, took: time.Duration(e.TookUs) * time.Microsecond, set: set}
		ends = b.end(ends, int(e.Send), res, out)
	}
	b.deliver(ends)
}

// deliver hands the run what came together.
func (b *batch) deliver(ends []result) {
	if len(ends) > 0 {
		first := ends[0]
		first.with = ends[1:]
		b.run.deliver(first)
	}
}

// read returns what a daemon near a leaf says became of a send there.
func (b *batch) read(e *wire.PartEnd) (policy.Outcome, *target.Reply, *contract.Error) {
	if e.Status == 0 {
		fault := &contract.Error{Verdict: contract.Verdict(min(e.Verdict, uint32(contract.Ran))), Reason: contract.Reason(e.Reason), Cause: errors.New(e.Cause)}
		if e.Stale {
			fault.Cause = errors.Mark(fault.Cause, target.ErrStale)
		}
		if e.Ended {
			fault.Cause = errors.Mark(fault.Cause, contract.ErrLeafEnded)
		}
		return learnedOf(fault), nil, fault
	}
	reply := &target.Reply{Status: int(e.Status), Stamp: e.Stamp, Refused: e.Refused, HasLoad: e.HasLoad}
	if e.HasLoad {
		reply.Load = policy.Load{Running: int(e.Running), Waiting: int(e.Waiting), Slots: int(e.Slots), Pace: float64(e.Pace)}
	}
	return learnedFrom(reply), reply, nil
}

// end notes how a send ended, once, and adds it to ends.
func (b *batch) end(ends []result, i int, res result, out policy.Outcome) []result {
	d := &b.sends[i]
	if d.ended {
		return ends
	}
	d.ended = true
	r := b.run
	r.e.note(noted{leaf: d.leaf, began: d.began, took: res.took, out: out, reply: res.reply, fault: res.err, pace: &r.know.pace, away: true})
	res.shard, res.call, res.leaf = d.shard, d.call, d.leaf
	return append(ends, res)
}

// silent reports whether nothing has come of the batch although its first parts are
// overdue.
func (b *batch) silent(now, wanted time.Time) bool {
	return !b.heard && now.Sub(wanted) >= silentHelper
}
