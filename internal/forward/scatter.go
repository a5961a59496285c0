package forward

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
	"pearmoor/internal/link/target"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/policy"
)

// GatherServer serves gather calls of other daemons: sends that they delegate (Scatter) and
// whole gathers that they hand over (Handover). It implements wire.DRPCGatherServer.
//
// Scatter makes each requested send once. The calling daemon decides on retries and hedges,
// since only it knows which parts are missing and what the budget allows.
type GatherServer struct{ e *Engine }

// GatherServer returns the server for gather calls of other daemons.
func (e *Engine) GatherServer() *GatherServer { return &GatherServer{e} }

// scatterCall is the state of one Scatter call.
type scatterCall struct {
	e           *Engine
	active      *activeTable
	req         *wire.ScatterRequest
	leafRequest target.Request
	usual       time.Duration
	calls       []*target.Call
	results     chan result // result.shard is the index in req.Sends
	finished    chan struct{}
	keyRefusal  *keyRefusal // nil if the caller's API key allows the sends
	answered    atomic.Bool // the calling daemon has answered without the results that are missing
	sentTop     topRecords  // the greatest records in the replies sent so far
}

var (
	errUnknownLeaf = errors.New("forward: the leaf is not known here, or leaves")
	errNoTable     = errors.New("forward: this daemon has no configuration")
)

// Scatter implements wire.DRPCGatherServer. Results that are available when the first parts
// are due are sent in one reply, later results as they arrive.
func (s *GatherServer) Scatter(stream wire.DRPCGather_ScatterStream) error {
	req, err := stream.Recv()
	if err != nil {
		return err
	}
	now := time.Now()
	active, confirmation := s.e.confirmedTable()
	sc := &scatterCall{
		e: s.e, active: active, req: req, usual: time.Duration(req.UsualUs) * time.Microsecond,
		results: make(chan result, len(req.Sends)), finished: make(chan struct{}), sentTop: topRecords{k: int(req.Top)},
		calls: make([]*target.Call, len(req.Sends)),
		leafRequest: target.Request{
			Dialect: s.e.cfg.Dialect, Method: req.Method, ID: req.Id, Head: req.Head, Body: req.Body,
			Deadline:   now.Add(time.Duration(req.LeftUs) * time.Microsecond),
			Idempotent: true, BodyLimit: maxPartBytes, FailOverLimit: true,
			ConnWait: policy.ConnWait(time.Duration(req.UsualUs) * time.Microsecond),
		},
	}
	if active != nil {
		var id identity
		id, sc.keyRefusal = s.e.checkPeer(active, confirmation, peerCall{id: req.Id, head: req.Head, digest: req.KeyDigest, organisation: req.Organisation})
		sc.leafRequest.Check = s.e.keyCheck(&id)
	}
	defer sc.abandonSends()
	peerLeft := make(chan struct{})
	go func() {
		// Recv returns when the calling daemon closes its side, sends a message because the
		// caller has left, or is gone.
		_, err := stream.Recv()
		sc.answered.Store(errors.Is(err, io.EOF))
		close(peerLeft)
	}()
	sc.launch()
	return sc.sendReplies(stream, peerLeft, now.Add(time.Duration(req.FirstUs)*time.Microsecond))
}

// launch starts the requested sends. A send that is not allowed here gets an error result.
func (sc *scatterCall) launch() {
	snap := sc.e.cfg.Leaves.Snapshot()
	quarantined := sc.isQuarantined()
	for i, part := range sc.req.Sends {
		call := &target.Call{}
		sc.calls[i] = call
		leaf, ok := snap.FindByFingerprint(part.Leaf)
		switch {
		case quarantined:
			sc.results <- result{shard: i, call: call, err: contract.Refuse(contract.ReasonQuarantined, errQuarantined)}
			continue
		case sc.active == nil:
			sc.results <- result{shard: i, call: call, err: contract.Refuse(contract.ReasonUnconfirmed, errNoTable)}
			continue
		case sc.keyRefusal != nil:
			sc.results <- result{shard: i, call: call, err: sc.keyRefusal.sendError()}
			continue
		case !ok || leaf.Draining:
			sc.results <- result{shard: i, call: call, err: contract.Refuse(contract.ReasonNoLiveTarget, errUnknownLeaf)}
			continue
		}
		if err := sc.e.checkSend(leaf); err != nil {
			sc.results <- result{shard: i, call: call, err: contract.Refuse(contract.ReasonNoLiveTarget, err)}
			continue
		}
		link := sc.e.link(sc.active, leaf)
		sc.e.sendPool.Run(sendTask{owner: sc, request: &sc.leafRequest, i: i, leaf: leaf, link: link, call: call})
	}
}

