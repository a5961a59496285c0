package quorum

// flow is how the leader sends to one member.
type flow uint8

const (
	probing     flow = iota // where the logs match isn't known: one message until it answers
	replicating             // a window of messages is sent ahead of the answers
	installing              // a snapshot is sent, one piece until it answers
)

// notHeard is the tick of a member that has not answered in this term.
const notHeard = -1

// progress is what the leader knows of one member. Invariant: match < next, and
// every entry up to match is synced there.
type progress struct {
	match, next uint64
	flow        flow
	waiting     bool     // probing, installing: a message is out
	inflight    []uint64 // replicating: last index of each unanswered append

	snapshot *Snapshot // installing
	offset   uint64    // bytes of snapshot data held by the member

	movedTick  int // when match last moved, or something was sent after a rest
	ackedTick  int // when the newest message it answered was sent
	ackedRound uint64
}

func newProgress(last uint64) *progress {
	return &progress{next: last + 1, ackedTick: notHeard}
}

// contact notes that the member answered a message sent at tick in round.
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

// acked notes at tick that everything up to index is synced there.
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

// resting reports whether no answer to entries or a snapshot is waited for.
func (p *progress) resting() bool { return !p.waiting && len(p.inflight) == 0 }

// blocked reports whether nothing may be sent before an answer comes.
func (p *progress) blocked(maxInflight int) bool {
	if p.flow == replicating {
		return len(p.inflight) >= maxInflight
	}
	return p.waiting
}
