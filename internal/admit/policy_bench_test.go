package admit

import (
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

const (
	simService  = 10 * ms // mean of an exponential distribution
	simDeadline = 200 * ms
	simAging    = 100 * ms
	simLate     = 10 * ms // a refusal after a longer wait counts as late
	simLength   = 60 * time.Second
)

// simJob is one request of a simulated overload of one slot.
type simJob struct {
	at      vm.Instant
	pr      settings.Priority
	service time.Duration
	refused vm.Instant
	ended   vm.Instant
	waiter  *waiter
}

func (j *simJob) good() bool { return j.ended != 0 && j.ended <= j.at.Add(simDeadline) }

// generateSimJobs draws Poisson arrivals; the loads are multiples of the slot's capacity.
func simArrivals(urgent, ordinary float64) []*simJob {
	rnd := rand.New(rand.NewPCG(20, 26))
	var jobs []*simJob
	for pr, load := range []float64{settings.Ordinary: ordinary, settings.Urgent: urgent} {
		gap := float64(simService) / load
		for t := 0.0; t < float64(simLength); t += rnd.ExpFloat64() * gap {
			jobs = append(jobs, &simJob{
				at:      vm.Instant(time.Hour).Add(time.Duration(t)),
				pr:      settings.Priority(pr),
				service: time.Duration(rnd.ExpFloat64() * float64(simService)),
			})
		}
	}
	slices.SortFunc(jobs, func(a, b *simJob) int { return int(a.at - b.at) })
	return jobs
}

// simulateGate runs the jobs through a gate.
func simGate(jobs []*simJob) {
	w := newWorld()
	w.Configure(leafA, Limits{Slots: 1, Queue: 64})
	var waiting []*simJob
	var running *simJob
	var permit *Permit
	start := func(j *simJob, p *Permit) { running, permit = j, p; j.ended = w.now.Add(j.service) }
	settle := func() {
		waiting = slices.DeleteFunc(waiting, func(j *simJob) bool {
			r, ok := j.waiter.ended()
			switch {
			case !ok:
				return false
			case r.permit != nil:
				start(j, r.permit)
			default:
				j.refused = w.now
			}
			return true
		})
	}
	for next := 0; next < len(jobs) || running != nil || len(waiting) > 0; {
		at := w.now.Add(time.Millisecond)
		if next < len(jobs) {
			at = min(at, jobs[next].at)
		}
		if running != nil {
			at = min(at, running.ended)
		}
		w.advance(at.Sub(w.now))
		settle()
		if running != nil && running.ended <= w.now {
			running = nil
			permit.Done(Answered, 0)
			settle()
		}
		for ; next < len(jobs) && jobs[next].at <= w.now; next++ {
			j := jobs[next]
			p, x, _ := w.ask(simDeadline, j.pr)
			if p != nil {
				start(j, p)
				continue
			}
			j.waiter = x
			waiting = append(waiting, j)
			settle()
		}
	}
}

// simulateQueue runs the jobs through an unbounded queue that drops a job at its
// deadline and runs the job with the lowest rank first.
func simPlain(jobs []*simJob, order func(*simJob) vm.Instant) {
	var waiting []*simJob
	now, next := vm.Instant(0), 0
	for next < len(jobs) || len(waiting) > 0 {
		if len(waiting) == 0 {
			now = max(now, jobs[next].at)
		}
		for ; next < len(jobs) && jobs[next].at <= now; next++ {
			waiting = append(waiting, jobs[next])
		}
		waiting = slices.DeleteFunc(waiting, func(j *simJob) bool {
			late := now >= j.at.Add(simDeadline)
			if late {
				j.refused = j.at.Add(simDeadline)
			}
			return late
		})
		if len(waiting) == 0 {
			continue
		}
		j := slices.MinFunc(waiting, func(a, b *simJob) int { return int(order(a) - order(b)) })
		waiting = slices.DeleteFunc(waiting, func(o *simJob) bool { return o == j })
		now = now.Add(j.service)
		j.ended = now
	}
}

// BenchmarkPolicy compares the gate with plain queues at 0.6 times and twice the
// capacity of one slot. It reports the percentage of each class that ends in time
// and how long refused requests were held.
func BenchmarkPolicy(b *testing.B) {
	arrival := func(j *simJob) vm.Instant { return j.at }
	strict := func(j *simJob) vm.Instant { return j.at - vm.Instant(j.pr)<<50 }
	aging := func(j *simJob) vm.Instant { return j.at.Add(-time.Duration(j.pr) * simAging) }
	for _, load := range []struct {
		name             string
		urgent, ordinary float64
	}{{"urgent=0,ordinary=0.6", 0.001, 0.6}, {"urgent=0.6,ordinary=1.4", 0.6, 1.4}, {"urgent=1.4,ordinary=0.6", 1.4, 0.6}} {
		for _, policy := range []struct {
			name string
			run  func([]*simJob)
		}{
			{"arrival", func(js []*simJob) { simPlain(js, arrival) }},
			{"strict", func(js []*simJob) { simPlain(js, strict) }},
			{"aging", func(js []*simJob) { simPlain(js, aging) }},
			{"gate", simGate},
		} {
			b.Run(load.name+"/"+policy.name, func(b *testing.B) {
				for b.Loop() {
					jobs := simArrivals(load.urgent, load.ordinary)
					policy.run(jobs)
					reportPolicy(b, jobs)
				}
			})
		}
	}
}

func reportPolicy(b *testing.B, jobs []*simJob) {
	var all, good [2]float64
	var held []time.Duration
	for _, j := range jobs {
		all[j.pr]++
		if j.good() {
			good[j.pr]++
		}
		if j.refused != 0 {
			held = append(held, j.refused.Sub(j.at))
		}
	}
	slices.Sort(held)
	capacity := float64(simLength / simService)
	b.ReportMetric(100*good[settings.Urgent]/all[settings.Urgent], "urgent-good-%")
	b.ReportMetric(100*good[settings.Ordinary]/all[settings.Ordinary], "ordinary-good-%")
	b.ReportMetric(100*(good[0]+good[1])/capacity, "goodput-%")
	if len(held) > 0 {
		late := len(held) - sort.Search(len(held), func(i int) bool { return held[i] > simLate })
		b.ReportMetric(100*float64(late)/float64(len(held)), "refused-late-%")
		b.ReportMetric(float64(held[len(held)/2])/float64(ms), "refused-p50-ms")
		b.ReportMetric(float64(held[len(held)*99/100])/float64(ms), "refused-p99-ms")
	}
}
