package quorum

// progressState is the mode in which the leader sends entries to a member.
type progressState uint8

const (
	stateProbe     progressState = iota // the matching index is unknown; one message at a time
	stateReplicate                      // up to MaxInflight messages are sent without waiting for replies
	stateSnapshot                       // a snapshot is sent, one chunk at a time
)

// neverAcked is the ackedSentTick of a member that has not replied in this term.
const neverAcked = -1

// progress tracks replication to one member. Invariants: match < next, and the
// member has synced every entry up to match.
type progress struct {
	match, next   uint64
	state         progressState
	awaitingReply bool     // stateProbe, stateSnapshot: a message is unanswered
	inflight      []uint64 // stateReplicate: last index of each unanswered append

	snapshot *Snapshot // stateSnapshot: the snapshot being sent
	offset   uint64    // bytes of snapshot data that the member has received

	lastProgressTick int // tick at which match last advanced or sending resumed after being idle
	ackedSentTick    int // tick at which the latest answered message was sent
	ackedRound       uint64
}

func newProgress(last uint64) *progress {
	return &progress{next: last + 1, ackedSentTick: neverAcked}
}

// recordReply records a reply to a message that was sent at tick in round.
func (p *progress) recordReply(tick int, round uint64) {
	p.ackedSentTick = max(p.ackedSentTick, tick)
	p.ackedRound = max(p.ackedRound, round)
}

func (p *progress) becomeProbe(next uint64) {
	p.state, p.next, p.awaitingReply = stateProbe, next, false
	p.inflight, p.snapshot, p.offset = nil, nil, 0
}

func (p *progress) becomeReplicate() {
	p.state, p.next, p.awaitingReply = stateReplicate, p.match+1, false
	p.inflight, p.snapshot, p.offset = nil, nil, 0
}

func (p *progress) becomeSnapshot(s *Snapshot) {
	p.state, p.awaitingReply = stateSnapshot, false
	p.inflight, p.snapshot, p.offset = nil, s, 0
}

// updateMatch records, at tick, that the member has synced all entries up to index.
func (p *progress) updateMatch(index uint64, tick int) {
	if index > p.match {
		p.match, p.lastProgressTick = index, tick
	}
	p.next = max(p.next, p.match+1)
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
	if p.state == stateProbe && index >= p.match || p.state == stateSnapshot && p.match >= p.snapshot.Index {
		p.becomeReplicate()
	}
}

// idle reports whether no append or snapshot message is unanswered.
func (p *progress) idle() bool { return !p.awaitingReply && len(p.inflight) == 0 }

// paused reports whether nothing may be sent before the member replies.
func (p *progress) paused(maxInflight int) bool {
	if p.state == stateReplicate {
		return len(p.inflight) >= maxInflight
	}
	return p.awaitingReply
}
