package contract

import "encoding/json"

// The published HTTP interface of a target. A target refuses before running
// with 429 or 503 (and Retry-After, in seconds), and with 409 when it does not
// hold the shard at that index version; every other failure leaves it open
// whether the request ran.
const (
	LeafQueryPath  = "/v1/leaf/query"  // POST LeafRequest, replies LeafReply
	LeafStatusPath = "/v1/leaf/status" // GET, replies LeafStatus
)

// LeafRequest asks a target for one shard at one index version.
type LeafRequest struct {
	ID           string          `json:"id"`      // request, unique over daemons and time
	Attempt      uint32          `json:"attempt"` // counts attempts of the request and shard
	Service      string          `json:"service"`
	Shard        uint32          `json:"shard"`
	IndexVersion uint64          `json:"index_version"`
	DeadlineMS   int64           `json:"deadline_ms"` // milliseconds left when sent
	Repeatable   bool            `json:"repeatable"`
	Body         json.RawMessage `json:"body"`
}

// LeafReply echoes the request's identity, so that a late or crossed reply is
// recognised, and carries the shard's hits.
type LeafReply struct {
	ID           string `json:"id"`
	Attempt      uint32 `json:"attempt"`
	Service      string `json:"service"`
	Shard        uint32 `json:"shard"`
	IndexVersion uint64 `json:"index_version"`
	Hits         []Hit  `json:"hits"`
}

// Matches reports whether r replies to exactly q.
func (r *LeafReply) Matches(q *LeafRequest) bool {
	return r.ID == q.ID && r.Attempt == q.Attempt && r.Service == q.Service &&
		r.Shard == q.Shard && r.IndexVersion == q.IndexVersion
}

// LeafState is a target's own word on its lifecycle.
type LeafState string

// The states a target reports.
const (
	LeafStarting LeafState = "starting" // cold: answers slowly, takes little work
	LeafServing  LeafState = "serving"
	LeafDraining LeafState = "draining" // finishes what it has, takes no new work
)

// LeafStatus is a target's health, load and index report. It may lag or mislead.
type LeafStatus struct {
	Name     string      `json:"name"`
	State    LeafState   `json:"state"`
	InFlight int         `json:"in_flight"`
	Slots    int         `json:"slots"`
	Indexes  []LeafIndex `json:"indexes"`
}

// LeafIndex is one index version a target holds for a service: Shards is the
// size of that version's partition map, Held the shards present here.
type LeafIndex struct {
	Service string   `json:"service"`
	Version uint64   `json:"version"`
	Shards  uint32   `json:"shards"`
	Held    []uint32 `json:"held"`
}

// PlatformVM is one row of the platform's VM list (GET /v1/vms), which lags.
type PlatformVM struct {
	Name    string `json:"name"`
	Addr    string `json:"addr"`
	Domain  string `json:"domain"`
	Leaving bool   `json:"leaving"`
}

// PlatformVMsPath is where the platform publishes its VM list.
const PlatformVMsPath = "/v1/vms"
