package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"pearmoor/internal/contract"
	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/wire"
)

const (
	// acceptTimeout is how long a daemon may take to accept a gather before it is also
	// offered to another one. At most maxOffers daemons get an offer.
	acceptTimeout = 25 * time.Millisecond
	maxOffers     = 3
	// handoverSilenceTimeout is how long after the time for an answer a daemon that has begun a
	// gather may send no reply before the gather counts as lost.
	handoverSilenceTimeout = 100 * time.Millisecond
)

var (
	handoversAnswered     = metrics.GetOrRegisterCounter("forward.handovers.answered", metrics.DefaultRegistry)
	handoversLost         = metrics.GetOrRegisterCounter("forward.handovers.lost", metrics.DefaultRegistry)
	handoversUnaccepted   = metrics.GetOrRegisterCounter("forward.handovers.untaken", metrics.DefaultRegistry)
	handoverAcceptLatency = metrics.GetOrRegisterHistogram("forward.handovers.accept_us", metrics.DefaultRegistry, metrics.NewExpDecaySample(512, 0.015))

	errDeclined       = errors.New("forward: handover declined: the daemon has another configuration or is stopping")
	errHandoverSilent = errors.New("forward: the daemon that accepted the handover does not answer")
)

// handover is the attempt to hand a gather over to a daemon with enough CPU for it.
//
// A daemon first accepts an offer and starts only when it is told to begin. Until then the
// gather can be withdrawn and has not run. After that it is not offered to any other daemon:
// a daemon that does not answer may only be slow, and two daemons would send to more leaves of
// a shard than the route allows.
type handover struct {
	run           *run
	req           *wire.HandoverRequest
	events        chan offerEvent
	offers        []*offer
	pendingOffers int           // offers without a reply yet
	acceptedOffer *offer        // the offer whose daemon is told to begin
	done          chan struct{} // closed when handOver returns
}

// offer is the handover call to one daemon.
type offer struct {
	handover *handover
	addr     string
	begin    chan struct{}
	cancel   context.CancelFunc
}

// offerEvent is a reply to an offer, or the error that ended its call.
type offerEvent struct {
	from   *offer
	answer *Answer // nil if the daemon accepts the offer or is still working
	err    error
}

// handOver lets another daemon answer a gather for which this one has too little CPU. handed
// is false if this daemon has to answer: no daemon has accepted, or the one that has does not
// allow the caller's API key any more and has not run the gather.
func (r *run) handOver(ctx context.Context) (a *Answer, handed bool) {
	if r.e.cfg.Peers == nil || r.req.HandedOver || r.hasLongBody() || !r.entry.IsGather() {
		return nil, false
	}
	h := &handover{run: r, events: make(chan offerEvent, maxOffers), done: make(chan struct{})}
	if !h.offerNext() {
		return nil, false
	}
	defer close(h.done)
	if h.acceptedOffer = h.awaitAcceptance(ctx); h.acceptedOffer == nil {
		r.hedgeAt = time.Now().Add(r.times.HedgeAfter)
		return nil, ctx.Err() != nil
	}
	r.handoverBegun = true
	handoverAcceptLatency.Update(time.Since(r.req.Arrived).Microseconds())
	a = h.awaitAnswer(ctx)
	if r.isKeyRefusal(a) {
		h.logEvent("handover refused", h.acceptedOffer, a.Cause)
		r.hedgeAt = time.Now().Add(r.times.HedgeAfter)
		return nil, false
	}
	return a, true
}

// offerNext offers the gather to one more daemon. It returns false if there is none.
func (h *handover) offerNext() bool {
	if len(h.offers) >= maxOffers {
		return false
	}
	var asked []string
	for _, o := range h.offers {
		asked = append(asked, o.addr)
	}
	r := h.run
	addr := r.e.cfg.Peers.HandoverAddr(asked, r.entry.Regions)
	if addr == "" {
		return false
	}
	if h.req == nil {
		h.req = &wire.HandoverRequest{
			Id: r.req.ID, Method: r.req.Method, Head: r.leafRequest.Head, Body: r.req.Body, Caller: r.req.Caller,
			WaitUs: toMicros(r.req.Wait), SpentUs: toMicros(time.Since(r.req.Arrived) + interDomainDelay), Release: r.active.table.Number,
			Evacuations: r.e.evacuations.Load().revision,
			KeyDigest:   r.req.identity.wireDigest(), Organisation: r.req.identity.name(),
		}
	}
	ctx, cancel := context.WithDeadline(context.Background(), r.afterArrival(r.times.AnswerDeadline+streamGracePeriod))
	o := &offer{handover: h, addr: addr, begin: make(chan struct{}, 1), cancel: cancel}
	h.offers = append(h.offers, o)
	h.pendingOffers++
	go o.call(ctx)
	return true
}

