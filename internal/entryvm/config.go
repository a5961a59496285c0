package entryvm

import (
	"time"

	"pearmoor/internal/decision"
	"pearmoor/internal/discovery"
	"pearmoor/internal/journal"
	"pearmoor/internal/link/target"
	"pearmoor/internal/policy"
)

// Config configures a VM.
type Config struct {
	Name       string
	Domain     string // failure domain
	Region     string
	PeerAddr   string // host:port for other daemons
	CallerAddr string // host:port for callers; empty: accepts no callers
	// DomainRegions maps the failure domains of the tier to their regions, as far as known.
	DomainRegions map[string]string
	Millicores    uint32 // CPU of the VM, in thousandths of a core
	MemoryBytes   int64  // memory of the VM; 0: not known
	Descriptors   int    // limit on open files of the process; 0: not known

	// Seeds are the peer addresses of some daemons of the tier. They are the only other
	// daemons known at startup.
	Seeds []string
	// FirstStart is true when the whole tier starts for the first time.
	FirstStart   bool
	DataDir      string     // empty: no disk, never a member of the control group
	FS           journal.FS // file system of DataDir; nil: that of the operating system
	DiskBytes    uint64     // capacity of the disk
	MaxLostDisks int        // number of disks that may fail at the same time

	Budget          policy.BudgetLimits
	LeafDrainTime   time.Duration // how long a leaf keeps serving after it has been marked for removal
	GracePeriod     time.Duration // between the request to stop and the kill of the process
	ConfigApplyTime time.Duration // within which an accepted configuration must be in use everywhere
	OrderResendTime time.Duration // for which operators send an order again that was not acknowledged
	MaxListLifetime time.Duration // upper bound of the lifetime of an address list at callers
	ListPageRate    float64       // page reads of the leaf list per second, for the whole tier

	// RevokeTime is the time after which an API key that was taken away must be dead on every
	// daemon, in touch with the control group or not; 0: only on those in touch.
	RevokeTime time.Duration
	Quota      policy.QuotaLimits // how exactly the quotas of organisations are kept

	Source  discovery.Source
	Dialect *target.Dialect
	Log     *decision.Log
}

const (
	// listReadFraction is the fraction of LeafDrainTime between two reads of the leaf
	// list. A read, its distribution to all daemons and the end of a request sent just
	// before must fit in the rest.
	listReadFraction = 0.36
	// fallbackFraction is the fraction of LeafDrainTime after which a daemon that has
	// received no leaf list reads the list itself.
	fallbackFraction = 0.8
	// diskReserveDivisor defines the free space, as capacity divided by it, below which
	// the control group accepts no change, so that votes and snapshots can still be
	// written.
	diskReserveDivisor = 8
	// auditDivisor defines the space for the audit trail, as capacity divided by it. On 64
	// MB that is 8 MB or about 40,000 changes, three weeks at 1,900 changes a day.
	auditDivisor = 8
	// removeVoterAfter is how long a voter may stay silent, beyond the second after which
	// it counts as silent, before the group removes it where it has enough voters left. A
	// killed process restarts within that time.
	removeVoterAfter = 1500 * time.Millisecond
	// controlTick is the tick of the control group. A lost leader is replaced after 10 to
	// 20 ticks, and the leader sends a heartbeat every second tick.
	controlTick = 50 * time.Millisecond
	// heartbeatInterval is the time between two heartbeats of a daemon, and
	// unresponsiveAfter how long a daemon may be silent before callers are no longer sent
	// to it: two heartbeats and a slow call. A VM without power does not answer connects,
	// which costs each caller that tries it a second.
	heartbeatInterval = 500 * time.Millisecond
	unresponsiveAfter = 1400 * time.Millisecond
	// addressListLifetime is how long callers may keep an address list. With a short
	// lifetime callers soon stop using a VM that stops or is lost. With a long one they
	// request a new list less often, which costs a second each time a VM without power is
	// asked first.
	addressListLifetime = 4 * time.Second
	// substituteListLifetime is the lifetime of a list that names daemons in place of lost
	// ones. It is short because the lost daemons are the better choice as soon as they are
	// back.
	substituteListLifetime = time.Second
)
