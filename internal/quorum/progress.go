package quorum

// progressState is the mode in which the leader sends entries to a member.
type flow uint8

const (
	probing     flow = iota // the matching index is unknown; one message at a time
	replicating             // up to MaxInflight messages are sent without waiting for replies
	installing              // a snapshot is sent, one chunk at a time
)

// neverAcked is the ackedSentTick of a member that has not replied in this term.
const notHeard = -1

// progress tracks replication to one member. Invariants: match < next, and the
// member has synced every entry up to match.
type progress struct {
	match, next uint64
	flow        flow
	waiting     bool     // stateProbe, stateSnapshot: a message is unanswered
	inflight    []uint64 // stateReplicate: last index of each unanswered append

	snapshot *Snapshot // stateSnapshot: the snapshot being sent
	offset   uint64    // bytes of snapshot data that the member has received

	movedTick  int // tick at which match last advanced or sending resumed after being idle
	ackedTick  int // tick at which the latest answered message was sent
	ackedRound uint64
}

func newProgress(last uint64) *progress {
	return &progress{next: last + 1, ackedTick: notHeard}
}

// recordReply records a reply to a message that was sent at tick in round.
func (p *progress) contact(tick int, round uint64) {
	p.ackedTick = max(p.ackedTick, tick)
	p.ackedRound = max(p.ackedRound, round)
}

func (p *progress) probe(next uint64) {
	p.flow, p.next, p.waiting = probing, next, false
	p.inflight, p.snapshot, p.offset = nil, nil, 0
}

func (p *progress) replicate() {
	p.flow, p.next, p.waiting = replicating, p.match+1, false
	p.inflight, p.snapshot, p.offset = nil, nil, 0
}

func (p *progress) install(s *Snapshot) {
	p.flow, p.waiting = installing, false
	p.inflight, p.snapshot, p.offset = nil, s, 0
}

// updateMatch records, at tick, that the member has synced all entries up to index.
func (p *progress) acked(index uint64, tick int) {
	if index > p.match {
		p.match, p.movedTick = index, tick
	}
	p.next = max(p.next, p.match+1)
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
	if p.flow == probing && index >= p.match || p.flow == installing && p.match >= p.snapshot.Index {
		p.replicate()
	}
}

// idle reports whether no append or snapshot message is unanswered.
func (p *progress) resting() bool { return !p.waiting && len(p.inflight) == 0 }

// paused reports whether nothing may be sent before the member replies.
func (p *progress) blocked(maxInflight int) bool {
	if p.flow == replicating {
		return len(p.inflight) >= maxInflight
	}
	return p.waiting
}