// awaitAcceptance returns the first offer that is accepted. It returns nil if none is
// accepted in time, the caller leaves or the process shuts down.
func (h *handover) awaitAcceptance(ctx context.Context) *offer {
	timer := time.NewTimer(acceptTimeout)
	defer timer.Stop()
	for h.pendingOffers > 0 {
		select {
		case ev := <-h.events:
			if ev.err == nil {
				return ev.from
			}
			h.pendingOffers--
			h.logEvent("handover not accepted", ev.from, ev.err)
			h.offerNext()
		case <-timer.C:
			h.run.e.cfg.Peers.ReportOverdue(h.offers[len(h.offers)-1].addr)
			if !h.offerNext() {
				h.logEvent("handover not accepted in time", nil, nil)
				handoversUnaccepted.Inc(1)
				return nil
			}
			timer.Reset(acceptTimeout)
		case <-h.run.e.finishing:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
	handoversUnaccepted.Inc(1)
	return nil
}

// awaitAnswer tells the daemon that has accepted to begin and returns its answer, nil if the
// caller leaves.
func (h *handover) awaitAnswer(ctx context.Context) *Answer {
	r := h.run
	h.acceptedOffer.begin <- struct{}{}
	silenceTimer := time.NewTimer(max(time.Until(r.afterArrival(r.times.PartialAfter)), 0) + handoverSilenceTimeout)
	defer silenceTimer.Stop()
	for {
		select {
		case ev := <-h.events:
			switch {
			case ev.from != h.acceptedOffer:
			case ev.err != nil:
				return h.lostAnswer(ev.err, contract.ReasonTargetFailed)
			case ev.answer != nil:
				handoversAnswered.Inc(1)
				h.logEvent("handed over", h.acceptedOffer, nil)
				return ev.answer
			default:
				silenceTimer.Reset(time.Until(r.afterArrival(r.times.AnswerDeadline + streamGracePeriod)))
			}
		case <-silenceTimer.C:
			r.e.cfg.Peers.ReportOverdue(h.acceptedOffer.addr)
			return h.lostAnswer(errHandoverSilent, contract.ReasonDeadline)
		case <-r.e.finishing:
			return h.lostAnswer(nil, contract.ReasonDraining)
		case <-ctx.Done():
			r.logCallerLeft(ctx)
			return nil
		}
	}
}

// lostAnswer returns the answer to a gather that another daemon has begun and does not answer.
func (h *handover) lostAnswer(err error, reason contract.Reason) *Answer {
	handoversLost.Inc(1)
	h.logEvent("handover lost", h.acceptedOffer, err)
	status := http.StatusBadGateway
	if reason == contract.ReasonDeadline {
		status = http.StatusGatewayTimeout
	}
	return &Answer{Status: status, Verdict: contract.MayHaveRun, Reason: reason, Cause: err, HandedOver: true}
}

func (h *handover) logEvent(event string, o *offer, err error) {
	r := h.run
	l := r.e.cfg.Log.Line("gather", event).Str("id", r.req.ID).Str("route", r.entry.Name).Int("asked", int64(len(h.offers))).
		Ms("after", time.Since(r.req.Arrived)).Ms("answer_by", r.times.PartialAfter).Int("release", int64(r.active.table.Number))
	if o != nil {
		l = l.Str("daemon", o.addr)
	}
	l.Err(err).End()
}

// call makes the handover call and reports its outcome.
func (o *offer) call(ctx context.Context) {
	defer o.cancel()
	err := o.exchange(ctx)
	reported := err
	if errors.Is(err, errDeclined) || o.handover.isDone() && !peer.NotSent(err) {
		reported = nil
	}
	o.handover.run.e.cfg.Peers.ReportResult(o.addr, reported)
	if err != nil {
		o.notify(offerEvent{from: o, err: err})
	}
}

// notify sends an event to the handover, unless it is done.
func (o *offer) notify(ev offerEvent) {
	select {
	case o.handover.events <- ev:
	case <-o.handover.done:
	}
}

// isDone reports whether handOver has returned.
func (h *handover) isDone() bool {
	select {
	case <-h.done:
		return true
	default:
		return false
	}
}

// exchange makes the offer, waits for begin and passes the replies to the handover.
func (o *offer) exchange(ctx context.Context) error {
	stream, err := o.handover.run.e.cfg.Peers.OpenHandover(ctx, o.addr)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }() // the stream or its connection has already ended
	if err := stream.Send(o.handover.req); err != nil {
		return err
	}
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-o.handover.done:
			_ = stream.CloseSend() // a failure shows when the stream ends
		case <-ended:
		}
	}()
	reply, err := stream.Recv()
	switch {
	case err != nil:
		return err
	case reply.Declined:
		return errDeclined
	}
	o.notify(offerEvent{from: o})
	select {
	case <-o.begin:
	case <-o.handover.done:
		return nil
	}
	if err := stream.Send(&wire.HandoverRequest{}); err != nil {
		return err
	}
	for {
		reply, err := stream.Recv()
		if err != nil {
			return err
		}
		ev := offerEvent{from: o, answer: decodeAnswer(reply)}
		o.notify(ev)
		if ev.answer != nil {
			return nil
		}
	}
}

