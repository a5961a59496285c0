package scatter

import (
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
	"pearmoor/internal/vm"
)

const (
	borrowsAtATime = 2 // of one shard: its first attempt and a hedge
	borrowPause    = 2 * time.Millisecond
	maxAsked       = 64 // times in all that one shard asks other homes
	borrowBackoff  = 8  // longest pause, as a multiple of borrowPause
)

// lending keeps a home from asking others in vain: each refusal in a row lengthens
// the pause until it asks again. At overload nobody has a free permit, and every
// shard would cost a call that is refused.
type lending struct {
	notBefore atomic.Int64 // vm.Instant
	refusals  atomic.Int32 // in a row
}

func (l *lending) open(now vm.Instant) bool { return now >= vm.Instant(l.notBefore.Load()) }

func (l *lending) refused(now vm.Instant) {
	n := min(l.refusals.Add(1), borrowBackoff)
	l.notBefore.Store(int64(now.Add(time.Duration(n) * borrowPause)))
}

func (l *lending) granted() { l.refusals.Store(0) }

// borrow has another home send the shard with a free permit of its own and reports
// whether it was asked. The outcome arrives on s.results.
//
// Each home has only a part of a leaf's slots, often one, so that requests queue
// at one home while the other's slots are idle. Asked first, the homes together
// serve nearly as one pool.
func (s *shardRun) borrow(hedge bool) bool {
	if s.job.Lender == nil || s.asked >= maxAsked || !s.g.lending.open(s.g.clock()) {
		return false
	}
	base := s.attemptNumber()
	s.asked++
	id := s.attemptNumber()
	ctx := s.launch(id, notHere)
	avoid := s.triedAddrs()
	s.g.pending.Add(1)
	go func() {
		defer s.g.pending.Done()
		began := s.g.clock()
		hits, err := s.job.Lender.Lend(ctx, s.job, s.shard, base, avoid)
		d := attemptDone{attempt: attempt{id: id, hedge: hedge, borrowed: true}, hits: hits}
		if err != nil {
			d.err = attemptError(err)
		} else {
			s.g.latency.Observe(s.g.clock().Sub(began))
		}
		s.g.lending.note(d, s.g.clock())
		s.results <- d
	}()
	return true
}

func (s *shardRun) triedAddrs() []string {
	var addrs []string
	for i, h := range s.holders {
		if s.tried&(1<<i) != 0 {
			addrs = append(addrs, h.Addr)
		}
	}
	return addrs
}

func (l *lending) note(d attemptDone, now vm.Instant) {
	switch {
	case d.declined():
		l.refused(now)
	case d.err == nil:
		l.granted()
	}
}

// declined reports that another home had nothing free and sent nothing.
func (d *attemptDone) declined() bool {
	return d.borrowed && d.err != nil && d.err.Verdict == contract.NotRun
}

// declined goes on at this home after another had nothing free.
func (s *shardRun) declined(d attemptDone) (Shard, bool) {
	if d.hedge {
		s.extra.Add(-1)
		s.waitHedge()
		return s.goOn()
	}
	if len(s.flights) > 0 || s.hedges != nil {
		return Shard{}, false
	}
	if s.ctx.Err() != nil {
		return s.missing(contract.ReasonDeadline), true
	}
	ranked := s.g.rank(s.buf[:0], s.holders, s.tried, int(s.g.turn.Add(1)))
	if len(ranked) == 0 {
		return s.missing(contract.ReasonNoReplica), true
	}
	if err := s.queue(ranked); err != nil {
		return s.missing(err.Reason), true
	}
	return Shard{}, false
}

// errDeclined is the cause of a refusal to lend.
var errDeclined = errors.New("no permit is free")
