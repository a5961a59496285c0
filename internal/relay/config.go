package relay

import (
	"context"
	"time"

	"storj.io/drpc"

	"pearmoor/internal/vm"
)

// Defaults of Config.
const (
	DefaultInterval  = time.Second
	DefaultMaxDirect = 64
	DefaultFanout    = 5
)

// Conns provides connections to other daemons. Closing a connection releases it.
type Conns interface {
	Conn(ctx context.Context, addr string) (drpc.Conn, error)
}

// Config configures a Client.
type Config struct {
	Self     vm.Identity
	Control  []string      // peer addresses of control VMs; one that works is enough
	Conns    Conns         // connections to control VMs and relays
	Clock    vm.Clock      // nil: vm.Now
	Interval time.Duration // longest time between two heartbeats; 0: DefaultInterval
	// Group is the control group that this daemon belongs to, for example by the identity of
	// its disk; empty: the first one that it meets.
	Group vm.GroupID

	MaxDirect int // most members that all sync with the leader; 0: DefaultMaxDirect
	Fanout    int // daemons per relay when there are more members; 0: DefaultFanout
	// EagerStart makes a daemon without state contact several addresses in parallel,
	// and soon after its start. In a restart of all VMs each of 300 daemons makes two
	// to three calls more to the leader than a daemon that contacts the addresses one
	// by one.
	EagerStart bool
	// ExclusiveRuns says that two runs of this daemon never exist at the same time. If
	// the membership then contains an earlier run with a higher incarnation, because
	// the wall clock was set back in between, the client takes a higher incarnation
	// instead of stopping.
	ExclusiveRuns bool
}

func (cfg Config) withDefaults() Config {
	if cfg.Clock == nil {
		cfg.Clock = vm.Now
	}
	if cfg.Interval <= 0 {
		cfg.Interval = DefaultInterval
	}
	if cfg.MaxDirect <= 0 {
		cfg.MaxDirect = DefaultMaxDirect
	}
	if cfg.Fanout <= 0 {
		cfg.Fanout = DefaultFanout
	}
	return cfg
}
