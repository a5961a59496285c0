package sim

import (
	"math"
	"slices"
	"time"

	"pearmoor/internal/policy"
	"pearmoor/internal/vm"
)

// leaf runs as many requests at once as it has slots.
type leaf struct {
	w       *world
	shard   int
	domain  int
	speed   float64 // multiple of the usual work
	pauseAt time.Duration
	slow    []bool // by spell
	running int
	queue   []*send
}

// speedSpread is how far the leaves of a service differ, as the deviation of the
// logarithm of their speed.
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

// arrive takes a request that was sent.
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

// leave drops a request whose daemon has closed its connection.
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

// next ends a request and takes the one that waits longest.
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

// factor is how much slower the leaf is now.
func (l *leaf) factor() float64 {
	f := 1.0
	for i, s := range l.w.cfg.Spells {
		if at := l.w.passed(); l.slow[i] && at >= s.From && at < s.From+s.For {
			f *= s.Factor
		}
	}
	return f
}

// ends returns when work that begins now is done, pauses included.
func (l *leaf) ends(work time.Duration) vm.Instant {
	every, length := l.w.cfg.PauseEvery, l.w.cfg.PauseFor
	if every <= 0 {
		return l.w.now.Add(work)
	}
	at := l.w.passed()
	for {
		since := (at - l.pauseAt + every) % every // since the last pause began
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
