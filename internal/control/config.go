package control

import (
	"fmt"
	"slices"
	"time"

	"pearmoor/internal/contract"
	"pearmoor/internal/journal"
	"pearmoor/internal/policy"
	"pearmoor/internal/quorum"
	"pearmoor/internal/relay"
	"pearmoor/internal/vm"
)

// Config configures a control VM.
type Config struct {
	ID       uint64 // member ID of this VM in the group; not 0, and never reused after removal
	Name     string
	DataDir  string
	PeerAddr string // host:port at which the other control VMs and the daemons reach this VM

	// Bootstrap makes a VM with an empty data folder a founding member of a new
	// group. Voters maps the member IDs of the founders to their peer addresses; if
	// it is empty, the group consists of this VM only. A VM with an empty data
	// folder and without Bootstrap waits to be added to a group.
	Bootstrap bool
	Voters    map[uint64]string
	// Invited makes a founding member take the place of a founder that has lost its disk. Its
	// new disk does not prove that no group has been founded.
	Invited bool

	Conns relay.Conns
	Clock vm.Clock // nil: vm.Now
	// ExclusiveRuns says that two runs of one daemon never exist at the same time.
	ExclusiveRuns bool

	Tick            time.Duration     // tick interval of the quorum machine; 0: DefaultTick
	ReserveBytes    uint64            // free disk space below which changes are rejected; 0: DefaultReserveBytes
	SnapshotEntries uint64            // log entries between two snapshots; 0: DefaultSnapshotEntries
	MaxAuditBytes   int64             // size of the audit trail above which its oldest records are deleted; 0: unlimited
	FS              journal.FS        // nil: the operating system's
	Maintenance     MaintenanceConfig // automatic changes of the group; the zero value disables them
	// Growth holds changes back until the group is large enough; the zero value accepts them
	// from the start.
	Growth policy.GroupGrowth
}

// Defaults for fields of Config.
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
	var faults contract.Faults
	require := func(ok bool, field, value, why, fix string) {
		if !ok {
			faults = append(faults, contract.Fault{Field: field, Value: value, Why: why, Fix: fix})
		}
	}
	require(c.ID != 0, "ID", "0", "0 is not a member ID", "use 1 or more")
	require(c.DataDir != "", "DataDir", "", "votes and the log must be stored on disk", "set a folder")
	require(c.PeerAddr != "", "PeerAddr", "", "other VMs need an address to reach this VM", "use host:port")
	require(c.Conns != nil, "Conns", "", "without it other VMs can't be reached", "pass a peer.Pool")
	if c.Bootstrap && len(c.Voters) > 0 {
		require(c.Voters[c.ID] == c.PeerAddr, "Voters", fmt.Sprint(c.Voters),
			fmt.Sprintf("there is no entry for this VM's id %d with its address %s", c.ID, c.PeerAddr), "list every founding VM, including this one")
	}
	require(len(c.Voters) <= quorum.MaxMembers, "Voters", fmt.Sprint(len(c.Voters)),
		"the group is too large", fmt.Sprintf("use at most %d", quorum.MaxMembers))
	return faults.ErrOrNil()
}

// bootstrapSnapshot returns the initial snapshot of a new group. It is identical on every
// founder, so their logs start from the same state.
func (c *Config) bootstrapSnapshot() (*quorum.Snapshot, error) {
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
