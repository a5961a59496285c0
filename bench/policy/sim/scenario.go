package sim

import (
	"time"

	"pearmoor/internal/policy"
)

// Scenarios are the loads and faults that can be simulated.
var Scenarios = []Scenario{
	{"calm", "leaves that pause for 150 ms each 3.6 s, and nothing else", func(*Config) {}},
	{"busy", "a third more callers all the time", func(c *Config) { scaleRates(c, 1.35) }},
	{"burst", "twice the callers for 3 s", func(c *Config) { c.Bursts = []Burst{{4 * time.Second, 3 * time.Second, 2}} }},
	{"few slow", "all copies of a tenth of the shards eight times slower for 4 s", slowShards(0.1)},
	{"many slow", "all copies of a fifth of the shards eight times slower for 4 s, more than may be missing", slowShards(0.2)},
}

// Scenario is a change of the default configuration.
type Scenario struct {
	Name, Description string
	modify            func(*Config)
}

func scaleRates(c *Config, factor float64) {
	for i := range c.Routes {
		c.Routes[i].RequestsPerSecond *= factor
	}
}

func slowShards(share float64) func(*Config) {
	return func(c *Config) { c.Slowdowns = []Slowdown{{4 * time.Second, 4 * time.Second, share, 8}} }
}

// Config returns the configuration of the scenario: eleven VMs and twenty shards of two
// leaves each, as in the smaller of the deployments of docs/design/load-and-faults.md.
func (s Scenario) Config(seed uint64) Config {
	c := Config{
		Seed: seed, Duration: 12 * time.Second, Daemons: 11, Domains: 3, Shards: 20, LeavesPerShard: 2,
		Slots: 2, QueueSize: 12, MaxConns: 28, PauseInterval: 3600 * time.Millisecond, PauseDuration: 150 * time.Millisecond,
		SameDomainDelay: 200 * time.Microsecond, CrossDomainDelay: 1100 * time.Microsecond, CallerDelay: 3 * time.Millisecond,
		Budget: policy.BudgetLimits{Ratio: 0.2, Burst: 62, Window: 10 * time.Second},
		Routes: []Route{
			{Name: "wide", RequestsPerSecond: 67.5, Work: 15 * time.Millisecond, TargetLatency: 120 * time.Millisecond, Timeout: 1200 * time.Millisecond,
				AnswerMargin: 14 * time.Millisecond, RequiredShare: 0.89, Worth: 2, LateFactor: 0.1},
			{Name: "quick", RequestsPerSecond: 22.5, Work: 5 * time.Millisecond, TargetLatency: 60 * time.Millisecond, Timeout: 600 * time.Millisecond,
				AnswerMargin: 14 * time.Millisecond, RequiredShare: 0.75, Worth: 1, LateFactor: 0.1},
		},
	}
	s.modify(&c)
	return c
}
