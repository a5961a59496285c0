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

// leadership is a snapshot of who leads the group, published by the driver. It must not be
// modified after setLeadership.
type leadership struct {
	term        uint64
	leader      uint64     // member ID of the leader; 0: unknown
	leaderAddr  string     // peer address of the leader; empty if unknown
	isLeader    bool       // whether this VM leads and has applied an entry of its own term
	activeUntil vm.Instant // until when no other leader can have been elected
	conf        *quorum.Conf
	confSince   vm.Instant // when conf was first seen by this VM in this leadership
	status      quorum.Status
	steppedDown chan struct{} // closed when this VM stops leading in the term
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
	if l.isLeader {
		leads = 1
	}
	leaderGauge.Update(leads)
}

// setLeadership publishes l. If this VM no longer leads in the previous term, it releases
// the calls that are held on behalf of that leadership.
func (n *Node) setLeadership(l *leadership) {
	old := n.leadership.Load()
	switch {
	case l.isLeader && old.isLeader && old.term == l.term:
		l.steppedDown = old.steppedDown
	case l.isLeader:
		l.steppedDown = make(chan struct{})
	}
	if l.conf == old.conf && l.isLeader == old.isLeader && l.term == old.term {
		l.confSince = old.confSince
	} else {
		l.confSince = n.cfg.Clock()
	}
	if role := l.status.Role; role != old.status.Role || l.term != old.term {
		klog.Infof("control: role=%v term=%d leader=%d, before role=%v term=%d leader=%d", role, l.term, l.leader, old.status.Role, old.term, old.leader)
	}
	n.leadership.Store(l)
	l.publishMetrics()
	n.logRefusal(old, l)
	if old.isLeader && old.steppedDown != l.steppedDown {
		close(old.steppedDown)
	}
	if l.conf != old.conf {
		for _, m := range l.conf.GetMembers() {
			n.transport.setAddr(m.Id, m.PeerAddr)
		}
	}
}

// logRefusal logs that the group no longer accepts this VM as the member whose ID it
// uses, because the disk was replaced or the member was removed.
func (n *Node) logRefusal(old, l *leadership) {
	if reason := l.status.Refusal; reason != old.status.Refusal && reason != quorumpb.Refusal_NONE {
		klog.Errorf("control: the group refuses this VM as member %d (%v); start it on an empty folder with an id never used, and add it to the group", n.cfg.ID, reason)
	}
}

// controlAddrs returns the peer addresses of the members of the control group.
func (l *leadership) controlAddrs() []string { return memberAddrs(l.conf) }

// confirmed reports whether this VM leads and no other VM can have been elected by now.
// A driver that is blocked, by a full disk or because the VM was paused, does not extend
// activeUntil, so RPC handlers on other goroutines stop relying on the leadership.
func (l *leadership) confirmed(now vm.Instant) bool { return l.isLeader && now < l.activeUntil }

// group returns the identity of the control group, or the zero value if none is committed.
func (l *leadership) group() vm.GroupID { return vm.GroupID(l.status.Group) }

// redirectAddr returns the leader's address if another VM leads, else "".
func (l *leadership) redirectAddr() string {
	if l.isLeader {
		return ""
	}
	return l.leaderAddr
}

// quorumActiveFor returns for how long after the last tick QuorumActive holds on the
// leader if it receives no further message from the voters.
func quorumActiveFor(st *quorum.Status, electionTicks int, tick time.Duration) time.Duration {
	if st.Role != quorum.Leader {
		return 0
	}
	contactAges := []int{}
	for _, m := range st.Conf.GetMembers() {
		if m.Learner {
			continue
		}
		contactAges = append(contactAges, contactAge(st, m.Id, electionTicks))
	}
	if len(contactAges) == 0 {
		return 0
	}
	slices.Sort(contactAges)
	quorumAge := contactAges[len(contactAges)/2] // a strict majority was heard from at most this many ticks ago
	return time.Duration(electionTicks*3/4-quorumAge) * tick
}

// contactAge returns the number of ticks since the leader last heard from a member: 0 for
// itself, noContactAge for a member that it has not heard from.
func contactAge(st *quorum.Status, id uint64, noContactAge int) int {
	if id == st.ID {
		return 0
	}
	for _, p := range st.Peers {
		if p.ID == id && p.AckAgeTicks >= 0 {
			return p.AckAgeTicks
		}
	}
	return noContactAge
}

// memberAddrs returns the peer addresses of the members in the order of their IDs.
func memberAddrs(conf *quorum.Conf) []string {
	var out []string
	for _, m := range conf.GetMembers() {
		out = append(out, m.PeerAddr)
	}
	return out
}

func memberAddr(conf *quorum.Conf, id uint64) string {
	for _, m := range conf.GetMembers() {
		if m.Id == id {
			return m.PeerAddr
		}
	}
	return ""
}
