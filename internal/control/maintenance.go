package control

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/quorum"
	"pearmoor/internal/vm"
)

// MaintenanceConfig configures the leader's automatic changes of the group: it promotes new
// members and removes replaced and lost ones without an operator.
type MaintenanceConfig struct {
	// MinVoters is the number of responsive voters that must remain before a silent
	// voter is removed. It should be 2n+1 to tolerate the loss of n disks at once. 0
	// disables automatic maintenance.
	MinVoters int
	// RemoveSilentAfter is how long a voter must have been silent before it is removed,
	// provided that at least MinVoters other voters respond.
	RemoveSilentAfter time.Duration
}

const (
	maintenanceInterval = 100 * time.Millisecond
	// learnerTimeout is how long a learner may be silent before it is removed.
	learnerTimeout = 10 * time.Second
)

// Join implements wire.DRPCQuorumServer. It adds a VM with an empty data folder to the
// group as a learner, under a member ID that was never used. A repeated request from the
// same disk returns the same ID, so a retry after a lost reply adds no second member.
func (s *quorumServer) Join(ctx context.Context, req *wire.JoinRequest) (*wire.JoinReply, error) {
	if err := s.checkGroup(req.Group, "a request to join", req.PeerAddr); err != nil {
		return nil, err
	}
	if offer := s.offerPlace(ctx, req.PeerAddr); offer != nil {
		klog.Infof("control: the founder %s at %s starts with an empty disk, before the group of %v is founded", req.Name, req.PeerAddr, offer.Founders)
		return offer, nil
	}
	op := operatorServer{s.Node}
	redirect, err := op.leaderRedirect()
	if err != nil || redirect != "" {
		return &wire.JoinReply{Redirect: redirect}, err
	}
	conf := s.leadership.Load().conf
	for _, m := range conf.GetMembers() {
		if m.Disk == req.Disk {
			return &wire.JoinReply{Id: m.Id, Control: s.leadership.Load().controlAddrs(), Group: s.GroupID().Wire()}, nil
		}
	}
	m := &quorum.Member{Id: conf.GetMaxId() + 1, Disk: req.Disk, Name: req.Name, PeerAddr: req.PeerAddr}
	if err := s.proposeConf(ctx, quorum.ConfChange{Op: quorum.AddLearner, Member: m}); err != nil {
		klog.Warningf("control: adding %s at %s to the group failed: %v", req.Name, req.PeerAddr, err)
		return &wire.JoinReply{}, nil
	}
	klog.Infof("control: %s at %s joins as member %d", req.Name, req.PeerAddr, m.Id)
	return &wire.JoinReply{Id: m.Id, Control: s.leadership.Load().controlAddrs(), Group: s.GroupID().Wire()}, nil
}

// groupMaintainer holds the state of the leader's group maintenance between two checks.
type groupMaintainer struct {
	*Node
	term        uint64
	silentSince map[uint64]vm.Instant // start of the silence of each silent member, by ID
}

// runMaintenance promotes learners that have caught up and removes members that are
// superseded or lost, one membership change at a time.
//
// A lost disk or a replaced VM leaves a voter in the group that never answers again. Until
// that voter is removed, the group tolerates one failure less than intended: with three
// voters, the next failure blocks all changes.
func (n *Node) runMaintenance(ctx context.Context) {
	if n.cfg.Maintenance.MinVoters == 0 {
		return
	}
	g := &groupMaintainer{Node: n}
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		lead := n.leadership.Load()
		if !lead.confirmed(n.cfg.Clock()) {
			continue
		}
		if lead.term != g.term || g.silentSince == nil {
			g.term, g.silentSince = lead.term, make(map[uint64]vm.Instant)
		}
		g.updateSilence(lead, n.cfg.Clock())
		if step, reason := g.nextStep(lead, n.cfg.Clock()); step != nil {
			g.proposeStep(ctx, *step, reason)
		}
	}
}

