package quorum

import "pearmoor/internal/quorum/quorumpb"

// Types that are stored and sent to other members. Values passed to or returned by a
// Machine are shared and must not be modified afterwards.
type (
	Entry     = quorumpb.Entry
	Member    = quorumpb.Member
	Conf      = quorumpb.Conf
	Snapshot  = quorumpb.Snapshot
	HardState = quorumpb.HardState
	Message   = quorumpb.Message
)

// Role is the role of a member in its current term.
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

// StoredState is the state that a driver has read from its journal.
type StoredState struct {
	HardState *HardState // Disk must be set
	Snapshot  *Snapshot  // latest; on a new disk the one of Bootstrap, or empty
	Entries   []*Entry   // consecutive, starting at or before Snapshot.Index+1
}

// Ready is the work that a driver has to do, in the order in the package comment.
type Ready struct {
	// HardState is nil when unchanged.
	HardState *HardState
	// Snapshot, if not nil, was received from the leader and replaces the whole
	// journal and the applied state.
	Snapshot *Snapshot
	// Entries must be written to the journal, which first drops every entry at or
	// above Entries[0].Index.
	Entries []*Entry
	// EarlyMessages may be sent before the journal is synced.
	EarlyMessages []*Message
	// Messages may only be sent after the journal is synced: they may acknowledge a
	// vote or an entry.
	Messages []*Message
	// Committed entries must be applied; their indexes are consecutive. Entries of
	// kind CONF and EMPTY are included and hold no command for the application.
	Committed []*Entry
	// Reads are finished ReadIndex calls.
	Reads []ReadState
	// MustSync reports whether the journal must be synced before Messages are sent.
	MustSync bool
}

// ReadState is the result of a ReadIndex call.
type ReadState struct {
	Token          uint64
	Index          uint64 // the read may be served once the entry at Index is applied
	LeadershipLost bool   // leadership was lost before the read finished; retry at the new leader
}

// Status is the state of a machine, for operators and for its driver.
type Status struct {
	ID, Term, Leader                       uint64 // Leader is 0 if unknown
	Role                                   Role
	Commit, Applied, LastIndex, FirstIndex uint64
	Conf                                   *Conf            // latest in the log, committed or not
	ConfCommitted                          bool             // whether Conf is committed
	Peers                                  []PeerStatus     // on the leader only, sorted by id
	Refusal                                quorumpb.Refusal // reason why another member refuses this VM, if any
	Group                                  []byte           // identity of the group; empty if none is committed
	Unbound                                bool             // this member is a founder, and its log does not bind the founders' disks yet
}

// PeerStatus is the leader's view of another member.
type PeerStatus struct {
	ID          uint64
	Match       uint64 // index of the last entry that the member is known to have synced
	AckAgeTicks int    // ticks since the latest answered message was sent; -1 if none in this term
	CaughtUp    bool   // the member holds every committed entry; a learner may be promoted
}
