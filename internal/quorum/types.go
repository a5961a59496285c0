package quorum

import "pearmoor/internal/quorum/quorumpb"

// The stored and exchanged types. Values handed to or returned by a Machine are
// shared and must not be changed afterwards.
type (
	Entry     = quorumpb.Entry
	Member    = quorumpb.Member
	Conf      = quorumpb.Conf
	Snapshot  = quorumpb.Snapshot
	HardState = quorumpb.HardState
	Message   = quorumpb.Message
)

// Role is what a machine is in its current term.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

var roleNames = [...]string{Follower: "follower", PreCandidate: "pre-candidate", Candidate: "candidate", Leader: "leader"}

// String returns the role's name.
func (r Role) String() string { return roleNames[r] }

// Stored is what a driver read back from its journal.
type Stored struct {
	HardState *HardState // Disk must be set
	Snapshot  *Snapshot  // newest one; Bootstrap's or empty on a new disk
	Entries   []*Entry   // consecutive, from Snapshot.Index+1 or earlier on
}

// Ready is the work a driver has to do, in the order given in the package comment.
type Ready struct {
	// HardState is nil when unchanged.
	HardState *HardState
	// Snapshot, if not nil, came from the leader and replaces the whole journal
	// and the applied state.
	Snapshot *Snapshot
	// Entries are to be written to the journal, which first drops every entry
	// at or above Entries[0].Index.
	Entries []*Entry
	// Early messages may be sent before the journal is synced.
	Early []*Message
	// Messages may only be sent after the journal is synced: they promise that
	// a vote was cast or an entry is held.
	Messages []*Message
	// Committed entries are to be applied; they are consecutive. Entries of
	// kind CONF and EMPTY are included and carry nothing for the application.
	Committed []*Entry
	// Reads are finished ReadIndex calls.
	Reads []ReadState
	// MustSync tells that the journal has to be synced before Messages are sent.
	MustSync bool
}

// ReadState is the outcome of one ReadIndex.
type ReadState struct {
	Token uint64
	Index uint64 // the read may be served once this index is applied
	Lost  bool   // leadership was lost first; ask the new leader
}

// Status describes a machine to operators and to its driver.
type Status struct {
	ID, Term, Leader                  uint64 // Leader 0: none known
	Role                              Role
	Commit, Applied, LastIndex, First uint64
	Conf                              *Conf            // newest in the log, committed or not
	ConfCommitted                     bool             // whether Conf is committed
	Peers                             []PeerStatus     // leader only, sorted by id
	Refused                           quorumpb.Refusal // why the group refuses this VM, if it said so
}

// PeerStatus is the leader's knowledge of one other member.
type PeerStatus struct {
	ID       uint64
	Match    uint64 // newest entry known to be synced there
	Age      int    // ticks since the newest message it answered was sent; -1: none in this term
	CaughtUp bool   // holds every committed entry: a learner may be promoted
}
