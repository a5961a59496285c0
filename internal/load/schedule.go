package load

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/vm"
)

// Arrivals is the arrival process of a schedule.
type Arrivals string

// Arrival processes.
const (
	Poisson  Arrivals = "poisson"  // exponential gaps, as from many independent callers
	Constant Arrivals = "constant" // equal gaps
)

// Schedule generates the scheduled starts of requests as offsets from the start of the run.
// It is determined by its parameters.
type Schedule struct {
	arrivals Arrivals
	gap      float64 // mean, in nanoseconds
	end      time.Duration
	random   *rand.Rand
	at       float64
}

// NewSchedule returns a schedule of rate requests per second for the duration d.
func NewSchedule(a Arrivals, rate float64, d time.Duration, seed uint64) (*Schedule, error) {
	if a != Poisson && a != Constant {
		return nil, errors.Newf("arrivals %q are unknown; use %s or %s", a, Poisson, Constant)
	}
	if !(rate > 0) || math.IsInf(rate, 1) {
		return nil, errors.Newf("rate %v is not above 0", rate)
	}
	return &Schedule{
		arrivals: a,
		gap:      float64(time.Second) / rate,
		end:      d,
		random:   rand.New(rand.NewPCG(seed, seed)),
	}, nil
}

// Next returns the next start, and false after the end of the schedule.
func (s *Schedule) Next() (time.Duration, bool) {
	gap := s.gap
	if s.arrivals == Poisson {
		gap *= s.random.ExpFloat64()
	}
	s.at += gap
	at := time.Duration(s.at)
	return at, at < s.end
}

// Drive calls do at every scheduled start, each in its own goroutine, and returns when all
// calls have returned. The schedule never waits for do. While limit calls are in flight
// (0: no limit), Drive calls skip instead of do. No further calls start after ctx ends.
func Drive(ctx context.Context, s *Schedule, limit int, do func(n int, intended time.Time), skip func(n int, intended time.Time)) {
	var wg sync.WaitGroup
	defer wg.Wait()
	inFlight := make(chan struct{}, max(limit, 1))
	start := time.Now()
	for n := 0; ; n++ {
		at, ok := s.Next()
		if !ok {
			return
		}
		intended := start.Add(at)
		if !sleepUntil(ctx, intended) {
			return
		}
		if limit > 0 {
			select {
			case inFlight <- struct{}{}:
			default:
				skip(n, intended)
				continue
			}
		}
		wg.Go(func() {
			do(n, intended)
			if limit > 0 {
				<-inFlight
			}
		})
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	return vm.Sleep(ctx, time.Until(at))
}
