package quorum

import "github.com/cockroachdb/errors"

// MaxMembers is the most members, voters and learners together, of a group.
const MaxMembers = 8

// minElectionTicks leaves a tick between the end of QuorumActive and the first
// vote for another leader.
const minElectionTicks = 4

// Config sets up a Machine.
type Config struct {
	ID uint64 // never 0, never reused by another VM or disk

	// ElectionTicks is the minimum election timeout; each timeout is drawn from
	// [ElectionTicks, 2*ElectionTicks). It must be at least 4 and
	// 3*HeartbeatTicks.
	ElectionTicks  int
	HeartbeatTicks int

	MaxAppendBytes      int // bytes of entries or snapshot in one message, at least one entry
	MaxInflight         int // append messages not yet answered, per member
	MaxUncommittedBytes int // proposals beyond this are refused with ErrBusy

	Seed uint64 // for election timeouts; different on each VM
}

// DefaultConfig returns the settings used in production for a tick of 100 ms.
func DefaultConfig(id, seed uint64) Config {
	return Config{
		ID: id, Seed: seed,
		ElectionTicks: 10, HeartbeatTicks: 2,
		MaxAppendBytes: 256 << 10, MaxInflight: 16, MaxUncommittedBytes: 16 << 20,
	}
}

func (c *Config) validate() error {
	switch {
	case c.ID == 0:
		return errors.New("quorum: ID=0 means nobody; use 1 or more")
	case c.HeartbeatTicks < 1:
		return errors.Newf("quorum: HeartbeatTicks=%d is too short; use 1 or more", c.HeartbeatTicks)
	case c.ElectionTicks < 3*c.HeartbeatTicks || c.ElectionTicks < minElectionTicks:
		return errors.Newf("quorum: ElectionTicks=%d would not survive a lost heartbeat; use at least %d, which is 3*HeartbeatTicks",
			c.ElectionTicks, max(3*c.HeartbeatTicks, minElectionTicks))
	case c.MaxAppendBytes < 1 || c.MaxInflight < 1 || c.MaxUncommittedBytes < 1:
		return errors.New("quorum: MaxAppendBytes, MaxInflight and MaxUncommittedBytes must be 1 or more")
	}
	return nil
}
