package quorum

// Machine is one member's replica of the agreed log.
type Machine struct{ cfg Config }

// Bootstrap returns the snapshot with which every first member of a new group
// starts. Members need not have their Disk set: until the disks of all members
// are bound by the group's first entry, votes and commits need all members, not
// a majority, so that a member whose disk was lost in between can't be mistaken
// for its old self. The driver stores the snapshot on a new disk before New.
func Bootstrap(members []*Member) (*Snapshot, error) { panic("not yet") }

// New returns a machine in the state that the driver stored.
func New(cfg Config, st Stored) (*Machine, error) { return &Machine{cfg: cfg}, cfg.validate() }

// Tick tells the machine that one tick has passed. After a pause the driver
// delivers every tick that was missed before anything else.
func (m *Machine) Tick() {}

// Step takes in a message. A *RefusedError tells that it was not read; the
// driver logs it and goes on.
func (m *Machine) Step(msg *Message) error { return nil }

// Propose appends data to the leader's log. It is committed once an entry with
// this index and term is among Ready.Committed; another term there means that it
// was lost.
func (m *Machine) Propose(data []byte) (index, term uint64, err error) { return 0, 0, nil }

// ConfOp is one step of membership change.
type ConfOp uint8

// The operations.
const (
	AddLearner ConfOp = iota // Member with an ID above Conf.MaxId and its Disk
	Promote                  // a learner that has caught up becomes a voter
	Remove                   // a voter or learner; its ID is never used again
)

// ConfChange changes the group by one member.
type ConfChange struct {
	Op     ConfOp
	Member *Member // Promote and Remove read only the ID
}

// ProposeConf appends a membership change.
func (m *Machine) ProposeConf(c ConfChange) (index, term uint64, err error) { return 0, 0, nil }

// ReadIndex asks for an index at which a read is linearizable. The outcome comes
// in Ready.Reads with the same token.
func (m *Machine) ReadIndex(token uint64) error { return nil }

// Transfer hands leadership to the voter to, or to the most up to date voter if
// to is 0. Proposals are refused with ErrTransferring from now on. If the voter
// does not take over within ElectionTicks, the leader goes on (nothing was sent
// yet) or steps down.
func (m *Machine) Transfer(to uint64) error { return nil }

// QuorumActive reports whether a strict majority of the voters answered a message
// sent less than ElectionTicks ago. While it holds, no other leader can have been
// elected, so what this leader knows as committed is the newest there is. The
// driver delivers all due ticks before it asks.
func (m *Machine) QuorumActive() bool { return false }

// HasReady reports whether Ready would return work.
func (m *Machine) HasReady() bool { return false }

// Ready returns the work to do. Advance must be called before the next Ready;
// ticks and messages may come in between.
func (m *Machine) Ready() Ready { return Ready{} }

// Advance tells that all of the last Ready was done: stored, synced, sent, applied.
func (m *Machine) Advance() {}

// Compact replaces the log up to the applied index by data, the application's
// state after it, and keeps the last keep entries before it for slow followers.
// The driver stores the returned snapshot and may then drop the journal below it.
func (m *Machine) Compact(index uint64, data []byte, keep uint64) (*Snapshot, error) { return nil, nil }

// Status returns a copy of what the machine knows.
func (m *Machine) Status() Status { return Status{} }

// Encode returns the bytes of a message.
func Encode(msg *Message) ([]byte, error) { panic("not yet") }

// Decode reads the bytes of a message.
func Decode(b []byte) (*Message, error) { panic("not yet") }
