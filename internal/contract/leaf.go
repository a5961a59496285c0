package contract

import "encoding/json"

// Paths of the HTTP API of a target. A target that rejects a request before running it
// answers 429 or 503 (with Retry-After, in seconds), or 409 if it does not have the shard
// at the requested index version, each with a LeafRefusal as its body. After any other failure,
// and after a refusal that does not name the request, the request may have run.
const (
	LeafQueryPath  = "/v1/leaf/query"  // POST LeafRequest, replies LeafReply
	LeafStatusPath = "/v1/leaf/status" // GET, replies LeafStatus
)

// LeafRequest is a query to a target for one shard at one index version.
type LeafRequest struct {
	ID           string          `json:"id"`      // request id, unique over all daemons and restarts
	Attempt      uint32          `json:"attempt"` // number of the attempt for this request and shard
	Service      string          `json:"service"`
	Shard        uint32          `json:"shard"`
	IndexVersion uint64          `json:"index_version"`
	DeadlineMS   int64           `json:"deadline_ms"` // milliseconds left at the time of sending
	Repeatable   bool            `json:"repeatable"`
	Body         json.RawMessage `json:"body"`
}

// LeafReply contains the hits of the shard. It repeats the identifying fields of the
// request, so that a late or misdirected reply is detected.
type LeafReply struct {
	ID           string `json:"id"`
	Attempt      uint32 `json:"attempt"`
	Service      string `json:"service"`
	Shard        uint32 `json:"shard"`
	IndexVersion uint64 `json:"index_version"`
	Hits         []Hit  `json:"hits"`
}

// Matches reports whether r is the reply to q.
func (r *LeafReply) Matches(q *LeafRequest) bool {
	return r.ID == q.ID && r.Attempt == q.Attempt && r.Service == q.Service &&
		r.Shard == q.Shard && r.IndexVersion == q.IndexVersion
}

// LeafRefusal is the body of a target's refusal. It repeats the identifying fields of the request
// that was not run: by its status alone a late copy would pass for the reply to another attempt.
type LeafRefusal struct {
	ID           string `json:"id"`
	Attempt      uint32 `json:"attempt"`
	Service      string `json:"service"`
	Shard        uint32 `json:"shard"`
	IndexVersion uint64 `json:"index_version"`
	Message      string `json:"message,omitempty"`
}

// Refusal returns the refusal of q.
func (q *LeafRequest) Refusal(message string) *LeafRefusal {
	return &LeafRefusal{
		ID: q.ID, Attempt: q.Attempt, Service: q.Service, Shard: q.Shard, IndexVersion: q.IndexVersion, Message: message,
	}
}

// Matches reports whether r is the refusal of q.
func (r *LeafRefusal) Matches(q *LeafRequest) bool {
	reply := LeafReply{ID: r.ID, Attempt: r.Attempt, Service: r.Service, Shard: r.Shard, IndexVersion: r.IndexVersion}
	return reply.Matches(q)
}

// LeafState is the lifecycle state that a target reports.
type LeafState string

// States of a target.
const (
	LeafStarting LeafState = "starting" // cold: answers slowly, accepts few requests
	LeafServing  LeafState = "serving"
	LeafDraining LeafState = "draining" // finishes its requests, accepts no new ones
)

// LeafStatus is a target's report of its health, load and indexes. It may be outdated or
// wrong.
type LeafStatus struct {
	Name     string      `json:"name"`
	State    LeafState   `json:"state"`
	InFlight int         `json:"in_flight"`
	Slots    int         `json:"slots"`
	Indexes  []LeafIndex `json:"indexes"`
}

// LeafIndex is an index version of a service on a target. Shards is the size of the
// version's partition map, HeldShards lists the shards that the target has.
type LeafIndex struct {
	Service    string   `json:"service"`
	Version    uint64   `json:"version"`
	Shards     uint32   `json:"shards"`
	HeldShards []uint32 `json:"held"`
}

// PlatformVM is an entry of the platform's VM list (GET /v1/vms), which may be outdated.
type PlatformVM struct {
	Name    string `json:"name"`
	Addr    string `json:"addr"`
	Domain  string `json:"domain"`
	Leaving bool   `json:"leaving"`
}

// PlatformVMsPath is the path of the platform's VM list.
const PlatformVMsPath = "/v1/vms"
