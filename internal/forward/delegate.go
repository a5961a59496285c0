package forward

import (
	"context"
	"io"
	"math/rand/v2"
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
	minDelegatedShards = 3
	// interDomainDelay is the time allowed for a call to a daemon in another failure domain:
	// a round trip between domains of 1 to 3 ms plus the processing of the call. The first
	// parts are requested this much before a reply counts as late.
	interDomainDelay = 4 * time.Millisecond
	// daemonSilenceTimeout is how long after a reply counts as late a daemon may send no
	// reply before its shards are sent to leaves directly. Such a daemon is frozen, cut off
	// or overloaded.
	daemonSilenceTimeout = 12 * time.Millisecond
	// streamGracePeriod is how long a stream to another daemon may outlive the request.
	streamGracePeriod = 200 * time.Millisecond
)

var (
	delegatedParts       = metrics.GetOrRegisterCounter("forward.delegated.parts", metrics.DefaultRegistry)
	delegatedCallsFailed = metrics.GetOrRegisterCounter("forward.delegated.failed_calls", metrics.DefaultRegistry)
)

// PeerDaemons selects other daemons and opens calls to them. A daemon in the failure domain
// of the leaves collects parts of a gather there, so that not every part has to cross the
// link between failure domains. Implementations are safe for concurrent use.
type PeerDaemons interface {
	// DelegateAddr returns the address of a daemon in the failure domain that can be called
	// with OpenScatter, empty if there is none.
	DelegateAddr(domain string) string
	// HandoverAddr returns the address of a daemon that a whole gather can be handed over to,
	// other than those in asked, in one of the regions (none stated: in any). It is empty if
	// there is none or if this daemon is to run gathers itself.
	HandoverAddr(asked, regions []string) string
	// OpenHandover opens a handover call to the daemon at addr.
	OpenHandover(ctx context.Context, addr string) (wire.DRPCGather_HandoverClient, error)
	// OpenScatter opens a scatter call to the daemon at addr.
	OpenScatter(ctx context.Context, addr string) (wire.DRPCGather_ScatterClient, error)
	// ReportResult reports the outcome of a call, nil if the daemon answered. It is called
	// once for each address that DelegateAddr or HandoverAddr has returned.
	ReportResult(addr string, err error)
	// ReportOverdue reports that the reply of a daemon is long overdue.
	ReportOverdue(addr string)
}

// partSet is a set of parts whose records arrived merged. The parts can be used only
// together, and only with the previous sets of the same daemon: the daemon leaves out records
// that are not among the greatest that it has sent so far.
type partSet struct {
	records   []byte
	discarded bool
	previous  *partSet // previous set of the same daemon; nil if there is none
}

// unusable reports whether the set or one of its previous sets has been discarded.
func (s *partSet) unusable() bool {
	return s != nil && (s.discarded || s.previous.unusable())
}

// delegatedBatch is the set of sends of a gather that are delegated to one daemon near their
// leaves. The run keeps a pendingSend for each of them, as for direct sends. Only the
// goroutine of the run uses replied and bypassed.
type delegatedBatch struct {
	run      *run
	addr     string
	sends    []delegatedSend
	replied  bool // at least one reply has arrived
	bypassed bool // its shards have been sent to leaves directly

	mu       sync.Mutex
	stream   wire.DRPCGather_ScatterClient
	released bool
	cancel   context.CancelFunc
	latest   *partSet // used only by the goroutine of runCall
}

// delegatedSend is one send of a delegatedBatch.
type delegatedSend struct {
	shard int
	leaf  *discovery.Leaf
	call  *target.Call // identifies the pendingSend; nothing is sent on it
	began vm.Instant
	ended bool
}

// assignment is the leaf chosen for a shard.
type assignment struct {
	shard int
	leaf  *discovery.Leaf
}

// launchAll makes the first send for every shard. While sends are made one at a time, the
// shard that is sent to first is chosen at random.
func (r *run) launchAll() {
	all := make([]int, len(r.shards))
	start := rand.N(len(all))
	for i := range all {
		all[i] = (start + i) % len(all)
	}
	restricted := r.restrictions()
	if !r.refuseUnservable(&restricted, r.e.cfg.Leaves.Snapshot()) {
		r.launchShards(all)
	}
}

