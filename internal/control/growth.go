package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"pearmoor/internal/link/peer"
	"pearmoor/internal/quorum"
	"pearmoor/internal/vm"
)

var (
	growthWaitTimer    = metrics.GetOrRegisterTimer("control.changes.growth_wait", metrics.DefaultRegistry)
	growthWaitsRefused = metrics.GetOrRegisterCounter("control.changes.refused_while_growing", metrics.DefaultRegistry)
)

var errGrowing = errors.New("control: the group is still growing to the size at which changes survive the stated losses; try again")

// waitUntilGrown waits until the group is large enough for a change to be acknowledged. After
// an error nothing was proposed.
func (n *Node) waitUntilGrown(ctx context.Context) error {
	lead := n.leadership.Load()
	if n.grown(lead) {
		return nil
	}
	start := n.cfg.Clock()
	klog.Infof("control: a change waits for the group to grow, voters=%d wanted=%d unchanged=%v", votingVMs(lead.conf), n.cfg.Growth.MinVoters, lead.unchangedFor(start))
	for !n.grown(lead) {
		if !lead.isLeader {
			return errLeadershipLost
		}
		select {
		case <-ctx.Done():
			growthWaitsRefused.Inc(1)
			return peer.Retryable(errors.Wrapf(errGrowing, "voters=%d wanted=%d", votingVMs(lead.conf), n.cfg.Growth.MinVoters))
		case <-lead.steppedDown:
		case <-time.After(maintenanceInterval):
		}
		lead = n.leadership.Load()
	}
	waited := n.cfg.Clock().Sub(start)
	growthWaitTimer.Update(waited)
	if voters := votingVMs(lead.conf); voters < n.cfg.Growth.MinVoters {
		klog.Warningf("control: no VM has joined the group for %v, changes are accepted with voters=%d wanted=%d; fewer disks may be lost than stated", lead.unchangedFor(n.cfg.Clock()), voters, n.cfg.Growth.MinVoters)
	} else {
		klog.Infof("control: the group accepts changes, voters=%d waited=%v", voters, waited)
	}
	return nil
}

// grown reports whether the group that this VM leads accepts changes. A membership that is not
// committed yet counts: what is proposed after it is committed after it.
func (n *Node) grown(lead *leadership) bool {
	return lead.isLeader && n.cfg.Growth.Accepts(votingVMs(lead.conf), lead.unchangedFor(n.cfg.Clock()))
}

// votingVMs returns the number of VMs that vote. A VM that votes with a new disk counts once,
// although its former disk is a member until it is removed.
func votingVMs(conf *quorum.Conf) int {
	voters := 0
	members := conf.GetMembers()
	for _, m := range members {
		if !m.Learner && !isSupersededByVoter(members, m) {
			voters++
		}
	}
	return voters
}

// unchangedFor returns how long ago the members of the group changed, or this VM began to lead.
func (l *leadership) unchangedFor(now vm.Instant) time.Duration { return now.Sub(l.confSince) }
