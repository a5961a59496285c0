package scatter

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pearmoor/internal/contract"
	"pearmoor/internal/settings"
)

// A replica that answers for another version or another request must not contribute hits:
// they would mix versions or disclose another caller's data. The reply is discarded and the
// other replica is tried.
func TestWrongReplyIsRetriedElsewhere(t *testing.T) {
	for _, wrong := range []leafAction{wrongVersion, wrongRequest} {
		inBubble(t, func() {
			Convey("Given a replica that sends wrong replies", t, func() {
				r := newFixture(func(leaf string, _ *contract.LeafRequest) behavior {
					if leaf == "a" {
						return behavior{action: wrong, delay: time.Millisecond}
					}
					return behavior{delay: time.Millisecond}
				}, []string{"a", "b"})
				res := r.run(testJob(2, leavesOf("a", "b")), time.Second)
				r.waitIdle()
				So(res.Answered(), ShouldEqual, 2)
				for s, sh := range res.Shards {
					So(sh.Hits, ShouldResemble, []contract.Hit{{ID: hitID(&contract.LeafRequest{ID: "q", Shard: uint32(s), IndexVersion: 7})}})
				}
			})
		})
	}
}

// Every replica that runs the query crashes. Retries must not crash the other replicas too.
func TestCrashingQueryIsNotRetriedAtEveryReplica(t *testing.T) {
	inBubble(t, func() {
		Convey("Given a query that crashes each leaf", t, func() {
			r := newFixture(func(string, *contract.LeafRequest) behavior {
				return behavior{action: crash, delay: time.Millisecond}
			}, []string{"a", "b", "c", "d", "e", "f", "g", "h"})
			job := testJob(4, leavesOf("a", "b"))
			for i, pair := range [][]string{{"a", "b"}, {"c", "d"}, {"e", "f"}, {"g", "h"}} {
				job.Replicas[i] = leavesOf(pair...)
			}
			res := r.run(job, time.Second)
			r.waitIdle()
			So(res.Answered(), ShouldEqual, 0)
			So(res.LeafExits, ShouldBeLessThanOrEqualTo, 5)
		})
	})
}

// A replica crashes before any shard has answered. Its shard must still be answered by the
// other replica.
func TestShardOfCrashedLeafIsRetriedAfterAnotherLeafAnswers(t *testing.T) {
	inBubble(t, func() {
		Convey("Given one leaf that exits, and others that answer later", t, func() {
			r := newFixture(func(leaf string, _ *contract.LeafRequest) behavior {
				if leaf == "a" {
					return behavior{action: crash, delay: time.Millisecond}
				}
				return behavior{delay: 20 * time.Millisecond}
			}, []string{"a", "b", "c", "d"})
			job := testJob(2, leavesOf("c", "d"))
			job.Replicas[0] = leavesOf("a", "b")
			res := r.run(job, time.Second)
			r.waitIdle()
			So(res.Answered(), ShouldEqual, 2)
		})
	})
}

// A replica runs a request that is not repeatable and loses the connection before the reply.
// Trying the free other replica would run the request twice, so the verdict must be
// may_have_run.
func TestNotRepeatableIsNotResentIfItMayHaveRun(t *testing.T) {
	for _, a := range []leafAction{resetConnection, hang, wrongVersion, wrongRequest} {
		inBubble(t, func() {
			Convey("Given a replica that runs and does not answer", t, func() {
				r := newFixture(func(string, *contract.LeafRequest) behavior {
					return behavior{action: a, delay: time.Millisecond}
				}, []string{"a", "b"})
				job := testJob(1, leavesOf("a", "b"))
				job.Repeatable = false
				res := r.run(job, time.Second)
				r.waitIdle()
				So(res.Shards[0].Answered, ShouldBeFalse)
				So(res.Shards[0].Verdict, ShouldEqual, contract.MayHaveRun)
				So(r.leaves.runs[0], ShouldEqual, 1)
			})
		})
	}
}

// The first replica refused a request that is not repeatable before running it, or was never
// reached. Sending it to the other replica runs it once, so the shard must be answered.
func TestNotRepeatableIsResentAfterNotRun(t *testing.T) {
	for _, a := range []leafAction{refuse, declineShard, refuseConnection} {
		inBubble(t, func() {
			Convey("Given a replica that does not run the request", t, func() {
				first := ""
				r := newFixture(func(leaf string, _ *contract.LeafRequest) behavior {
					if first == "" {
						first = leaf
					}
					if leaf == first {
						return behavior{action: a, delay: time.Millisecond}
					}
					return behavior{delay: time.Millisecond}
				}, []string{"a", "b"})
				job := testJob(1, leavesOf("a", "b"))
				job.Repeatable = false
				res := r.run(job, time.Second)
				r.waitIdle()
				So(res.Shards[0].Answered, ShouldBeTrue)
				So(r.leaves.runs[0], ShouldEqual, 1)
			})
		})
	}
}