// launchShards makes the first send for the given shards. Sends to leaves in another failure
// domain are delegated to a daemon there, which returns only the greatest records of all parts
// instead of every part with its headers.
func (r *run) launchShards(shards []int) {
	if len(shards) < minDelegatedShards || r.e.cfg.Peers == nil || r.hasLongBody() || r.suspicion.Guarded() {
		for _, i := range shards {
			r.launch(i, false)
		}
		return
	}
	tracker := r.e.cfg.Tracker
	snap := r.e.cfg.Leaves.Snapshot()
	restricted := r.restrictions()
	remote := make(map[string][]assignment)
	var direct []assignment
	for _, i := range shards {
		leaf := r.choose(&restricted, restricted.leavesFor(snap, r.shards[i].service), r.shards[i].tried)
		switch {
		case leaf == nil:
			r.launch(i, false)
		case leaf.Domain == tracker.domain:
			direct = append(direct, assignment{i, leaf})
		default:
			remote[leaf.Domain] = append(remote[leaf.Domain], assignment{i, leaf})
		}
	}
	for domain, assignments := range remote {
		if len(assignments) < minDelegatedShards || !r.delegate(domain, assignments) {
			direct = append(direct, assignments...)
		}
	}
	for _, assigned := range direct {
		r.sendTo(assigned.shard, assigned.leaf, false)
	}
}

// delegate delegates the sends for the shards in list to a daemon in the failure domain. It
// returns false if no daemon is available.
func (r *run) delegate(domain string, assignments []assignment) bool {
	addr := r.e.cfg.Peers.DelegateAddr(domain)
	if addr == "" {
		return false
	}
	now := time.Now()
	b := &delegatedBatch{run: r, addr: addr, sends: make([]delegatedSend, len(assignments))}
	req := &wire.ScatterRequest{
		Id: r.req.ID, Method: r.leafRequest.Method, Head: r.leafRequest.Head, Body: r.leafRequest.Body,
		LeftUs: toMicros(r.leafRequest.Deadline.Sub(now)), FirstUs: toMicros(r.afterArrival(r.times.HedgeAfter - interDomainDelay).Sub(now)),
		UsualUs: toMicros(r.stats.pace.Median()), Top: uint32(r.entry.Top),
		Sends: make([]*wire.PartSend, len(assignments)), Caller: r.req.Caller,
		KeyDigest: r.req.identity.wireDigest(), Organisation: r.req.identity.name(),
	}
	for i, assigned := range assignments {
		send := delegatedSend{shard: assigned.shard, leaf: assigned.leaf, call: &target.Call{}, began: r.e.cfg.Tracker.Begin(assigned.leaf.RunID())}
		b.sends[i] = send
		req.Sends[i] = &wire.PartSend{Leaf: assigned.leaf.Fingerprint()}
		r.recordStart(assigned.shard, pendingSend{call: send.call, leaf: assigned.leaf, batch: b})
	}
	r.batches = append(r.batches, b)
	r.delegatedSends += len(assignments)
	delegatedParts.Inc(int64(len(assignments)))
	ctx, cancel := context.WithDeadline(context.Background(), r.afterArrival(r.times.AnswerDeadline+streamGracePeriod))
	b.cancel = cancel
	go b.runCall(ctx, req)
	return true
}

// toMicros converts d to whole microseconds. It limits d to the range from zero to one hour.
func toMicros(d time.Duration) uint32 { return uint32(max(0, min(d, time.Hour)).Microseconds()) }

// runCall makes the scatter call and records the end of every send of the batch.
func (b *delegatedBatch) runCall(ctx context.Context, req *wire.ScatterRequest) {
	defer b.cancel()
	err := b.exchange(ctx, req)
	unfinished := 0
	for i := range b.sends {
		if !b.sends[i].ended {
			unfinished++
		}
	}
	b.mu.Lock()
	released := b.released
	b.mu.Unlock()
	if unfinished > 0 && err == nil {
		err = errors.New("forward: the daemon ended its answer early")
	}
	if released && !peer.NotSent(err) {
		b.run.e.cfg.Peers.ReportResult(b.addr, nil) // the call was cancelled by this daemon
	} else {
		b.run.e.cfg.Peers.ReportResult(b.addr, err)
	}
	if unfinished == 0 {
		return
	}
	if !released {
		delegatedCallsFailed.Inc(1)
		b.run.e.cfg.Log.Line("gather", "daemon near the leaves failed").Str("id", b.run.req.ID).Str("daemon", b.addr).
			Int("sends", int64(unfinished)).Bool("sent", !peer.NotSent(err)).Err(err).End()
	}
	fault := callFault(err)
	var ends []result
	for i := range b.sends {
		ends = b.endSend(ends, i, result{err: fault}, policy.Inconclusive)
	}
	b.deliver(ends)
}

