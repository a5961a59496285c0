package settings

import "time"

// Priority orders queries that wait for the same target.
type Priority uint8

// The priorities.
const (
	Ordinary Priority = iota
	Urgent
)

// Goal decides what a query gives up first when it can't have both.
type Goal uint8

// The goals.
const (
	Coverage Goal = iota // wait for stragglers until the deadline
	Tail                 // hedge earlier; give up on a straggler sooner
)

// SnapshotScope says what one index version has to hold for.
type SnapshotScope uint8

// The scopes.
const (
	Joint      SnapshotScope = iota // one version over all services of an answer
	PerService                      // one version for each service of an answer
)

// Leaf is one declared target of a query service.
type Leaf struct {
	Name   string
	Addr   string // host:port
	Domain string // failure domain
}

// Effective is the typed outcome of inheritance at one node.
type Effective struct {
	Path    string
	Leaves  []Leaf   // empty unless the node is a query service
	Drained []string // names of leaves the operator has put into drain

	LeafSlots       int           // requests a leaf runs at once, over all daemons
	LeafConnections int           // connections a leaf accepts, over all daemons
	ConnectCost     time.Duration // what a new connection to a leaf costs
	LeafTLS         bool
	Homes           int // daemons that may send to a leaf at once
	Priority        Priority
	Goal            Goal
	Snapshot        SnapshotScope
	DeadlineDefault time.Duration
	DeadlineMax     time.Duration
	HedgeAfter      time.Duration // 0: learned from the service's own latency
	HedgeBudget     float64       // hedges per primary attempt, 0..1
	RetryBudget     float64       // retries per primary attempt, 0..1
	EarlyCoverage   float64       // 0..1: an early answer is allowed from this coverage on; 0: never
	QueueLimit      int           // waiting attempts per leaf and home
	Ramp            time.Duration // slow start of a new or returning leaf
	ProbeInterval   time.Duration
	BodyLimit       int // bytes
	HitLimit        int // most hits in an answer; 0: no limit

	Route   RouteSettings
	Service ServiceSettings
	Caller  CallerLimits
	Release ReleaseSettings

	Quarantine QuarantineSettings
}

// Tier holds the settings that only the root may state.
type Tier struct {
	DaemonLease     time.Duration // how long a daemon may work without a confirmation
	AddressLifetime time.Duration // how long callers keep an address list
	ResendWindow    time.Duration // how long a key is remembered after its session ended
}
