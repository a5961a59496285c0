package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/quorum"
	"pearmoor/internal/vm"
)

const (
	confRetryInterval = 100 * time.Millisecond
	helloTimeout      = 2 * time.Second
)

// Group implements wire.DRPCControlServer. It adds one VM to the control group or
// removes one. A resend of a request that was already carried out succeeds at once.
func (s *operatorServer) Group(ctx context.Context, req *wire.GroupRequest) (*wire.GroupReply, error) {
	redirect, err := s.leaderRedirect()
	if err != nil || redirect != "" {
		return &wire.GroupReply{Redirect: redirect}, err
	}
	switch req.Op {
	case wire.GroupOp_GROUP_ADD:
		err = s.addMember(ctx, req)
	case wire.GroupOp_GROUP_REMOVE:
		err = s.removeMember(ctx, req.Id)
	default:
		err = errors.Newf("control: op=%v is unknown; use GROUP_ADD or GROUP_REMOVE", req.Op)
	}
	if isTransient(err) {
		redirect, _ := s.leaderRedirect()
		if redirect == "" {
			return nil, err
		}
		return &wire.GroupReply{Redirect: redirect}, nil
	}
	reply := &wire.GroupReply{Done: err == nil, Group: s.groupStatus()}
	if err != nil {
		reply.Error = err.Error()
	}
	return reply, nil
}

// isTransient reports whether err means that nothing was proposed because leadership
// has moved or is not ready. The request itself may be valid, so a retry may succeed.
func isTransient(err error) bool {
	var refused *quorum.ConfError
	return err != nil && peer.IsRetryable(err) && !errors.As(err, &refused)
}

// addMember adds a learner and makes it a voter once it has caught up.
func (n *Node) addMember(ctx context.Context, req *wire.GroupRequest) error {
	m, err := n.fetchMember(ctx, req)
	if err != nil {
		return err
	}
	if existing := findMember(n.leadership.Load().conf, m.Id); existing == nil {
		err = n.proposeConfWithRetry(ctx, quorum.ConfChange{Op: quorum.AddLearner, Member: m})
	} else if existing.Disk != m.Disk {
		err = errors.Newf("control: id=%d is already in use by another disk; remove it and start the VM with a new id", m.Id)
	} else if !existing.Learner {
		return nil
	}
	if err != nil {
		return err
	}
	return n.proposeConfWithRetry(ctx, quorum.ConfChange{Op: quorum.Promote, Member: m})
}

// fetchMember asks the VM that is to be added for its identity. The group binds a member
// ID to the disk that the VM reports, so that the ID is never used with another disk.
func (n *Node) fetchMember(ctx context.Context, req *wire.GroupRequest) (*quorum.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	conn, err := n.cfg.Conns.Conn(ctx, req.PeerAddr)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	hello, err := wire.NewDRPCQuorumClient(conn).Hello(ctx, &wire.HelloRequest{})
	if err != nil {
		return nil, errors.Wrapf(err, "control: peer_addr=%s does not answer as a control VM", req.PeerAddr)
	}
	if n.groupGuard.Refuses(n.GroupID(), vm.GroupID(hello.Group), "a new member", req.PeerAddr) {
		return nil, errors.Newf("control: the VM at %s belongs to group %s, this is group %s; start it on an empty folder", req.PeerAddr, vm.GroupID(hello.Group), n.GroupID())
	}
	if req.Id != 0 && req.Id != hello.Id {
		return nil, errors.Newf("control: id=%d, but the VM at %s calls itself %d; use its id", req.Id, req.PeerAddr, hello.Id)
	}
	name := req.Name
	if name == "" {
		name = hello.Name
	}
	return &quorum.Member{Id: hello.Id, Disk: hello.Disk, Name: name, PeerAddr: req.PeerAddr}, nil
}

func (n *Node) removeMember(ctx context.Context, id uint64) error {
	conf := n.leadership.Load().conf
	if findMember(conf, id) == nil {
		if id <= conf.GetMaxId() {
			return nil // already removed
		}
		return errors.Newf("control: id=%d is no member of the control group; see the status for those that are", id)
	}
	return n.proposeConfWithRetry(ctx, quorum.ConfChange{Op: quorum.Remove, Member: &quorum.Member{Id: id}})
}

// proposeConfWithRetry proposes a membership change and retries while the group is not
// ready for it: the member has not caught up, another change is pending, or the leader
// is not ready.
func (n *Node) proposeConfWithRetry(ctx context.Context, c quorum.ConfChange) error {
	for {
		err := n.proposeConf(ctx, c)
		retryable := errors.Is(err, quorum.ErrNotCaughtUp) || errors.Is(err, quorum.ErrConfPending) || errors.Is(err, quorum.ErrNotReady)
		if !retryable {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(err, "control: gave up; the step %v of member %d can be asked for again", c.Op, c.Member.GetId())
		case <-time.After(confRetryInterval):
		}
	}
}

func findMember(conf *quorum.Conf, id uint64) *quorum.Member {
	for _, m := range conf.GetMembers() {
		if m.Id == id {
			return m
		}
	}
	return nil
}

// groupStatus returns the members of the control group as known to this VM.
func (n *Node) groupStatus() []*wire.ControlVm {
	l := n.leadership.Load()
	match := map[uint64]uint64{l.status.ID: l.status.LastIndex}
	for _, p := range l.status.Peers {
		match[p.ID] = p.Match
	}
	var out []*wire.ControlVm
	for _, m := range l.conf.GetMembers() {
		out = append(out, &wire.ControlVm{
			Id: m.Id, Name: n.memberName(m), PeerAddr: m.PeerAddr, Voter: !m.Learner,
			Leader: m.Id == l.leader, MatchIndex: match[m.Id],
		})
	}
	return out
}

// memberName returns a member's name. Founders are recorded in the group without a
// name, because each founder knows only its own name at the start. Their names are taken
// from the messages that they send.
func (n *Node) memberName(m *quorum.Member) string {
	switch {
	case m.Name != "":
		return m.Name
	case m.Id == n.cfg.ID:
		return n.cfg.Name
	}
	return n.transport.name(m.Id)
}