func (g *groupMaintainer) proposeStep(ctx context.Context, step quorum.ConfChange, why string) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	err := g.proposeConf(ctx, step)
	klog.Infof("control: %v of member %d at %s, because %s: %v", step.Op, step.Member.Id, step.Member.PeerAddr, why, resultText(err))
}

func resultText(err error) string {
	if err == nil {
		return "done"
	}
	return err.Error()
}

// updateSilence updates which members are silent, that is, were not heard from within an
// election timeout.
func (g *groupMaintainer) updateSilence(lead *leadership, now vm.Instant) {
	ticks := g.driver.electionTicks()
	for _, m := range lead.conf.GetMembers() {
		if contactAge(&lead.status, m.Id, ticks) < ticks {
			delete(g.silentSince, m.Id)
		} else if _, known := g.silentSince[m.Id]; !known {
			g.silentSince[m.Id] = now
		}
	}
}

func (g *groupMaintainer) silentFor(id uint64, now vm.Instant) time.Duration {
	since, ok := g.silentSince[id]
	if !ok {
		return 0
	}
	return now.Sub(since)
}

// nextStep returns the membership change that is due and the reason for it, or nil.
func (g *groupMaintainer) nextStep(lead *leadership, now vm.Instant) (*quorum.ConfChange, string) {
	if !lead.status.ConfCommitted {
		return nil, ""
	}
	caughtUp := make(map[uint64]bool)
	for _, p := range lead.status.Peers {
		caughtUp[p.ID] = p.CaughtUp && g.silentFor(p.ID, now) == 0
	}
	members := lead.conf.GetMembers()
	for _, m := range members {
		if m.Learner && caughtUp[m.Id] && !isSuperseded(members, m) {
			return &quorum.ConfChange{Op: quorum.Promote, Member: m}, "it has caught up"
		}
	}
	for _, m := range members {
		if m.Id == lead.status.ID {
			continue
		}
		if why := g.removalReason(lead, m, now); why != "" {
			return &quorum.ConfChange{Op: quorum.Remove, Member: m}, why
		}
	}
	return nil, ""
}

// removalReason returns why m should be removed, or "" if it should not.
func (g *groupMaintainer) removalReason(lead *leadership, m *quorum.Member, now vm.Instant) string {
	members := lead.conf.GetMembers()
	if m.Learner {
		if isSuperseded(members, m) {
			return "a later disk of the same VM has joined"
		}
		if g.silentFor(m.Id, now) > learnerTimeout {
			return "it asked to join and has been silent since"
		}
		return ""
	}
	if isSupersededByVoter(members, m) {
		return "a later disk of the same VM votes"
	}
	if g.silentFor(m.Id, now) < g.cfg.Maintenance.RemoveSilentAfter {
		return ""
	}
	responsive := 0
	for _, other := range members {
		if !other.Learner && g.silentFor(other.Id, now) == 0 {
			responsive++
		}
	}
	if responsive < g.cfg.Maintenance.MinVoters {
		return ""
	}
	return "it is silent and enough others vote"
}

// supersedes reports whether newer is a later member on the same VM as older. Founders are
// recorded without a name, so an equal address also identifies the VM.
func supersedes(newer, older *quorum.Member) bool {
	same := newer.PeerAddr == older.PeerAddr || newer.Name != "" && newer.Name == older.Name
	return same && newer.Id > older.Id
}

// isSuperseded reports whether any member supersedes m.
func isSuperseded(members []*quorum.Member, m *quorum.Member) bool {
	return slices.ContainsFunc(members, func(o *quorum.Member) bool { return supersedes(o, m) })
}

// isSupersededByVoter reports whether a member that votes supersedes m.
func isSupersededByVoter(members []*quorum.Member, m *quorum.Member) bool {
	return slices.ContainsFunc(members, func(o *quorum.Member) bool { return !o.Learner && supersedes(o, m) })
}
