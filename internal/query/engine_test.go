package query

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"pearmoor/internal/contract"
)

func sendQuery(tier *testTier, daemon, key string) (*contract.Answer, error) {
	return tier.engine(daemon).Query(context.Background(), key, &contract.Request{Path: "/desk", Body: body(key)})
}

// Every answer has full coverage and one index version while the leaves change versions. Each
// leaf drops the old version as it loads the new one, so that until its next poll a home
// still lists a version that a leaf has dropped, and entries pin versions that homes no
// longer have.
func TestFullCoverageDuringRollingIndexUpdate(t *testing.T) {
	for _, interval := range []time.Duration{7 * time.Millisecond, 111 * time.Millisecond, 411 * time.Millisecond} {
		if err := queryDuringRollout(t, interval); err != nil {
			t.Fatalf("one query every %v: %v", interval, err)
		}
	}
}

func queryDuringRollout(t *testing.T, interval time.Duration) error {
	return runInTier(t, 1, "", func(tier *testTier) error {
		done := make(chan struct{})
		tier.goroutines.Go(func() {
			defer close(done)
			for v := uint64(2); v <= 12 && tier.ctx.Err() == nil; v++ {
				for l := range 2 {
					for s := range testServices {
						tier.setVersion(fmt.Sprintf("127.0.0.1:%d", 1000+10*s+l), v)
						time.Sleep(37 * time.Millisecond)
					}
					time.Sleep(pollInterval + pollInterval/4)
				}
			}
		})
		for i := 0; ; i++ {
			select {
			case <-done:
				return nil
			default:
			}
			a, err := sendQuery(tier, []string{"a", "b", "c"}[i%3], fmt.Sprint("q", i))
			if err != nil {
				return errors.Wrapf(err, "query %d", i)
			}
			if err := checkAnswer(a, true); err != nil {
				return errors.Wrapf(err, "query %d", i)
			}
			if len(a.Coverage.Missing) > 0 {
				return errors.Newf("query %d at versions %v has missing shards %v", i, a.IndexVersions, a.Coverage.Missing)
			}
			time.Sleep(interval)
		}
	})
}

func (tier *testTier) setVersion(addr string, version uint64) {
	tier.mu.Lock()
	defer tier.mu.Unlock()
	tier.leaves[addr].versions = map[uint64]uint32{version: shardsAt(version)}
}

// Answers keep full coverage right after one leaf of each shard goes down. Connections to it
// fail before anything is sent, so the other leaf of the shard may be asked without using the
// retry budget.
func TestFullCoverageAfterReplicaLoss(t *testing.T) {
	err := runInTier(t, 2, "", func(tier *testTier) error {
		for s := range testServices {
			tier.leaves[fmt.Sprintf("127.0.0.1:%d", 1000+10*s)].down = true
		}
		for i := range 60 {
			a, err := sendQuery(tier, "a", fmt.Sprint("q", i))
			if err != nil {
				return err
			}
			if len(a.Coverage.Missing) > 0 {
				return errors.Newf("query %d has missing shards %v", i, a.Coverage.Missing)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// Connections to the homes of some shards are not established before the deadline. These
// shards must be reported as not run, because nothing was sent.
func TestUnreachableHomesReportNotRun(t *testing.T) {
	err := runInTier(t, 2, "", func(tier *testTier) error {
		tier.daemons["b"].unreachable.Store(true)
		tier.daemons["c"].unreachable.Store(true)
		a, err := sendQuery(tier, "a", "q")
		if err != nil {
			return err
		}
		if len(a.Coverage.Missing) == 0 {
			return errors.New("no shard is missing, want those of the unreachable homes")
		}
		for _, m := range a.Coverage.Missing {
			if m.Verdict != contract.NotRun {
				return errors.Newf("shard %d of %s is missing with reason %s and verdict %v, want not run", m.Shard, m.Service, m.Reason, m.Verdict)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// A daemon whose lease has expired refuses queries with verdict not_run and a Retry-After,
// and sends nothing to leaves.
func TestExpiredLeaseRefusesQueries(t *testing.T) {
	err := runInTier(t, 3, "", func(tier *testTier) error {
		lapsed := *tier.view.Load()
		lapsed.LeaseEnd = fakeClock()
		tier.view.Store(&lapsed)
		_, err := sendQuery(tier, "a", "q")
		var e *contract.Error
		if !errors.As(err, &e) || e.Verdict != contract.NotRun || e.Reason != contract.ReasonUnconfirmed || e.RetryAfter <= 0 {
			return errors.Newf("got %v, want unconfirmed, not run, with a Retry-After", err)
		}
		if total, _ := tier.runCounts("q"); total != 0 {
			return errors.Newf("query ran %d times, want 0", total)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// A planned stop does not interrupt queries: Drain refuses new ones with not_run and returns
// only when the last query in flight has ended.
func TestDrainWaitsForQueriesInFlight(t *testing.T) {
	Convey("Given queries in flight", t, func() {
		err := runInTier(t, 4, "", func(tier *testTier) error {
			e := tier.engine("a")
			results := make(chan error, 20)
			for i := range cap(results) {
				go func() {
					a, err := sendQuery(tier, "a", fmt.Sprint("q", i))
					if err == nil && len(a.Coverage.Missing) > 0 {
						err = errors.Newf("answer has missing shards %v", a.Coverage.Missing)
					}
					results <- err
				}()
			}
			time.Sleep(time.Millisecond)
			if err := e.Drain(context.Background()); err != nil {
				return err
			}
			if n := e.InFlight(); n != 0 {
				return errors.Newf("%d queries in flight after Drain, want 0", n)
			}
			for range cap(results) {
				if err := <-results; err != nil {
					return err
				}
			}
			_, err := sendQuery(tier, "a", "late")
			if contract.VerdictOf(err) != contract.NotRun {
				return errors.Newf("late query, sent after Drain, got %v, want not run", err)
			}
			return nil
		})
		So(err, ShouldBeNil)
	})
}
