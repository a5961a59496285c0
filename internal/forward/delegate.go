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
	// minDelegatedShards is the minimum number of shards with a leaf in one failure domain
	// for which a daemon there is called. One call takes the CPU time of 2.4 parts, so with
	// fewer shards it costs as much as direct sends.
	fewDelegated = 3
	// interDomainDelay is the time allowed for a call to a daemon in another failure domain:
	// a round trip between domains of 1 to 3 ms plus the processing of the call. The first
	// parts are requested this much before a reply counts as late.
	hopTime = 4 * time.Millisecond
	// daemonSilenceTimeout is how long after a reply counts as late a daemon may send no
	// reply before its shards are sent to leaves directly. Such a daemon is frozen, cut off
	// or overloaded.
	silentHelper = 12 * time.Millisecond
	// streamGracePeriod is how long a stream to another daemon may outlive the request.
	streamOver = 200 * time.Millisecond
)

var (
	delegatedParts = metrics.GetOrRegisterCounter("forward.delegated.parts", metrics.DefaultRegistry)
	delegatedLost  = metrics.GetOrRegisterCounter("forward.delegated.failed_calls", metrics.DefaultRegistry)
)

// PeerDaemons selects other daemons and opens calls to them. A daemon in the failure domain
// of the leaves collects parts of a gather there, so that not every part has to cross the
// link between failure domains. Implementations are safe for concurrent use.
type Near interface {
	// DelegateAddr returns the address of a daemon in the failure domain that can be called
	// with OpenScatter, empty if there is none.
	Daemon(domain string) string
	// HandoverAddr returns the address of a daemon that a whole gather can be handed over to,
	// other than those in asked. It is empty if there is none or if this daemon is to run
	// gathers itself.
	Runner(asked []string) string
	// OpenHandover opens a handover call to the daemon at addr.
	Handover(ctx context.Context, addr string) (wire.DRPCGather_HandoverClient, error)
	// OpenScatter opens a scatter call to the daemon at addr.
	Scatter(ctx context.Context, addr string) (wire.DRPCGather_ScatterClient, error)
	// ReportResult reports the outcome of a call, nil if the daemon answered. It is called
	// once for each address that DelegateAddr or HandoverAddr has returned.
	Ended(addr string, err error)
	// ReportOverdue reports that the reply of a daemon is long overdue.
	Suspect(addr string)
}

// partSet is a set of parts whose records arrived merged. The parts can be used only
// together, and only with the previous sets of the same daemon: the daemon leaves out records
// that are not among the greatest that it has sent so far.
type partSet struct {
	records []byte
	spoiled bool
	before  *partSet // previous set of the same daemon; nil if there is none
}

// unusable reports whether the set or one of its previous sets has been discarded.
func (s *partSet) unusable() bool {
	return s != nil && (s.spoiled || s.before.unusable())
}

// delegatedBatch is the set of sends of a gather that are delegated to one daemon near their
// leaves. The run keeps a pendingSend for each of them, as for direct sends. Only the
// goroutine of the run uses replied and bypassed.
type batch struct {
	run   *run
	addr  string
	sends []delegated
	heard bool // at least one reply has arrived
	given bool // its shards have been sent to leaves directly

	mu     sync.Mutex
	stream wire.DRPCGather_ScatterClient
	over   bool
	cancel context.CancelFunc
	newest *partSet // used only by the goroutine of runCall
}

// delegatedSend is one send of a delegatedBatch.
type delegated struct {
	shard int
	leaf  *discovery.Leaf
	call  *target.Call // identifies the pendingSend; nothing is sent on it
	began vm.Instant
	ended bool
}

// assignment is the leaf chosen for a shard.
type choice struct {
	shard int
	leaf  *discovery.Leaf
}

// launchAll makes the first send for every shard. Sends to leaves in another failure domain
// are delegated to a daemon there, which returns only the greatest records of all parts
// instead of every part with its headers.
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

// delegate delegates the sends for the shards in list to a daemon in the failure domain. It
// returns false if no daemon is available.
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

// runCall makes the scatter call and records the end of every send of the batch.
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
		b.run.e.cfg.Near.Ended(b.addr, nil) // the call was cancelled by this daemon
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

// callFault returns the error of delegated sends whose call failed with err before their
// results arrived.
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
	defer func() { _ = stream.Close() }() // the stream or its connection has already ended
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

// attachStream stores the stream. It returns false if the batch has already been released.
func (b *batch) opened(stream wire.DRPCGather_ScatterClient) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.over {
		return false
	}
	b.stream = stream
	return true
}

// release tells the daemon that its results are no longer needed. It closes the stream
// instead of cancelling its context, since cancelling would also close the connection.
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
		b.cancel() // nothing has been sent yet
		return
	}
	go func() { _ = stream.CloseSend() }() // a failure shows when the stream ends
}

// mayHaveSent reports whether the daemon may have received the request. It is to be called
// after release.
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
			continue // not a send of this batch
		}
		out, answer, fault := b.read(e)
		res := result{reply: answer, err: fault, took: time.Duration(e.TookUs) * time.Microsecond, set: set}
		ends = b.end(ends, int(e.Send), res, out)
	}
	b.deliver(ends)
}

// deliver passes results that arrived together to the run as one result.
func (b *batch) deliver(ends []result) {
	if len(ends) > 0 {
		first := ends[0]
		first.with = ends[1:]
		b.run.deliver(first)
	}
}

// decodeEnd decodes the result of a delegated send.
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

// endSend records the result of send i and appends it to ends, unless the send has already
// ended.
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

// isSilent reports whether no reply has arrived although daemonSilenceTimeout has passed since
// late, the time from which replies count as late.
func (b *batch) silent(now, wanted time.Time) bool {
	return !b.heard && now.Sub(wanted) >= silentHelper
}
