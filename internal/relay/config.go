package relay

import (
	"context"
	"time"

	"storj.io/drpc"

	"pearmoor/internal/vm"
)

// Defaults of Config.
const (
	DefaultInterval = time.Second
	DefaultDirect   = 64
	DefaultFanout   = 5
)

// Conns gives connections to other daemons; Close of one hands it back.
type Conns interface {
	Conn(ctx context.Context, addr string) (drpc.Conn, error)
}

// Config is what a Client needs.
type Config struct {
	Self     vm.Identity
	Control  []string      // peer addresses of control VMs; one that works is enough
	Conns    Conns         // how to reach control VMs and relays
	Clock    vm.Clock      // nil: vm.Now
	Interval time.Duration // longest time between two heartbeats; 0: DefaultInterval
	Direct   int           // most members that all sync with the leader; 0: DefaultDirect
	Fanout   int           // daemons per relay when there are more members; 0: DefaultFanout
	// Eager makes a daemon without state ask several addresses beside one another, and
	// soon after its start. In a restart of everything each of 300 daemons makes two to
	// three calls more at the leader's than one that asks them in turn.
	Eager bool
	// Restarts says that no two runs of this daemon are ever alive together. One
	// that finds an earlier run with a higher incarnation, since the wall clock was
	// set back in between, then takes a higher one in place of ending.
	Restarts bool
}

func (cfg Config) withDefaults() Config {
	if cfg.Clock == nil {
		cfg.Clock = vm.Now
	}
	if cfg.Interval <= 0 {
		cfg.Interval = DefaultInterval
	}
	if cfg.Direct <= 0 {
		cfg.Direct = DefaultDirect
	}
	if cfg.Fanout <= 0 {
		cfg.Fanout = DefaultFanout
	}
	return cfg
}
