package load

import (
	"crypto/tls"
	"fmt"
	"strings"
	"time"

	"pearmoor/internal/contract"
)

// Config configures a run.
type Config struct {
	EntryURLs          []string  // base URLs of daemons that return address lists
	Queriers           []Querier // if not empty, used in turn instead of callers of Entries
	Paths              []string  // nodes of the tree, requested in turn
	Rate               float64   // requests per second over all paths
	Arrivals           Arrivals
	Duration           time.Duration
	Deadline           time.Duration // of each request, from its scheduled start
	NonRepeatableShare float64       // share of requests sent as non-repeatable, 0 to 1
	ResendShare        float64       // share of non-repeatable requests that are resent under the same key after their outcome, 0 to 1
	Callers            int           // number of callers, each with its own address lists
	MaxInFlight        int           // maximum of requests in flight in this process; further arrivals are counted as skipped
	Window             time.Duration // time span of each point in the plots
	Seed               uint64
	StandinURL         string // control URL of the stand-in leaves, to report their counters; empty: no report
	TLS                *tls.Config
}

// Defaults for zero fields of Config.
const (
	DefaultCallers     = 8
	DefaultMaxInFlight = 4096
	DefaultWindow      = time.Second
	DefaultDeadline    = time.Second
)

func (c *Config) setDefaults() {
	if c.Arrivals == "" {
		c.Arrivals = Poisson
	}
	if c.Callers == 0 {
		c.Callers = DefaultCallers
	}
	if c.MaxInFlight == 0 {
		c.MaxInFlight = DefaultMaxInFlight
	}
	if c.Window == 0 {
		c.Window = DefaultWindow
	}
	if c.Deadline == 0 {
		c.Deadline = DefaultDeadline
	}
}

// validate returns contract.Faults with every invalid value.
func (c *Config) validate() error {
	var fs contract.Faults
	fault := func(bad bool, field string, value any, why, fix string) {
		if bad {
			fs = append(fs, contract.Fault{Field: field, Value: fmt.Sprint(value), Why: why, Fix: fix})
		}
	}
	fault(len(c.EntryURLs) == 0 && len(c.Queriers) == 0, "entries", "", "no daemon is named", "give the base URL of at least one")
	for _, e := range c.EntryURLs {
		fault(!strings.HasPrefix(e, "http://") && !strings.HasPrefix(e, "https://"), "entries", e, "is not a base URL", "write http://host:port")
	}
	fault(len(c.Paths) == 0, "paths", "", "no path is named", "give a node of the tree")
	fault(!(c.Rate > 0), "rate", c.Rate, "is not above 0", "give requests a second")
	fault(c.Arrivals != Poisson && c.Arrivals != Constant, "arrivals", c.Arrivals, "is unknown", "use poisson or constant")
	fault(c.Duration <= 0, "duration", c.Duration, "is not above 0", "give a time such as 30s")
	fault(c.Deadline < time.Millisecond, "deadline", c.Deadline, "is under a millisecond", "give a time such as 500ms")
	fault(!(c.NonRepeatableShare >= 0 && c.NonRepeatableShare <= 1), "not-repeatable", c.NonRepeatableShare, "is not a share", "use 0 to 1")
	fault(!(c.ResendShare >= 0 && c.ResendShare <= 1), "resend", c.ResendShare, "is not a share", "use 0 to 1")
	fault(c.Callers < 1, "callers", c.Callers, "is under 1", "use 1 or more")
	fault(c.MaxInFlight < 1, "outstanding", c.MaxInFlight, "is under 1", "use 1 or more")
	fault(c.Window < time.Millisecond, "window", c.Window, "is under a millisecond", "give a time such as 1s")
	return fs.ErrOrNil()
}
