package quorum

import (
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
	cfg  Config
	rng  *rand.Rand
	hard HardState // current; savedHardState is what Ready last returned

	role   Role
	leader uint64 // known leader of the term; 0 if unknown
	log    entryLog
	confs  confHistory
	snap   *Snapshot // latest; sent to members that need entries already compacted

	tick      int // number of ticks since New
	heardTick int // tick of the last message from a leader of any term
	timeoutAt int // tick at which to start a pre-vote

	votes map[uint64]uint64 // granted votes: member id to disk

	// Leader only.
	peers       map[uint64]*progress
	leaderSince int
	round       uint64 // incremented for every batch of ReadIndex calls
	reads       []pendingRead
	readsUnsent bool
	uncommitted int // bytes of uncommitted commands in the log
	transfer    transfer

	incoming incoming // snapshot of which not all chunks have arrived

	outbox  []*Message
	done    []ReadState
	refused refusal

	saved     HardState // returned by the last Ready that changed it
	installed *Snapshot // received from the leader, not yet returned by Ready
	given     *Ready    // returned by Ready, Advance not yet called
}

// New returns a machine that continues from the state the driver stored.
func New(cfg Config, st Stored) (*Machine, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	if st.HardState.GetDisk() == 0 {
		return nil, errors.New("quorum: HardState.Disk is not set; generate a random one when the data folder is created")
	}
	snap := st.Snapshot
	if snap == nil {
		snap = &Snapshot{}
	}
	m := &Machine{
		cfg: cfg, snap: snap,
		rng:   rand.New(rand.NewPCG(cfg.Seed, cfg.ID)),
		confs: confHistory{{snap.Index, confOf(snap)}},
	}
	proto.Merge(&m.hard, st.HardState)
	if err := m.restoreLog(st); err != nil {
		return nil, err
	}
	proto.Merge(&m.saved, &m.hard)
	// A restart loses the time of the last message from the leader. A vote right
	// after it could elect a second leader during the lease of the first, so the
	// restart counts as a message from the leader. A new disk has granted no lease.
	if m.hard.Term == 0 {
		m.heardTick = -cfg.ElectionTicks
	}
	m.resetTimeout()
	if m.alone() {
		m.timeoutAt = 0
	}
	return m, nil
}

// isSoleVoter reports whether this member is the only voter of a committed
// configuration. It then need not wait for the election timeout, as no other member
// can lead. An uncommitted configuration does not count: the leader that proposed it
// may still hold a lease based on this member's reply.
func (m *Machine) alone() bool {
	c := m.confs.newest()
	return c.index <= m.log.commit && voterCount(c.conf) == 1 && isVoter(c.conf, m.cfg.ID)
}

func confOf(s *Snapshot) *Conf {
	if s.Conf == nil {
		return &Conf{}
	}
	return s.Conf
}

func (m *Machine) restoreLog(st Stored) error {
	m.log.reset(m.snap.Index, m.snap.Term)
	es := st.Entries
	for len(es) > 0 && es[0].Index <= m.snap.Index {
		es = es[1:]
	}
	if err := checkEntries(es, m.snap.Index, m.snap.Term, m.hard.Term); err != nil {
		return errors.Wrap(err, "quorum: the stored log is inconsistent")
	}
	m.log.append(es...)
	m.log.stable = m.log.last()
	// The stored commit index may be above the last entry if the end of the log
	// was lost in a crash. The lost entries had not been acknowledged.
	m.log.commitTo(m.hard.Commit)
	m.hard.Commit = m.log.commit
	m.confs = m.confs.add(es)
	return nil
}

func (m *Machine) conf() *Conf { return m.confs.newest().conf }

func (m *Machine) committedConf() *Conf { return m.confs.at(m.log.commit) }

// Tick advances the clock of the machine by one tick. After a pause the driver must
// deliver all missed ticks before it calls any other method.
func (m *Machine) Tick() {
	m.tick++
	if m.role == Leader {
		m.tickLeader()
		return
	}
	if m.tick >= m.timeoutAt {
		m.resetTimeout()
		m.campaign()
	}
}

func (m *Machine) tickLeader() {
	if m.tick-max(m.quorumTick(), m.leaderSince) >= m.cfg.ElectionTicks {
		// No contact with a quorum: another member may lead by now, and callers
		// would wait for commits that can't happen.
		m.becomeFollower(m.hard.Term, 0)
		return
	}
	m.tickTransfer()
	if m.role == Leader && (m.tick-m.leaderSince)%m.cfg.HeartbeatTicks == 0 {
		m.broadcastHeartbeat()
	}
}

func (m *Machine) resetTimeout() {
	m.timeoutAt = m.tick + m.cfg.ElectionTicks + m.rng.IntN(m.cfg.ElectionTicks)
}

// becomeFollower makes the member a follower in term, which may be its current one.
// It fails pending reads and ends a leadership transfer.
func (m *Machine) becomeFollower(term, leader uint64) {
	if term > m.hard.Term {
		m.hard.Term, m.hard.Vote, m.hard.VoteDisk = term, 0, 0
	}
	if m.role != Follower {
		m.resetTimeout()
	}
	m.loseReads()
	m.role, m.leader = Follower, leader
	m.peers, m.votes = nil, nil
	m.transfer = transfer{}
}

// onLeaderContact records a message from the leader of the current term.
func (m *Machine) heard(leader uint64) {
	if m.role != Follower || m.leader != leader {
		m.becomeFollower(m.hard.Term, leader)
	}
	m.heardTick = m.tick
	m.refused = refusal{}
	m.resetTimeout()
}

// Status returns the current state of the machine.
func (m *Machine) Status() Status {
	s := Status{
		ID: m.cfg.ID, Term: m.hard.Term, Leader: m.leader, Role: m.role,
		Commit: m.log.commit, Applied: m.log.applied, LastIndex: m.log.last(), First: m.log.first,
		Conf: m.conf(), ConfCommitted: m.confs.newest().index <= m.log.commit,
		Refused: m.refused.why,
	}
	for _, b := range s.Conf.GetMembers() {
		p := m.peers[b.Id]
		if p == nil {
			continue
		}
		age := notHeard
		if p.ackedTick != notHeard {
			age = m.tick - p.ackedTick
		}
		s.Peers = append(s.Peers, PeerStatus{ID: b.Id, Match: p.match, Age: age, CaughtUp: p.match >= m.log.commit})
	}
	return s
}
