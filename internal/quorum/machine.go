package quorum

import (
	"bytes"
	"math/rand/v2"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// Machine is the Raft state machine of one member. The group keeps these invariants:
//   - at most one leader is elected in a term;
//   - a leader never changes or drops entries of its own log;
//   - two logs with an entry of the same index and term are identical up to it;
//   - a committed entry is in the log of every later leader.
type Machine struct {
	cfg       Config
	rng       *rand.Rand
	hardState HardState // current; savedHardState is what Ready last returned

	role     Role
	leader   uint64 // known leader of the term; 0 if unknown
	log      entryLog
	confs    confHistory
	snapshot *Snapshot // latest; sent to members that need entries already compacted

	tick              int // number of ticks since New
	leaderContactTick int // tick of the last message from a leader of any term
	electionDeadline  int // tick at which to start a pre-vote

	votes map[uint64]uint64 // granted votes: member id to disk

	// Leader only.
	peers           map[uint64]*progress
	leaderSince     int
	round           uint64 // incremented for every batch of ReadIndex calls
	reads           []pendingRead
	readRoundUnsent bool
	uncommitted     int // bytes of uncommitted commands in the log
	transfer        leadershipTransfer

	partialSnapshot partialSnapshot // snapshot of which not all chunks have arrived

	outbox        []*Message
	finishedReads []ReadState
	lastRefusal   refusalNotice

	savedHardState   HardState // returned by the last Ready that changed it
	receivedSnapshot *Snapshot // received from the leader, not yet returned by Ready
	readyInProgress  *Ready    // returned by Ready, Advance not yet called
}

// New returns a machine that continues from the state the driver stored.
func New(cfg Config, st StoredState) (*Machine, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	if st.HardState.GetDisk() == 0 {
		return nil, errors.New("quorum: HardState.Disk is not set; generate a random one when the data folder is created")
	}
	snapshot := st.Snapshot
	if snapshot == nil {
		snapshot = &Snapshot{}
	}
	m := &Machine{
		cfg: cfg, snapshot: snapshot,
		rng:   rand.New(rand.NewPCG(cfg.Seed, cfg.ID)),
		confs: confHistory{{snapshot.Index, confOrEmpty(snapshot)}},
	}
	proto.Merge(&m.hardState, st.HardState)
	if err := m.restoreLog(st); err != nil {
		return nil, err
	}
	proto.Merge(&m.savedHardState, &m.hardState)
	if g := m.committedConf().GetGroup(); len(g) > 0 && len(cfg.Group) > 0 && !bytes.Equal(g, cfg.Group) {
		return nil, errors.Newf("quorum: the log is of group %x, but the disk belongs to group %x", g, cfg.Group)
	}
	// A restart loses the time of the last message from the leader. A vote right
	// after it could elect a second leader during the lease of the first, so the
	// restart counts as a message from the leader. A new disk has granted no lease.
	if m.hardState.Term == 0 {
		m.leaderContactTick = -cfg.ElectionTicks
	}
	m.resetTimeout()
	if m.isSoleVoter() {
		m.electionDeadline = 0
	}
	return m, nil
}

// isSoleVoter reports whether this member is the only voter of a committed
// configuration. It then need not wait for the election timeout, as no other member
// can lead. An uncommitted configuration does not count: the leader that proposed it
// may still hold a lease based on this member's reply.
func (m *Machine) isSoleVoter() bool {
	c := m.confs.latest()
	return c.index <= m.log.commit && voterCount(c.conf) == 1 && isVoter(c.conf, m.cfg.ID)
}

func confOrEmpty(s *Snapshot) *Conf {
	if s.Conf == nil {
		return &Conf{}
	}
	return s.Conf
}

func (m *Machine) restoreLog(st StoredState) error {
	m.log.reset(m.snapshot.Index, m.snapshot.Term)
	es := st.Entries
	for len(es) > 0 && es[0].Index <= m.snapshot.Index {
		es = es[1:]
	}
	if err := checkEntries(es, m.snapshot.Index, m.snapshot.Term, m.hardState.Term); err != nil {
		return errors.Wrap(err, "quorum: the stored log is inconsistent")
	}
	m.log.append(es...)
	m.log.stable = m.log.lastIndex()
	// The stored commit index may be above the last entry if the end of the log
	// was lost in a crash. The lost entries had not been acknowledged.
	m.log.commitTo(m.hardState.Commit)
	m.hardState.Commit = m.log.commit
	m.confs = m.confs.appendFrom(es)
	return nil
}

func (m *Machine) conf() *Conf { return m.confs.latest().conf }

func (m *Machine) committedConf() *Conf { return m.confs.at(m.log.commit) }

// group returns the identity of the group, or nil if none is known. An uncommitted
// identity does not count: another leader may replace it.
func (m *Machine) group() []byte {
	if g := m.committedConf().GetGroup(); len(g) > 0 {
		return g
	}
	return m.cfg.Group
}

// excludes reports whether a group other than the machine's own is named.
func (m *Machine) excludes(group []byte) bool {
	own := m.group()
	return len(own) > 0 && len(group) > 0 && !bytes.Equal(own, group)
}

// Tick advances the clock of the machine by one tick. After a pause the driver must
// deliver all missed ticks before it calls any other method.
func (m *Machine) Tick() {
	m.tick++
	if m.role == Leader {
		m.tickLeader()
		return
	}
	if m.tick >= m.electionDeadline {
		m.resetTimeout()
		m.startPreVote()
	}
}

func (m *Machine) tickLeader() {
	if m.tick-max(m.quorumTick(), m.leaderSince) >= m.cfg.ElectionTicks {
		// No contact with a quorum: another member may lead by now, and callers
		// would wait for commits that can't happen.
		m.becomeFollower(m.hardState.Term, 0)
		return
	}
	m.tickTransfer()
	if m.role == Leader && (m.tick-m.leaderSince)%m.cfg.HeartbeatTicks == 0 {
		m.broadcastHeartbeat()
	}
}

func (m *Machine) resetTimeout() {
	m.electionDeadline = m.tick + m.cfg.ElectionTicks + m.rng.IntN(m.cfg.ElectionTicks)
}

// becomeFollower makes the member a follower in term, which may be its current one.
// It fails pending reads and ends a leadership transfer.
func (m *Machine) becomeFollower(term, leader uint64) {
	if term > m.hardState.Term {
		m.hardState.Term, m.hardState.Vote, m.hardState.VoteDisk = term, 0, 0
	}
	if m.role != Follower {
		m.resetTimeout()
	}
	m.failReads()
	m.role, m.leader = Follower, leader
	m.peers, m.votes = nil, nil
	m.transfer = leadershipTransfer{}
}

// onLeaderContact records a message from the leader of the current term.
func (m *Machine) onLeaderContact(leader uint64) {
	if m.role != Follower || m.leader != leader {
		m.becomeFollower(m.hardState.Term, leader)
	}
	m.leaderContactTick = m.tick
	m.lastRefusal = refusalNotice{}
	m.resetTimeout()
}

// Status returns the current state of the machine.
func (m *Machine) Status() Status {
	s := Status{
		ID: m.cfg.ID, Term: m.hardState.Term, Leader: m.leader, Role: m.role,
		Commit: m.log.commit, Applied: m.log.applied, LastIndex: m.log.lastIndex(), FirstIndex: m.log.firstIndex,
		Conf: m.conf(), ConfCommitted: m.confs.latest().index <= m.log.commit,
		Refusal: m.lastRefusal.reason, Group: m.group(),
		Unbound: !allDisksBound(m.conf()),
	}
	for _, member := range s.Conf.GetMembers() {
		p := m.peers[member.Id]
		if p == nil {
			continue
		}
		ackAge := neverAcked
		if p.ackedSentTick != neverAcked {
			ackAge = m.tick - p.ackedSentTick
		}
		s.Peers = append(s.Peers, PeerStatus{ID: member.Id, Match: p.match, AckAgeTicks: ackAge, CaughtUp: p.match >= m.log.commit})
	}
	return s
}
