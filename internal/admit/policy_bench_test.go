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
	simServiceTime = 10 * ms // mean of an exponential distribution
	simDeadline    = 200 * ms
	simAgingCredit = 100 * ms
	simLateRefusal = 10 * ms // a refusal after a longer wait counts as late
	simDuration    = 60 * time.Second
)

// simJob is one request in the simulation of an overloaded leaf with one slot.
type simJob struct {
	arrival  vm.Instant
	priority settings.Priority
	service  time.Duration
	refused  vm.Instant
	ended    vm.Instant
	waiter   *waiter
}

func (j *simJob) endedInTime() bool { return j.ended != 0 && j.ended <= j.arrival.Add(simDeadline) }

// generateSimJobs draws Poisson arrivals; the loads are multiples of the slot's capacity.
func generateSimJobs(urgent, ordinary float64) []*simJob {
	rnd := rand.New(rand.NewPCG(20, 26))
	var jobs []*simJob
	for priority, load := range []float64{settings.Ordinary: ordinary, settings.Urgent: urgent} {
		gap := float64(simServiceTime) / load
		for t := 0.0; t < float64(simDuration); t += rnd.ExpFloat64() * gap {
			jobs = append(jobs, &simJob{
				arrival:  vm.Instant(time.Hour).Add(time.Duration(t)),
				priority: settings.Priority(priority),
				service:  time.Duration(rnd.ExpFloat64() * float64(simServiceTime)),
			})
		}
	}
	slices.SortFunc(jobs, func(a, b *simJob) int { return int(a.arrival - b.arrival) })
	return jobs
}

// simulateGate runs the jobs through a gate.
func simulateGate(jobs []*simJob) {
	w := newTestGates()
	w.Configure(leafA, Limits{Slots: 1, MaxQueue: 64})
	var waiting []*simJob
	var running *simJob
	var permit *Permit
	start := func(j *simJob, p *Permit) { running, permit = j, p; j.ended = w.now.Add(j.service) }
	collectEnded := func() {
		waiting = slices.DeleteFunc(waiting, func(j *simJob) bool {
			r, ok := j.waiter.outcome()
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
			at = min(at, jobs[next].arrival)
		}
		if running != nil {
			at = min(at, running.ended)
		}
		w.advance(at.Sub(w.now))
		collectEnded()
		if running != nil && running.ended <= w.now {
			running = nil
			permit.Done(Answered, 0)
			collectEnded()
		}
		for ; next < len(jobs) && jobs[next].arrival <= w.now; next++ {
			j := jobs[next]
			p, x, _ := w.request(simDeadline, j.priority)
			if p != nil {
				start(j, p)
				continue
			}
			j.waiter = x
			waiting = append(waiting, j)
			collectEnded()
		}
	}
}

// simulateQueue runs the jobs through an unbounded queue that drops a job at its
// deadline and runs the job with the lowest rank first.
func simulateQueue(jobs []*simJob, rank func(*simJob) vm.Instant) {
	var waiting []*simJob
	now, next := vm.Instant(0), 0
	for next < len(jobs) || len(waiting) > 0 {
		if len(waiting) == 0 {
			now = max(now, jobs[next].arrival)
		}
		for ; next < len(jobs) && jobs[next].arrival <= now; next++ {
			waiting = append(waiting, jobs[next])
		}
		waiting = slices.DeleteFunc(waiting, func(j *simJob) bool {
			late := now >= j.arrival.Add(simDeadline)
			if late {
				j.refused = j.arrival.Add(simDeadline)
			}
			return late
		})
		if len(waiting) == 0 {
			continue
		}
		j := slices.MinFunc(waiting, func(a, b *simJob) int { return int(rank(a) - rank(b)) })
		waiting = slices.DeleteFunc(waiting, func(o *simJob) bool { return o == j })
		now = now.Add(j.service)
		j.ended = now
	}
}

// BenchmarkPolicy compares the gate with plain queues at 0.6 times and twice the
// capacity of one slot. It reports the percentage of each class that ends in time
// and how long refused requests were held.
func BenchmarkPolicy(b *testing.B) {
	arrival := func(j *simJob) vm.Instant { return j.arrival }
	strict := func(j *simJob) vm.Instant { return j.arrival - vm.Instant(j.priority)<<50 }
	aging := func(j *simJob) vm.Instant { return j.arrival.Add(-time.Duration(j.priority) * simAgingCredit) }
	for _, load := range []struct {
		name             string
		urgent, ordinary float64
	}{{"urgent=0,ordinary=0.6", 0.001, 0.6}, {"urgent=0.6,ordinary=1.4", 0.6, 1.4}, {"urgent=1.4,ordinary=0.6", 1.4, 0.6}} {
		for _, policy := range []struct {
			name string
			run  func([]*simJob)
		}{
			{"arrival", func(js []*simJob) { simulateQueue(js, arrival) }},
			{"strict", func(js []*simJob) { simulateQueue(js, strict) }},
			{"aging", func(js []*simJob) { simulateQueue(js, aging) }},
			{"gate", simulateGate},
		} {
			b.Run(load.name+"/"+policy.name, func(b *testing.B) {
				for b.Loop() {
					jobs := generateSimJobs(load.urgent, load.ordinary)
					policy.run(jobs)
					reportSimMetrics(b, jobs)
				}
			})
		}
	}
}

func reportSimMetrics(b *testing.B, jobs []*simJob) {
	var total, inTime [2]float64
	var held []time.Duration
	for _, j := range jobs {
		total[j.priority]++
		if j.endedInTime() {
			inTime[j.priority]++
		}
		if j.refused != 0 {
			held = append(held, j.refused.Sub(j.arrival))
		}
	}
	slices.Sort(held)
	capacity := float64(simDuration / simServiceTime)
	b.ReportMetric(100*inTime[settings.Urgent]/total[settings.Urgent], "urgent-good-%")
	b.ReportMetric(100*inTime[settings.Ordinary]/total[settings.Ordinary], "ordinary-good-%")
	b.ReportMetric(100*(inTime[0]+inTime[1])/capacity, "goodput-%")
	if len(held) > 0 {
		late := len(held) - sort.Search(len(held), func(i int) bool { return held[i] > simLateRefusal })
		b.ReportMetric(100*float64(late)/float64(len(held)), "refused-late-%")
		b.ReportMetric(float64(held[len(held)/2])/float64(ms), "refused-p50-ms")
		b.ReportMetric(float64(held[len(held)*99/100])/float64(ms), "refused-p99-ms")
	}
}
