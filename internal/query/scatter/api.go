package scatter

import (
	"context"
	"encoding/json"
	"time"

	"pearmoor/internal/admit"
	"pearmoor/internal/contract"
	"pearmoor/internal/settings"
)

// Sender performs one attempt at a leaf. It owns the permit from the call on and
// gives it back when the leaf is known to be done. It returns soon after ctx ends,
// fails with a *contract.Error, and lets no attempt outlive the permit's lease.
type Sender interface {
	Send(ctx context.Context, leaf settings.Leaf, req *contract.LeafRequest, permit *admit.Permit) (*contract.LeafReply, error)
}

// Budget bounds extra attempts by a share of the primary ones.
type Budget interface {
	Primary()
	Spend() bool
	Refund() // of an extra attempt that was not sent
}

// Lender asks another home of the same leaves to send one shard of a job with a
// permit that is free there. It fails with verdict NotRun and reason overload when
// there is none. avoid lists the replicas that have been tried.
type Lender interface {
	Lend(ctx context.Context, job *Job, shard, attemptBase uint32, avoid []string) ([]contract.Hit, error)
}

// Job is one request to every shard of one service at one index version.
type Job struct {
	ID          string // request ID, as the leaves see it
	AttemptBase uint32 // attempts count from here, apart from those of other homes
	Service     string
	Version     uint64
	Holders     [][]settings.Leaf // live replicas by shard; its length is the partition map's
	Only        []uint32          // shards wanted; empty means all
	Body        json.RawMessage
	Repeatable  bool
	Priority    settings.Priority
	Goal        settings.Goal
	HedgeAfter  time.Duration // 0: learned
	HedgeShare  float64       // hedge budget as a share of primaries; sets the learned quantile
	Order       uint64        // the same at every home; under overload the lowest is shed first
	Lender      Lender        // nil: there is no other home
	Canary      bool          // neither hedge nor retry
	Immediate   bool          // send only with permits that are free now; neither hedge nor retry
	Avoid       []string      // addresses of replicas that are not to be used
	EarlyAt     float64       // coverage from which an early answer is allowed; 0: never
}

// Shard is the outcome of one shard.
type Shard struct {
	Answered bool
	Hits     []contract.Hit
	Reason   contract.Reason  // when not answered
	Verdict  contract.Verdict // joined over all attempts
}

// Result is the outcome of a Job; Shards is indexed by shard.
type Result struct {
	Shards     []Shard
	Extra      int // hedges and retries sent
	Early      bool
	RetryAfter time.Duration // shortest of the refusals'; 0 if none said
	LeafEnds   int           // leaves that ended under the job
}

// Answered returns how many shards answered.
func (r *Result) Answered() int {
	n := 0
	for i := range r.Shards {
		if r.Shards[i].Answered {
			n++
		}
	}
	return n
}