// When every replica of every shard has refused and the goal is the tail, nothing more will
// be tried. The verdict not_run must be returned at once, not near the deadline.
func TestRefusalByAllReplicasReturnsAtOnce(t *testing.T) {
	inBubble(t, func() {
		Convey("Given replicas that all refuse", t, func() {
			r := newFixture(func(string, *contract.LeafRequest) behavior {
				return behavior{action: refuse, delay: time.Millisecond}
			}, []string{"a", "b"})
			job := testJob(3, leavesOf("a", "b"))
			job.Goal = settings.Tail
			began := time.Now()
			res := r.run(job, 10*time.Second)
			So(time.Since(began), ShouldBeLessThan, time.Second)
			r.waitIdle()
			for _, s := range res.Shards {
				So(s.Verdict, ShouldEqual, contract.NotRun)
				So(s.Answered, ShouldBeFalse)
			}
			So(r.leaves.runs, ShouldBeEmpty)
		})
	})
}

// One replica hangs. The straggler must be hedged to the other replica after the threshold;
// otherwise the caller would wait for the deadline and miss the shard.
func TestStragglerIsHedged(t *testing.T) {
	inBubble(t, func() {
		Convey("Given a replica that hangs", t, func() {
			r := newFixture(func(leaf string, _ *contract.LeafRequest) behavior {
				if leaf == "a" {
					return behavior{action: hang}
				}
				return behavior{delay: 2 * time.Millisecond}
			}, []string{"a", "b"})
			job := testJob(1, leavesOf("a", "b"))
			job.HedgeAfter = 10 * time.Millisecond
			for range 2 { // one of two queries uses the hanging replica first
				began := time.Now()
				res := r.run(job, time.Second)
				So(res.Answered(), ShouldEqual, 1)
				So(time.Since(began), ShouldBeLessThanOrEqualTo, 15*time.Millisecond)
			}
			r.waitIdle()
		})
	})
}

// The replicas of one of four shards hang, and an early answer is allowed. The answer must
// have coverage 3 of 4 and the early flag well before the deadline, and the missing shard
// must have the reason early and the verdict may_have_run.
func TestEarlyAnswerMarksMissingShards(t *testing.T) {
	inBubble(t, func() {
		Convey("Given one shard whose replicas hang", t, func() {
			r := newFixture(func(_ string, req *contract.LeafRequest) behavior {
				if req.Shard == 2 {
					return behavior{action: hang}
				}
				return behavior{delay: time.Millisecond}
			}, []string{"a", "b", "c", "d"})
			job := testJob(4, leavesOf("a", "b", "c", "d"))
			job.EarlyCoverage = 0.75
			began := time.Now()
			res := r.run(job, 8*time.Second)
			So(time.Since(began), ShouldBeLessThan, 8*time.Second)
			r.waitIdle()
			So(res.Early, ShouldBeTrue)
			So(res.Answered(), ShouldEqual, 3)
			So(res.Shards[2].Reason, ShouldEqual, contract.ReasonEarlyAnswer)
			So(res.Shards[2].Verdict, ShouldEqual, contract.MayHaveRun)
		})
	})
}

// Both slots of one replica are occupied by requests that hang. Attempts in its queue must
// move to the other replica as soon as that is free. They do not count as extra attempts,
// because nothing was sent.
func TestQueuedAttemptMovesToFreeReplica(t *testing.T) {
	inBubble(t, func() {
		Convey("Given a replica whose slots are all occupied", t, func() {
			r := newFixture(func(leaf string, _ *contract.LeafRequest) behavior {
				return behavior{delay: 3 * time.Millisecond}
			}, []string{"a", "b"})
			for range testSlots {
				_, ok := r.gates.TryAcquire(addrOf("a"))
				So(ok, ShouldBeTrue)
			}
			job := testJob(8, leavesOf("a", "b"))
			job.Repeatable = false
			job.HedgeAfter = 5 * time.Millisecond
			res := r.run(job, 5*time.Second)
			r.waitIdle()
			So(res.Answered(), ShouldEqual, 8)
			So(res.ExtraSends, ShouldEqual, 0)
			So(r.leaves.sent, ShouldEqual, 8)
		})
	})
}
