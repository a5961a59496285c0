package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/vm"
)

// Errors for a request that a relay refuses.
var (
	errNoHeartbeat     = errors.New("relay: a sync request needs a heartbeat; send the daemon's own first")
	errTooManyChildren = errors.New("relay: too many daemons sync here; use another relay or control")
)

// statelessHoldTime is how long a call is held by a daemon that has no state itself.
// In a restart of all VMs a daemon may contact another one that has just started, too;
// if its call were held there for an interval of 0.5 s, it would learn of the leader
// that much later. With a shorter hold time children contact the leader before their
// relay has an answer: 300 daemons made 585 calls in the first second with 200 ms or
// an interval, 639 with 100 ms, 801 with none.
const statelessHoldTime = 200 * time.Millisecond

// Server returns the server for the daemons that use this one as a relay. It forwards
// their heartbeats and grants no leases of its own.
func (c *Client) Server() wire.DRPCSpreadServer { return &server{client: c} }

type server struct {
	client   *Client
	expander HeartbeatExpander
}

// Sync implements wire.DRPCSpreadServer.
func (s *server) Sync(ctx context.Context, req *wire.SyncRequest) (*wire.SyncReply, error) {
	c := s.client
	arrived := c.cfg.Clock()
	v := c.Current()
	if c.groupGuard.Refuses(v.Group, vm.GroupID(req.GetGroup()), "a sync", SenderName(req)) {
		return &wire.SyncReply{Group: v.Group.Wire()}, nil
	}
	hbs, unknown := s.expander.Expand(req, v.Settled, v.Pending)
	if unknown {
		return &wire.SyncReply{Resend: true, Group: v.Group.Wire()}, nil
	}
	own := SenderHeartbeat(req, hbs)
	if own == nil {
		return nil, errNoHeartbeat
	}
	if err := peer.CheckSender(ctx, own.GetVm().GetName()); err != nil {
		return nil, err
	}
	urgent := false
	for _, hb := range hbs {
		u, ok := c.children.recordHeartbeat(hb, arrived)
		if !ok {
			return nil, errTooManyChildren
		}
		urgent = urgent || u
	}
	if urgent {
		c.requestPush()
	}
	hold := min(time.Duration(req.GetWaitMs())*time.Millisecond, c.heartbeatInterval())
	if v.Tree == nil {
		hold = min(hold, statelessHoldTime)
	}
	s.waitForNews(ctx, req, hbs, arrived, hold)
	reply := &wire.SyncReply{}
	// Fill in the grants before the state. A grant must never be newer than the state
	// sent with it, or the child would use shares that it no longer has.
	s.fillGrants(reply, hbs, arrived)
	c.history.FillReply(req, reply)
	reply.Group = c.Current().Group.Wire()
	return reply, nil
}

// SenderName returns the name of the daemon that sent req, for the log.
func SenderName(req *wire.SyncRequest) string {
	if hbs := req.GetHeartbeats(); len(hbs) > 0 {
		return hbs[0].GetVm().GetName()
	}
	return "a daemon"
}

// waitForNews waits until there is something to reply: newer state, a grant for a
// sender whose grant has expired or is about to, the loss of this relay's own
// upstream, or the end of the requested hold time.
func (s *server) waitForNews(ctx context.Context, req *wire.SyncRequest, hbs []*wire.Heartbeat, arrived vm.Instant, d time.Duration) {
	c := s.client
	timer := time.NewTimer(d)
	defer timer.Stop()
	grants, _ := c.children.grantsOf(hbs)
	needsGrant := anyExpiring(grants, arrived)
	for {
		state, news := c.history.State()
		grants, granted := c.children.grantsOf(hbs)
		if state.NewerThan(req) || c.isCutOff() || (needsGrant && !anyExpiring(grants, arrived)) {
			return
		}
		select {
		case <-news:
		case <-granted:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func anyExpiring(grants []grant, now vm.Instant) bool {
	for _, g := range grants {
		if g.lease == 0 || g.remaining(now) < g.lease/2 {
			return true
		}
	}
	return false
}

// isCutOff reports whether no leader has confirmed this daemon for two intervals plus
// the longest time for which a lost call goes unnoticed.
func (c *Client) isCutOff() bool {
	limit := 2*c.heartbeatInterval() + replyMargin
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.ConfirmedAt != 0 && c.cfg.Clock().Sub(c.view.ConfirmedAt) > limit
}

// fillGrants adds the leader's grants to the reply. The child counts its lease from
// when it sent the request, which was before the request arrived here. The age of a
// grant is the time from its start to the arrival of the request.
//
// A relay that is cut off adds none, although its grants have not expired: with them a child
// would stay here and miss changes.
func (s *server) fillGrants(r *wire.SyncReply, hbs []*wire.Heartbeat, arrived vm.Instant) {
	if s.client.isCutOff() {
		return
	}
	grants, _ := s.client.children.grantsOf(hbs)
	for i, g := range grants {
		if g.lease == 0 {
			r.Refused = append(r.Refused, hbs[i].GetVm().GetName())
			continue
		}
		age := uint32(max(0, arrived.Sub(g.start)).Milliseconds() + 1)
		r.Granted = true
		r.AgeMs = max(r.AgeMs, age)
		if lease := uint32(g.lease.Milliseconds()); r.LeaseMs == 0 || lease < r.LeaseMs {
			r.LeaseMs = lease
		}
	}
}
