package control

import (
	"slices"
	"time"

	"pearmoor/internal/quorum"
	"pearmoor/internal/vm"
)

// leadership is what the driver last knew of who leads; it is immutable.
type leadership struct {
	term   uint64
	leader uint64 // 0: none known
	addr   string // the leader's peer address; empty if unknown
	self   bool   // this VM leads and has applied an entry of its term
	active vm.Instant
	conf   *quorum.Conf
	status quorum.Status
	lost   chan struct{} // closed when this VM stops leading in the term
}

// setLeadership shows l, and ends the calls held under a leadership that is over.
func (n *Node) setLeadership(l *leadership) {
	old := n.lead.Load()
	switch {
	case l.self && old.self && old.term == l.term:
		l.lost = old.lost
	case l.self:
		l.lost = make(chan struct{})
	}
	n.lead.Store(l)
	if old.self && old.lost != l.lost {
		close(old.lost)
	}
	if l.conf != old.conf {
		for _, m := range l.conf.GetMembers() {
			n.links.learn(m.Id, m.PeerAddr)
		}
	}
}

// controlAddrs returns the peer addresses of the control group.
func (l *leadership) controlAddrs() []string {
	var out []string
	for _, m := range l.conf.GetMembers() {
		out = append(out, m.PeerAddr)
	}
	return out
}

// confirmed reports whether this VM leads and no other can have been elected by
// now. A driver that hangs, on a full disk or a paused VM, stops renewing the
// instant, so that calls served beside it see the truth.
func (l *leadership) confirmed(now vm.Instant) bool { return l.self && now < l.active }

// redirect returns the leader's address if it is another VM.
func (l *leadership) redirect() string {
	if l.self {
		return ""
	}
	return l.addr
}

// activeFor returns how long after the last tick a leader may rely on its
// quorum: while QuorumActive would hold if nothing more was heard.
func activeFor(st *quorum.Status, electionTicks int, tick time.Duration) time.Duration {
	if st.Role != quorum.Leader {
		return 0
	}
	ages := []int{}
	for _, m := range st.Conf.GetMembers() {
		if m.Learner {
			continue
		}
		ages = append(ages, ageOf(st, m.Id, electionTicks))
	}
	if len(ages) == 0 {
		return 0
	}
	slices.Sort(ages)
	age := ages[len(ages)/2] // a strict majority is at most this old
	return time.Duration(electionTicks*3/4-age) * tick
}

func ageOf(st *quorum.Status, id uint64, never int) int {
	if id == st.ID {
		return 0
	}
	for _, p := range st.Peers {
		if p.ID == id && p.Age >= 0 {
			return p.Age
		}
	}
	return never
}

func addrOf(conf *quorum.Conf, id uint64) string {
	for _, m := range conf.GetMembers() {
		if m.Id == id {
			return m.PeerAddr
		}
	}
	return ""
}
