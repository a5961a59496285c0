package quorum

import "github.com/cockroachdb/errors"

// MaxMembers is the maximum number of voters and learners in a group.
const MaxMembers = 8

// minElectionTicks is the smallest ElectionTicks that leaves one tick between the
// end of QuorumActive and the first vote for another leader.
const minElectionTicks = 4

// Config holds the parameters of a Machine.
type Config struct {
	ID uint64 // not 0; must never be reused for another VM or disk

	// ElectionTicks is the minimum election timeout; each timeout is drawn from
	// [ElectionTicks, 2*ElectionTicks). It must be at least 4 and at least
	// 3*HeartbeatTicks.
	ElectionTicks  int
	HeartbeatTicks int

	MaxAppendBytes      int // maximum bytes of entries or snapshot data in a message; one entry is always sent
	MaxInflight         int // maximum unanswered append messages per member
	MaxUncommittedBytes int // proposals above this limit fail with ErrBusy

	Seed uint64 // of the random election timeouts; must differ between VMs

	// Group is the identity of the group that the disk belongs to, or empty if the disk
	// does not record one.
	Group []byte
	// NewGroup is the identity that this member proposes if it is elected in a group that
	// has none. It must be random.
	NewGroup []byte
}

// DefaultConfig returns the production settings, which assume a tick of 100 ms.
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
		return errors.New("quorum: ID=0 is reserved for no member; use 1 or more")
	case c.HeartbeatTicks < 1:
		return errors.Newf("quorum: HeartbeatTicks=%d is too short; use 1 or more", c.HeartbeatTicks)
	case c.ElectionTicks < 3*c.HeartbeatTicks || c.ElectionTicks < minElectionTicks:
		return errors.Newf("quorum: ElectionTicks=%d does not tolerate a lost heartbeat; use at least %d, which is 3*HeartbeatTicks",
			c.ElectionTicks, max(3*c.HeartbeatTicks, minElectionTicks))
	case c.MaxAppendBytes < 1 || c.MaxInflight < 1 || c.MaxUncommittedBytes < 1:
		return errors.New("quorum: MaxAppendBytes, MaxInflight and MaxUncommittedBytes must be 1 or more")
	}
	return nil
}