// deliver implements sendOwner.
func (sc *scatterCall) deliver(res result) {
	select {
	case sc.results <- res:
	case <-sc.finished:
	}
}

// paceStats implements sendOwner with the usual reply time stated by the calling daemon.
func (sc *scatterCall) paceStats() (time.Duration, *policy.LatencyEstimator) { return sc.usual, nil }

// abandonSends abandons the sends in flight: at once unless the calling daemon has answered.
func (sc *scatterCall) abandonSends() {
	close(sc.finished)
	leaving := !sc.answered.Load() || sc.e.isFinishing()
	for _, c := range sc.calls {
		if c != nil {
			abandon(c, sc.usual, leaving)
		}
	}
}

// sendReplies sends the results to the calling daemon until all sends have ended or the
// calling daemon closes the call. It sends nothing before firstDue, unless all sends have ended.
func (sc *scatterCall) sendReplies(stream wire.DRPCGather_ScatterStream, peerLeft <-chan struct{}, firstDue time.Time) error {
	timer := time.NewTimer(time.Until(firstDue))
	defer timer.Stop()
	var batch []result
	due := false
	for unfinished := len(sc.calls); unfinished > 0; {
		select {
		case res := <-sc.results:
			batch = append(batch, res)
			unfinished--
			batch, unfinished = sc.drainResults(batch, unfinished)
		case <-timer.C:
			due = true
		case <-peerLeft:
			return nil
		case <-stream.Context().Done():
			return nil
		case <-sc.e.finishing:
			return errors.New("forward: the daemon stops")
		}
		if len(batch) > 0 && (due || unfinished == 0) {
			if err := stream.Send(sc.buildReply(batch)); err != nil {
				return err
			}
			batch = batch[:0]
		}
	}
	return nil
}

// drainResults appends the results that are already available to batch.
func (sc *scatterCall) drainResults(batch []result, unfinished int) ([]result, int) {
	for {
		select {
		case res := <-sc.results:
			batch = append(batch, res)
			unfinished--
		default:
			return batch, unfinished
		}
	}
}

// buildReply returns the reply for a batch of results, with their parts merged.
func (sc *scatterCall) buildReply(batch []result) *wire.ScatterReply {
	out := &wire.ScatterReply{Ends: make([]*wire.PartEnd, 0, len(batch))}
	merged := topRecords{k: int(sc.req.Top)}
	for i := range batch {
		res := &batch[i]
		e := &wire.PartEnd{Send: uint32(res.shard), TookUs: toMicros(res.took)}
		if res.err != nil {
			e.Verdict, e.Reason = uint32(res.err.Verdict), string(res.err.Reason)
			if res.err.Cause != nil {
				e.Cause, e.Stale, e.Ended = res.err.Cause.Error(), isStaleConn(res.err), res.err.LeafExited()
			}
		} else {
			e.Status, e.Refused = uint32(res.reply.Status), res.reply.Refused
			if res.reply.HasLoad {
				l := res.reply.Load
				e.HasLoad, e.Running, e.Waiting, e.Slots, e.Pace = true, uint32(l.Running), uint32(l.Waiting), uint32(l.Slots), float32(l.Slowdown)
			}
			if isPart(res.reply) {
				e.Stamp = res.reply.Signature
				merged.add(res.reply.Body)
			}
		}
		out.Ends = append(out.Ends, e)
	}
	sc.sentTop.add(merged.bytes())
	out.Records = merged.withinTop(sc.sentTop).bytes()
	return out
}

// isPart reports whether the reply of a leaf is valid as a part of a merged answer.
func isPart(r *target.Reply) bool { return r.OK() && !r.Refused && r.Signature != "" }
