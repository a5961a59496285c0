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
	sim         *simulation
	shard       int
	domain      int
	workFactor  float64       // multiplies the time of each request
	pauseOffset time.Duration // time of the first pause
	inSlowdown  []bool        // by index of Config.Slowdowns
	running     int
	queue       []*leafRequest
}

// workFactorSigma is the standard deviation of the logarithm of the leaves' work factors.
const workFactorSigma = 0.15

func newLeaf(sim *simulation, shard, domain int) *leaf {
	l := &leaf{sim: sim, shard: shard, domain: domain, workFactor: math.Exp(workFactorSigma * sim.rng.NormFloat64())}
	if sim.cfg.PauseInterval > 0 {
		l.pauseOffset = time.Duration(sim.rng.Int64N(int64(sim.cfg.PauseInterval)))
	}
	for _, slowdown := range sim.cfg.Slowdowns {
		l.inSlowdown = append(l.inSlowdown, shard < int(math.Round(slowdown.ShardShare*float64(sim.cfg.Shards))))
	}
	return l
}

// receive runs, queues or rejects a request that has reached the leaf.
func (l *leaf) receive(req *leafRequest) {
	switch {
	case req.connClosed:
	case l.running < l.sim.cfg.Slots:
		l.startRequest(req)
	case len(l.queue) < l.sim.cfg.QueueSize:
		req.state = queued
		l.queue = append(l.queue, req)
	default:
		l.reply(req, true)
	}
}

func (l *leaf) startRequest(req *leafRequest) {
	l.running++
	req.state = running
	work := l.sim.rng.ExpFloat64() * float64(req.g.route.Work) * l.workFactor * l.slowdownFactor()
	l.sim.after(l.completionTime(time.Duration(work)).Sub(l.sim.now), func() {
		if req.state == running && !req.connClosed {
			l.reply(req, false)
			l.finishRequest(req)
		}
	})
}

// cancelRequest drops a request whose connection the daemon has closed.
func (l *leaf) cancelRequest(req *leafRequest) {
	req.connClosed = true
	switch req.state {
	case queued:
		l.queue = slices.DeleteFunc(l.queue, func(other *leafRequest) bool { return other == req })
	case running:
		l.finishRequest(req)
	}
	req.state = finished
}

// finishRequest frees the slot of a request and starts the one that has waited longest.
func (l *leaf) finishRequest(req *leafRequest) {
	req.state = finished
	l.running--
	if len(l.queue) > 0 {
		first := l.queue[0]
		l.queue = l.queue[1:]
		l.startRequest(first)
	}
}

func (l *leaf) reply(req *leafRequest, rejected bool) {
	load := policy.Load{Running: l.running, Waiting: len(l.queue), Slots: l.sim.cfg.Slots}
	l.sim.after(req.networkDelay, func() { req.g.d.handleReply(req, rejected, &load) })
}

// slowdownFactor returns the product of the factors of the slowdowns that affect the leaf now.
func (l *leaf) slowdownFactor() float64 {
	f := 1.0
	for i, s := range l.sim.cfg.Slowdowns {
		if elapsed := l.sim.elapsed(); l.inSlowdown[i] && elapsed >= s.Start && elapsed < s.Start+s.Duration {
			f *= s.Factor
		}
	}
	return f
}

// completionTime returns when work that starts now will be done, including pauses.
func (l *leaf) completionTime(work time.Duration) vm.Instant {
	interval, length := l.sim.cfg.PauseInterval, l.sim.cfg.PauseDuration
	if interval <= 0 {
		return l.sim.now.Add(work)
	}
	elapsed := l.sim.elapsed()
	for {
		since := (elapsed - l.pauseOffset + interval) % interval // since the start of the last pause
		if since < length {
			elapsed += length - since
			since = length
		}
		if left := interval - since; work > left {
			elapsed, work = elapsed+left, work-left
			continue
		}
		return vm.Instant(1).Add(elapsed + work)
	}
}
