// Package quota counts the requests of organisations over all daemons. An organisation's quota is
// divided into places, one in each failure domain, and each place has one owner, which keeps a
// token bucket in memory. Every request is asked for at an owner. The decisions are in
// internal/policy (QuotaShares, QuotaBucket, QuotaOwners).
package quota

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/policy"
	"pearmoor/internal/relay"
	"pearmoor/internal/route"
	"pearmoor/internal/vm"
)

// Config configures the Quotas of a daemon.
type Config struct {
	// Self returns the identity of this run of the daemon.
	Self func() vm.Identity
	View func() *relay.View
	// Organisation returns the organisation with the given name in the newest configuration
	// in use.
	Organisation func(name string) (*route.Organisation, bool)
	Conns        relay.Conns
	Limits       policy.QuotaLimits
	Clock        vm.Clock // must include the time during which the VM is suspended; nil means vm.Now
}

// Quotas is a daemon's part in counting quotas: it owns places, and asks the owners of others. It
// implements forward.Quotas.
type Quotas struct {
	owner  *owner
	client *client
}

// New returns the Quotas of a daemon that has just started.
func New(cfg Config) *Quotas {
	if cfg.Clock == nil {
		cfg.Clock = vm.Now
	}
	o := newOwner(cfg)
	return &Quotas{owner: o, client: newClient(cfg, o)}
}

// Server returns the server for the daemons that ask this one.
func (q *Quotas) Server() wire.DRPCQuotaServer { return q.owner }

const (
	// sweepInterval is the time between two looks at the view. It must be well below the
	// duration of a lease: an owner that did not look in time drops its buckets.
	sweepInterval = 100 * time.Millisecond
	// sweepsPerCleanup is the number of sweeps between two removals of unused state.
	sweepsPerCleanup = 300
)

// Run drops the buckets of places that the daemon has lost, and unused state, until ctx ends.
func (q *Quotas) Run(ctx context.Context) {
	for i := 1; vm.Sleep(ctx, sweepInterval); i++ {
		q.owner.sweep()
		if i%sweepsPerCleanup == 0 {
			q.owner.dropGone()
			q.client.cleanup()
		}
	}
}

var (
	taken         = metrics.GetOrRegisterCounter("quota.taken", metrics.DefaultRegistry)
	refused       = metrics.GetOrRegisterCounter("quota.refused", metrics.DefaultRegistry)
	unknown       = metrics.GetOrRegisterCounter("quota.unknown", metrics.DefaultRegistry)
	givenBack     = metrics.GetOrRegisterCounter("quota.given_back", metrics.DefaultRegistry)
	lateGrants    = metrics.GetOrRegisterCounter("quota.late_grants", metrics.DefaultRegistry)
	lostReturns   = metrics.GetOrRegisterCounter("quota.given_back.lost", metrics.DefaultRegistry)
	takeMicros    = metrics.GetOrRegisterHistogram("quota.take_us", metrics.DefaultRegistry, metrics.NewExpDecaySample(1028, 0.015))
	ownerGranted  = metrics.GetOrRegisterCounter("quota.owner.granted", metrics.DefaultRegistry)
	ownerRefused  = metrics.GetOrRegisterCounter("quota.owner.refused", metrics.DefaultRegistry)
	ownerNotOwner = metrics.GetOrRegisterCounter("quota.owner.not_owner", metrics.DefaultRegistry)
)
