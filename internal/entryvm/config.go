package entryvm

import (
	"time"

	"pearmoor/internal/decision"
	"pearmoor/internal/discovery"
	"pearmoor/internal/link/target"
	"pearmoor/internal/policy"
)

// Config is what a VM's process needs.
type Config struct {
	Name       string
	Domain     string // failure domain
	Region     string
	PeerAddr   string // host:port for other daemons
	CallerAddr string // host:port that callers are told; empty: takes none
	Millicores uint32 // processor that the VM has, in thousandths of a core

	// Seeds are peer addresses of some daemons of the tier, the only ones known at
	// the start.
	Seeds []string
	// FirstStart is true when the whole tier starts for the first time.
	FirstStart bool
	DataDir    string // empty: no disk, no place in the control group
	DiskBytes  uint64 // of the whole disk
	Tolerated  int    // disks that may be lost at once

	Budget      policy.BudgetLimits
	DrainWithin time.Duration // a leaf that leaves goes on serving for so long
	Grace       time.Duration // between the request to stop and the kill
	CatchUp     time.Duration // a control VM that is back may take so long to catch up
	Lifetime    time.Duration // the longest that callers keep an address list
	ListRate    float64       // readings of one page of the leaf list per second, for the whole tier

	Source  discovery.Source
	Dialect *target.Dialect
	Log     *decision.Log
}

const (
	// listEvery is the part of DrainWithin between two readings of the list. A
	// reading, its spread and the end of a request that was just sent have to fit
	// the rest.
	listEvery = 0.36
	// aloneAfter is the part of DrainWithin after which a daemon without word of a
	// reading reads for itself.
	aloneAfter = 0.8
	// diskReserve is the part of the disk below which no change is taken, so that
	// votes and snapshots still fit.
	diskReserve = 8
	// auditShare is the part of the disk that the audit trail may take: on 64 MB, 8 MB
	// or some 40,000 changes, three weeks of 1,900 a day.
	auditShare = 8
	// silentAfter is how long a voter is silent, beyond the second after which it
	// counts as such, before the group lets it go if it may. A process that was
	// killed is back within that time.
	silentAfter = 1500 * time.Millisecond
	// controlTick is the tick of the control group. A leader that is lost is replaced
	// after 10 to 20 of them; it is heard every second one.
	controlTick = 50 * time.Millisecond
	// heartbeatEvery is the time between two heartbeats of a daemon, and quietAfter
	// how long it is silent before callers are not sent to it: two heartbeats and a
	// slow call. A VM that has lost power answers no connect, which costs each
	// caller that tries it a second.
	heartbeatEvery = 500 * time.Millisecond
	quietAfter     = 1400 * time.Millisecond
	// addressLifetime is how long callers are told to keep an address list. A short one
	// keeps them from a VM that leaves or is lost; a long one from asking for a new
	// list, which costs a second each time that a VM without power is asked first.
	addressLifetime = 4 * time.Second
	// substituteLifetime is the same of a list that names daemons in place of lost ones,
	// which are better as soon as they are back.
	substituteLifetime = time.Second
)
