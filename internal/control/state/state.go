package state

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

// State is the replicated state after an entry of the log.
type State struct {
	tree    *settings.Tree
	version uint64
	inForce uint64
	recent  recentChanges

	settled   *vm.Membership
	pending   *vm.Membership // nil if there is none
	lastEpoch uint64

	leaseBound time.Duration
	lastUnixMS int64
}

// New returns the state before the first entry.
func New() *State {
	s := &State{tree: settings.New(), settled: &vm.Membership{}, recent: newRecentChanges()}
	s.leaseBound = s.tree.Tier().DaemonLease
	return s
}

// Result is the effect of one entry.
type Result struct {
	Reply         *wire.ChangeReply // outcome of a change; nil for other entries
	Accepted      *wire.AuditRecord // set if this entry accepted a change
	InForce       uint64            // set if versions up to this one came into force everywhere
	InForceUnixMS int64
	Changed       bool // whether daemons or waiting operators have to be notified
}

// Apply applies one entry. It returns an error if this program cannot decode the
// entry; skipping the entry would make this VM's state differ from that of the other
// control VMs.
func (s *State) Apply(data []byte) (Result, error) {
	var c wire.Command
	if err := proto.Unmarshal(data, &c); err != nil {
		return Result{}, errors.Wrap(err, "state: cannot decode entry")
	}
	switch b := c.Body.(type) {
	case *wire.Command_Change:
		return s.applyChange(b.Change), nil
	case *wire.Command_Epoch:
		return Result{Changed: s.applyEpoch(b.Epoch)}, nil
	case *wire.Command_Settle:
		return Result{Changed: s.applySettle(b.Settle.Epoch)}, nil
	case *wire.Command_InForce:
		return s.applyInForce(b.InForce), nil
	case *wire.Command_LeaseBound:
		s.applyLeaseBound(time.Duration(b.LeaseBound.LeaseMs) * time.Millisecond)
		return Result{}, nil
	}
	return Result{}, errors.New("state: entry is of a newer pearmoor; upgrade this control VM before the leader")
}

// Tree returns the newest settings tree.
func (s *State) Tree() *settings.Tree { return s.tree }

// Version returns the number of the newest accepted change, or 0 before the first.
func (s *State) Version() uint64 { return s.version }

// InForce returns the newest version that is in force everywhere.
func (s *State) InForce() uint64 { return s.inForce }

// Settled returns the membership whose shares are in use.
func (s *State) Settled() *vm.Membership { return s.settled }

// Pending returns the membership that daemons are changing to, or nil.
func (s *State) Pending() *vm.Membership { return s.pending }

// LeaseBound returns the longest lease that any daemon may still hold. After a change
// that shortens the lease, the bound stays until a LeaseBoundCommand lowers it.
func (s *State) LeaseBound() time.Duration { return s.leaseBound }

func (s *State) applyInForce(c *wire.InForceCommand) Result {
	if c.Version <= s.inForce || c.Version > s.version {
		return Result{}
	}
	ms := s.advanceClock(c.UnixMs)
	s.recent.markInForce(s.inForce+1, c.Version, ms)
	s.inForce = c.Version
	return Result{InForce: c.Version, InForceUnixMS: ms, Changed: true}
}

func (s *State) applyLeaseBound(d time.Duration) {
	s.leaseBound = max(d, s.tree.Tier().DaemonLease)
}

// advanceClock keeps recorded times in the order of the log when a new leader's wall
// clock is behind its predecessor's, or was set back.
func (s *State) advanceClock(unixMS int64) int64 {
	s.lastUnixMS = max(s.lastUnixMS, unixMS)
	return s.lastUnixMS
}
