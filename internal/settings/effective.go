package settings

import "time"

// Priority determines the order in which queries waiting for the same target are
// admitted.
type Priority uint8

// The priorities.
const (
	Ordinary Priority = iota
	Urgent
)

// Goal determines whether a query favours coverage or tail latency when it cannot
// achieve both.
type Goal uint8

// The goals.
const (
	Coverage Goal = iota // wait for slow leaves until the deadline
	Tail                 // hedge earlier and give up on slow leaves sooner
)

// SnapshotScope determines which parts of an answer must come from one index version.
type SnapshotScope uint8

// The scopes.
const (
	Joint      SnapshotScope = iota // one version for all query services of an answer
	PerService                      // one version for each query service of an answer
)

// Leaf is a target declared by a query service.
type Leaf struct {
	Name   string
	Addr   string // host:port
	Domain string // failure domain
}

// Effective holds the typed values in effect at one node: those set at the node, those
// inherited from its ancestors, and the defaults.
type Effective struct {
	Path    string
	Leaves  []Leaf   // empty unless the node is a query service
	Drained []string // names of leaves that the operator is draining

	LeafSlots       int           // maximum concurrent requests of a leaf, over all daemons
	LeafConnections int           // maximum connections of a leaf, over all daemons
	ConnectCost     time.Duration // time to open a connection to a leaf
	LeafTLS         bool
	Homes           int // number of daemons that share a leaf's slots and may send to it
	Priority        Priority
	Goal            Goal
	Snapshot        SnapshotScope
	DeadlineDefault time.Duration
	DeadlineMax     time.Duration
	HedgeAfter      time.Duration // 0: derived from the latency of the query service
	HedgeBudget     float64       // hedges per primary attempt, 0..1
	RetryBudget     float64       // retries per primary attempt, 0..1
	EarlyCoverage   float64       // 0..1: minimum coverage of an answer given before the deadline; 0: no early answers
	QueueLimit      int           // maximum waiting attempts per leaf at one home
	Ramp            time.Duration // slow-start period of a new or returning leaf
	ProbeInterval   time.Duration
	BodyLimit       int // bytes
	HitLimit        int // maximum hits in an answer; 0: no limit

	Route   RouteSettings
	Service ServiceSettings
	Caller  CallerLimits
	Release ReleaseSettings

	Quarantine QuarantineSettings
	Evacuation EvacuationSettings

	Organisation *OrganisationSettings // shared by all nodes without settings of an organisation
}

// Tier holds the settings that may be set only at the root and apply to all daemons.
type Tier struct {
	DaemonLease     time.Duration // how long a daemon accepts new work without a confirmation from the control group
	AddressLifetime time.Duration // how long callers cache an address list
	ResendWindow    time.Duration // how long the outcome of a non-repeatable request is kept after its session ended
}