// callFault returns the error of delegated sends whose call failed with err before their
// results arrived.
func callFault(err error) *contract.Error {
	if peer.NotSent(err) {
		return contract.Refuse(contract.ReasonOverload, err)
	}
	return &contract.Error{Verdict: contract.MayHaveRun, Reason: contract.ReasonTargetFailed, Cause: err}
}

// exchange opens the scatter call, sends the request and receives replies until the call ends.
func (b *delegatedBatch) exchange(ctx context.Context, req *wire.ScatterRequest) error {
	stream, err := b.run.e.cfg.Peers.OpenScatter(ctx, b.addr)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }() // the stream or its connection has already ended
	if !b.attachStream(stream) {
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
func (b *delegatedBatch) attachStream(stream wire.DRPCGather_ScatterClient) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.released {
		return false
	}
	b.stream = stream
	return true
}

// release tells the daemon that its results are no longer needed. It closes the stream
// instead of cancelling its context, since cancelling would also close the connection. An empty
// message before the end of the stream says that the caller has left or this process shuts down:
// the daemon then gives its sends no extra time.
func (b *delegatedBatch) release(leaving bool) {
	b.mu.Lock()
	already := b.released
	b.released = true
	stream := b.stream
	b.mu.Unlock()
	if already {
		return
	}
	if stream == nil {
		b.cancel() // nothing has been sent yet
		return
	}
	go func() { // a failure shows when the stream ends
		if leaving {
			_ = stream.Send(&wire.ScatterRequest{})
		}
		_ = stream.CloseSend()
	}()
}

// mayHaveSent reports whether the daemon may have received the request. It is to be called
// after release.
func (b *delegatedBatch) mayHaveSent() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stream != nil
}

// receive handles one reply of the daemon.
func (b *delegatedBatch) receive(reply *wire.ScatterReply) {
	set := &partSet{records: reply.Records, previous: b.latest}
	b.latest = set
	ends := make([]result, 0, len(reply.Ends))
	for _, e := range reply.Ends {
		if int(e.Send) >= len(b.sends) {
			continue // not a send of this batch
		}
		outcome, leafReply, fault := b.decodeEnd(e)
		res := result{reply: leafReply, err: fault, took: time.Duration(e.TookUs) * time.Microsecond, set: set}
		ends = b.endSend(ends, int(e.Send), res, outcome)
	}
	b.deliver(ends)
}

// deliver passes results that arrived together to the run as one result.
func (b *delegatedBatch) deliver(ends []result) {
	if len(ends) > 0 {
		combined := ends[0]
		combined.together = ends[1:]
		b.run.deliver(combined)
	}
}

// decodeEnd decodes the result of a delegated send.
func (b *delegatedBatch) decodeEnd(e *wire.PartEnd) (policy.Outcome, *target.Reply, *contract.Error) {
	if e.Status == 0 {
		fault := &contract.Error{Verdict: contract.Verdict(min(e.Verdict, uint32(contract.Ran))), Reason: contract.Reason(e.Reason), Cause: errors.New(e.Cause)}
		if e.Stale {
			fault.Cause = errors.Mark(fault.Cause, target.ErrStaleConn)
		}
		if e.Ended {
			fault.Cause = errors.Mark(fault.Cause, contract.ErrLeafExited)
		}
		return outcomeOfError(fault), nil, fault
	}
	reply := &target.Reply{Status: int(e.Status), Signature: e.Stamp, Refused: e.Refused, HasLoad: e.HasLoad}
	if e.HasLoad {
		reply.Load = policy.Load{Running: int(e.Running), Waiting: int(e.Waiting), Slots: int(e.Slots), Slowdown: float64(e.Pace)}
	}
	return outcomeOfReply(reply), reply, nil
}

// endSend records the result of send i and appends it to ends, unless the send has already
// ended.
func (b *delegatedBatch) endSend(ends []result, i int, res result, outcome policy.Outcome) []result {
	s := &b.sends[i]
	if s.ended {
		return ends
	}
	s.ended = true
	r := b.run
	r.e.recordSend(sendOutcome{leaf: s.leaf, began: s.began, took: res.took, outcome: outcome, reply: res.reply, fault: res.err, pace: &r.stats.pace, delegated: true})
	res.shard, res.call, res.leaf = s.shard, s.call, s.leaf
	return append(ends, res)
}

// isSilent reports whether no reply has arrived although daemonSilenceTimeout has passed since
// late, the time from which replies count as late.
func (b *delegatedBatch) isSilent(now, late time.Time) bool {
	return !b.replied && now.Sub(late) >= daemonSilenceTimeout
}
