package sim

import (
	"math"
	"slices"
	"time"

	"pearmoor/internal/policy"
	"pearmoor/internal/vm"
)

// leaf simulates one leaf, which runs as many requests at once as it has slots.
type leaf struct {
	w       *world
	shard   int
	domain  int
	speed   float64 // multiplies the time of each request
	pauseAt time.Duration
	slow    []bool // by index of Config.Slowdowns
	running int
	queue   []*send
}

// workFactorSigma is the standard deviation of the logarithm of the leaves' work factors.
const speedSpread = 0.15

func newLeaf(w *world, shard, domain int) *leaf {
	l := &leaf{w: w, shard: shard, domain: domain, speed: math.Exp(speedSpread * w.rng.NormFloat64())}
	if w.cfg.PauseEvery > 0 {
		l.pauseAt = time.Duration(w.rng.Int64N(int64(w.cfg.PauseEvery)))
	}
	for _, s := range w.cfg.Spells {
		l.slow = append(l.slow, shard < int(math.Round(s.Shards*float64(w.cfg.Shards))))
	}
	return l
}

// receive runs, queues or rejects a request that has reached the leaf.
func (l *leaf) arrive(s *send) {
	switch {
	case s.left:
	case l.running < l.w.cfg.Slots:
		l.run(s)
	case len(l.queue) < l.w.cfg.Queue:
		s.state = queued
		l.queue = append(l.queue, s)
	default:
		l.reply(s, true)
	}
}

func (l *leaf) run(s *send) {
	l.running++
	s.state = running
	work := l.w.rng.ExpFloat64() * float64(s.g.route.Work) * l.speed * l.factor()
	l.w.after(l.ends(time.Duration(work)).Sub(l.w.now), func() {
		if s.state == running && !s.left {
			l.reply(s, false)
			l.next(s)
		}
	})
}

// cancelRequest drops a request whose connection the daemon has closed.
func (l *leaf) leave(s *send) {
	s.left = true
	switch s.state {
	case queued:
		l.queue = slices.DeleteFunc(l.queue, func(x *send) bool { return x == s })
	case running:
		l.next(s)
	}
	s.state = over
}

// finishRequest frees the slot of a request and starts the one that has waited longest.
func (l *leaf) next(s *send) {
	s.state = over
	l.running--
	if len(l.queue) > 0 {
		first := l.queue[0]
		l.queue = l.queue[1:]
		l.run(first)
	}
}

func (l *leaf) reply(s *send, refused bool) {
	load := policy.Load{Running: l.running, Waiting: len(l.queue), Slots: l.w.cfg.Slots}
	l.w.after(s.hop, func() { s.g.d.replied(s, refused, &load) })
}

// slowdownFactor returns the product of the factors of the slowdowns that affect the leaf now.
func (l *leaf) factor() float64 {
	f := 1.0
	for i, s := range l.w.cfg.Spells {
		if at := l.w.passed(); l.slow[i] && at >= s.From && at < s.From+s.For {
			f *= s.Factor
		}
	}
	return f
}

// completionTime returns when work that starts now will be done, including pauses.
func (l *leaf) ends(work time.Duration) vm.Instant {
	every, length := l.w.cfg.PauseEvery, l.w.cfg.PauseFor
	if every <= 0 {
		return l.w.now.Add(work)
	}
	at := l.w.passed()
	for {
		since := (at - l.pauseAt + every) % every // since the start of the last pause
		if since < length {
			at += length - since
			since = length
		}
		if left := every - since; work > left {
			at, work = at+left, work-left
			continue
		}
		return vm.Instant(1).Add(at + work)
	}
}
