package quorum

import (
	"math/rand/v2"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// Machine is one member's replica of the agreed log.
//
// Invariants over the group, on which all else rests:
//   - at most one leader is elected in a term;
//   - a leader never changes or drops entries of its own log;
//   - two logs with an entry of the same index and term are the same up to it;
//   - an entry once committed is in the log of every later leader.
type Machine struct {
	cfg  Config
	rng  *rand.Rand
	hard HardState // as of now; saved is what was handed out last

	role   Role
	leader uint64 // known leader of the term; 0: none
	log    entryLog
	confs  confHistory
	snap   *Snapshot // newest, for members that lag behind the log

	tick      int // counts from New
	heardTick int // when a leader, of whatever term, was last heard
	timeoutAt int // when to campaign

	votes map[uint64]uint64 // id -> disk of those who granted

	// Leader only.
	peers       map[uint64]*progress
	leaderSince int
	round       uint64 // grows with every ReadIndex batch
	reads       []pendingRead
	readsUnsent bool
	uncommitted int // bytes of commands appended and not committed
	transfer    transfer

	incoming incoming // snapshot being received

	outbox  []*Message
	done    []ReadState
	refused refusal

	saved     HardState // durable, or being made so by the Ready given out
	installed *Snapshot // received and not yet handed out
	given     *Ready    // handed out and not yet advanced
}

// New returns a machine in the state that the driver stored.
func New(cfg Config, st Stored) (*Machine, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	if st.HardState.GetDisk() == 0 {
		return nil, errors.New("quorum: HardState.Disk is not set; choose a random one when the data folder is made")
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
	// A restarted member has forgotten when it heard the leader. Voting at once
	// could elect a second leader while the first still counts on it, so the
	// start is taken for a sign of the leader. A new disk has promised nothing.
	if m.hard.Term == 0 {
		m.heardTick = -cfg.ElectionTicks
	}
	m.resetTimeout()
	if m.alone() {
		m.timeoutAt = 0
	}
	return m, nil
}

// alone reports whether this member is the only voter. Nobody else can lead then,
// and no timeout has to be waited for. A group that is not yet committed does not
// count: the leader that shrank it may still hold its lease by this member's answer.
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
		return errors.Wrap(err, "quorum: the journal is broken")
	}
	m.log.append(es...)
	m.log.stable = m.log.last()
	// The commit index may have been written where the entries were torn off;
	// those entries were not acknowledged to anybody.
	m.log.commitTo(m.hard.Commit)
	m.hard.Commit = m.log.commit
	m.confs = m.confs.add(es)
	return nil
}

func (m *Machine) conf() *Conf { return m.confs.newest().conf }

func (m *Machine) committedConf() *Conf { return m.confs.at(m.log.commit) }

// Tick tells the machine that one tick has passed. After a pause the driver
// delivers every tick that was missed before anything else.
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
		// Cut off: somebody else may lead by now. Going on would only keep
		// callers waiting for commits that can't come.
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

// becomeFollower enters term, or stays in it, and leaves any other role. Reads
// and the transfer of a lost leadership end here.
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

// heard notes a message of the term's leader.
func (m *Machine) heard(leader uint64) {
	if m.role != Follower || m.leader != leader {
		m.becomeFollower(m.hard.Term, leader)
	}
	m.heardTick = m.tick
	m.refused = refusal{}
	m.resetTimeout()
}

// Status returns a copy of what the machine knows.
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
