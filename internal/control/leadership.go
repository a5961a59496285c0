package control

import (
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"pearmoor/internal/quorum"
	"pearmoor/internal/quorum/quorumpb"
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

var (
	termGauge    = metrics.GetOrRegisterGauge("control.quorum.term", metrics.DefaultRegistry)
	leaderGauge  = metrics.GetOrRegisterGauge("control.quorum.leads", metrics.DefaultRegistry)
	appliedGauge = metrics.GetOrRegisterGauge("control.quorum.applied", metrics.DefaultRegistry)
)

func (l *leadership) publishMetrics() {
	termGauge.Update(int64(l.term))
	appliedGauge.Update(int64(l.status.Applied))
	leads := int64(0)
	if l.self {
		leads = 1
	}
	leaderGauge.Update(leads)
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
	if role := l.status.Role; role != old.status.Role || l.term != old.term {
		klog.Infof("control: role=%v term=%d leader=%d, before role=%v term=%d leader=%d", role, l.term, l.leader, old.status.Role, old.term, old.leader)
	}
	n.lead.Store(l)
	l.publishMetrics()
	n.reportRefusal(old, l)
	if old.self && old.lost != l.lost {
		close(old.lost)
	}
	if l.conf != old.conf {
		for _, m := range l.conf.GetMembers() {
			n.links.learn(m.Id, m.PeerAddr)
		}
	}
}

// reportRefusal tells the operator when the group does not take this VM for the
// member whose id it has: its disk was replaced, or it was removed.
func (n *Node) reportRefusal(old, l *leadership) {
	if why := l.status.Refused; why != old.status.Refused && why != quorumpb.Refusal_NONE {
		klog.Errorf("control: the group refuses this VM as member %d (%v); start it on an empty folder with an id never used, and add it to the group", n.cfg.ID, why)
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
