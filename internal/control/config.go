package control

import (
	"fmt"
	"slices"
	"time"

	"pearmoor/internal/contract"
	"pearmoor/internal/journal"
	"pearmoor/internal/quorum"
	"pearmoor/internal/relay"
	"pearmoor/internal/vm"
)

// Config is what a control VM needs.
type Config struct {
	ID       uint64 // of this VM in the group; not 0, never used again once removed
	Name     string
	DataDir  string
	PeerAddr string // host:port where the other control VMs and daemons reach this one

	// Bootstrap founds a new group of Voters, by id their peer addresses; with no
	// Voters, of this VM alone. It only has an effect on an empty data folder. A
	// VM with neither a journal nor Bootstrap waits to be added to a group.
	Bootstrap bool
	Voters    map[uint64]string

	Conns relay.Conns
	Clock vm.Clock // nil: vm.Now

	Tick            time.Duration // of the quorum machine; 0: DefaultTick
	ReserveBytes    uint64        // free space below which changes are refused; 0: DefaultReserveBytes
	SnapshotEntries uint64        // entries between two snapshots; 0: DefaultSnapshotEntries
	AuditBytes      int64         // of the audit trail, above which its oldest records go; 0: it is kept whole
	FS              journal.FS    // nil: the machine's own
	Upkeep          Upkeep        // of the group; the zero value leaves it to operators
}

// Defaults of Config.
const (
	DefaultTick            = 100 * time.Millisecond
	DefaultReserveBytes    = 64 << 20
	DefaultSnapshotEntries = 2_000
)

func (c Config) withDefaults() Config {
	if c.Clock == nil {
		c.Clock = vm.Now
	}
	if c.Tick <= 0 {
		c.Tick = DefaultTick
	}
	if c.ReserveBytes == 0 {
		c.ReserveBytes = DefaultReserveBytes
	}
	if c.SnapshotEntries == 0 {
		c.SnapshotEntries = DefaultSnapshotEntries
	}
	if c.FS == nil {
		c.FS = journal.OS{}
	}
	return c
}

func (c *Config) validate() error {
	var fs contract.Faults
	require := func(ok bool, field, value, why, fix string) {
		if !ok {
			fs = append(fs, contract.Fault{Field: field, Value: value, Why: why, Fix: fix})
		}
	}
	require(c.ID != 0, "ID", "0", "0 means nobody", "use 1 or more")
	require(c.DataDir != "", "DataDir", "", "votes and the log need a disk", "name a folder")
	require(c.PeerAddr != "", "PeerAddr", "", "other VMs must reach this one", "use host:port")
	require(c.Conns != nil, "Conns", "", "other VMs can't be reached", "pass a peer.Pool")
	if c.Bootstrap && len(c.Voters) > 0 {
		require(c.Voters[c.ID] == c.PeerAddr, "Voters", fmt.Sprint(c.Voters),
			fmt.Sprintf("this VM's id %d is not there with its address %s", c.ID, c.PeerAddr), "list every founding VM, this one included")
	}
	require(len(c.Voters) <= quorum.MaxMembers, "Voters", fmt.Sprint(len(c.Voters)),
		"a group is too large", fmt.Sprintf("use at most %d", quorum.MaxMembers))
	return fs.ErrOrNil()
}

// genesis returns the snapshot with which the founders start, alike on each.
func (c *Config) genesis() (*quorum.Snapshot, error) {
	voters := c.Voters
	if len(voters) == 0 {
		voters = map[uint64]string{c.ID: c.PeerAddr}
	}
	var members []*quorum.Member
	for id, addr := range voters {
		members = append(members, &quorum.Member{Id: id, PeerAddr: addr})
	}
	slices.SortFunc(members, func(a, b *quorum.Member) int { return int(a.Id) - int(b.Id) })
	return quorum.Bootstrap(members)
}
