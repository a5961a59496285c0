package scatter

import (
	"context"
	"encoding/json"
	"time"

	"pearmoor/internal/admit"
	"pearmoor/internal/contract"
	"pearmoor/internal/settings"
)

// Sender performs one attempt at a leaf. It owns the permit from the call on and returns it
// when the leaf is known to have finished. Send returns soon after ctx ends, fails only with
// a *contract.Error, and never lets an attempt outlive the permit's lease.
type Sender interface {
	Send(ctx context.Context, leaf settings.Leaf, req *contract.LeafRequest, permit *admit.Permit) (*contract.LeafReply, error)
}

// Budget limits extra attempts to a share of the primary ones.
type Budget interface {
	Primary()    // counts a primary attempt
	Spend() bool // takes one extra attempt; false: the budget is used up
	Refund()     // returns an extra attempt that was not sent
}

// Lender asks another home of the same leaves to send the request of one shard with a permit
// that is free there. Without such a permit Lend fails with verdict NotRun and reason
// overload. avoid lists the addresses of replicas that have been tried.
type Lender interface {
	Lend(ctx context.Context, job *Job, shard, attemptBase uint32, avoid []string) ([]contract.Hit, error)
}

// Job is one request to every shard of one service at one index version.
type Job struct {
	ID            string // request ID in the requests to leaves
	AttemptBase   uint32 // first attempt number; keeps attempts of different homes distinct
	Service       string
	Version       uint64
	Replicas      [][]settings.Leaf // live replicas by shard, for all shards of the partition map
	OnlyShards    []uint32          // shards to query; empty: all
	Body          json.RawMessage
	Repeatable    bool
	Priority      settings.Priority
	Goal          settings.Goal
	HedgeAfter    time.Duration // delay of a hedge; 0: learned
	HedgeShare    float64       // hedge budget as a share of primary attempts; determines the learned hedge delay
	ShedOrder     uint64        // shed order, equal at every home: under overload the lowest is shed first
	Lender        Lender        // nil: there is no other home
	Canary        bool          // neither hedge nor retry
	Immediate     bool          // send only with permits that are free now; neither hedge nor retry
	AvoidAddrs    []string      // addresses of replicas that must not be used
	EarlyCoverage float64       // coverage from which an early answer is allowed; 0: never
}

// ShardResult is the outcome of one shard.
type ShardResult struct {
	Answered bool
	Hits     []contract.Hit
	Reason   contract.Reason  // why the shard is missing; empty if answered
	Verdict  contract.Verdict // joined over all attempts
}

// Result is the outcome of a Job. Shards is indexed by shard.
type Result struct {
	Shards     []ShardResult
	ExtraSends int           // hedges and retries sent
	Early      bool          // answered before the deadline with shards missing
	RetryAfter time.Duration // shortest Retry-After of the refusals; 0: none stated
	LeafExits  int           // leaves that exited during the job
}

// Answered returns the number of shards that answered.
func (r *Result) Answered() int {
	n := 0
	for i := range r.Shards {
		if r.Shards[i].Answered {
			n++
		}
	}
	return n
}