// decodeAnswer returns the answer in a reply, nil if the reply has none yet.
func decodeAnswer(reply *wire.HandoverReply) *Answer {
	if reply.Status == 0 {
		return nil
	}
	a := &Answer{
		Status: int(reply.Status), Body: reply.Body, Parts: reply.Parts, Missing: int(reply.Missing),
		Merged: reply.Status == http.StatusOK, HandedOver: true, RetryAfter: time.Duration(reply.RetryAfterUs) * time.Microsecond,
		Verdict: contract.Verdict(min(reply.Verdict, uint32(contract.Ran))), Reason: contract.Reason(reply.Reason),
	}
	if reply.Cause != "" {
		a.Cause = errors.New(reply.Cause)
	}
	return a
}

// encodeAnswer is the inverse of decodeAnswer.
func encodeAnswer(a *Answer) *wire.HandoverReply {
	out := &wire.HandoverReply{
		Status: uint32(a.Status), Body: a.Body, Parts: a.Parts, Missing: uint32(a.Missing),
		RetryAfterUs: toMicros(a.RetryAfter), Verdict: uint32(a.Verdict), Reason: string(a.Reason),
	}
	if a.Cause != nil {
		out.Cause = a.Cause.Error()
	}
	return out
}

// Handover implements wire.DRPCGatherServer.
func (s *GatherServer) Handover(stream wire.DRPCGather_HandoverStream) error {
	in, err := stream.Recv()
	if err != nil {
		return err
	}
	r := s.e.newHandedOverRun(in)
	if r == nil {
		return stream.Send(&wire.HandoverReply{Declined: true})
	}
	if err := stream.Send(&wire.HandoverReply{}); err != nil {
		return err
	}
	if _, err := stream.Recv(); err != nil {
		return nil // the offer was withdrawn
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	go func() {
		_, _ = stream.Recv() // returns when the calling daemon closes its side or is gone
		cancel()
	}()
	answer := make(chan *Answer, 1)
	go func() { answer <- s.e.recoverPanic(r.req.ID, func() *Answer { return r.checkAndExecute(ctx) }) }()
	late := time.NewTimer(time.Until(r.afterArrival(r.times.PartialAfter)))
	defer late.Stop()
	for {
		select {
		case a := <-answer:
			if a == nil {
				return nil // the caller has left
			}
			return stream.Send(encodeAnswer(a))
		case <-late.C:
			if err := stream.Send(&wire.HandoverReply{}); err != nil {
				return err
			}
		}
	}
}

// newHandedOverRun returns a run for a gather that another daemon hands over. It returns nil
// to decline if this daemon shuts down and may end before the answer, has another configuration,
// since the gather must be executed according to the configuration that it was routed by, does not
// know an evacuation that the other daemon knows, or does not allow the caller's API key.
func (e *Engine) newHandedOverRun(in *wire.HandoverRequest) *run {
	active, confirmation := e.confirmedTable()
	if active == nil || active.table.Number != in.Release || e.evacuations.Load().revision < in.Evacuations || e.isFinishing() {
		return nil
	}
	uri, host := parseHead(in.Head)
	entry, ok := active.table.Find(host, pathOf(uri))
	if !ok || !entry.IsGather() {
		return nil
	}
	id, refusal := e.checkPeer(active, confirmation, peerCall{id: in.Id, head: in.Head, digest: in.KeyDigest, organisation: in.Organisation})
	if refusal != nil {
		return nil
	}
	r := e.newRun(active, entry, &Request{
		ID: in.Id, Method: in.Method, URI: uri, Path: pathOf(uri), Host: host, Caller: in.Caller, Body: in.Body,
		Arrived: time.Now().Add(-time.Duration(in.SpentUs) * time.Microsecond), Wait: time.Duration(in.WaitUs) * time.Microsecond,
		Head: in.Head, HandedOver: true, identity: id,
	})
	if r.checkShutdown() != nil {
		return nil
	}
	return r
}
