package control

import (
	"context"
	"slices"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/quorum"
)

// offerPlace answers a VM with an empty disk that asks for admission from the address of another
// founder while this VM's log binds no founder's disk. The result is nil in any other case.
//
// The machine is asked, not the published leadership: it may have gone on since.
func (n *Node) offerPlace(ctx context.Context, addr string) *wire.JoinReply {
	if n.cfg.Invited || addr == n.cfg.PeerAddr || !n.leadership.Load().status.Unbound {
		return nil
	}
	var st quorum.Status
	if !n.driver.callAndWait(ctx, func() { st = n.driver.machine.Status() }) || !st.Unbound {
		return nil
	}
	founders := memberAddrs(st.Conf)
	if !slices.Contains(founders, addr) {
		return nil
	}
	return &wire.JoinReply{Founders: founders, NoElection: st.Term == 0}
}

// offeredPlace returns the founders with which the VM at self may found a group in the place of
// the founder that it was before it lost its disk, given the offers by founder. The result is nil
// if a group may exist already. None does if
//   - a founder has taken part in no election, because the first leader needs all votes, or
//   - no other founder's log binds the founders' disks, because a majority of the logs has to.
//
// A group that is founded after the offers refuses the new disk under the founder's ID, as it
// has bound the lost one, and the VM joins under another ID.
func offeredPlace(self string, offers map[string]*wire.JoinReply) []string {
	var founders []string
	noElection := false
	for _, offer := range offers {
		if founders != nil && !slices.Equal(founders, offer.Founders) {
			return nil // of two groups
		}
		founders, noElection = offer.Founders, noElection || offer.NoElection
	}
	if !slices.Contains(founders, self) || len(founders) < 2 {
		return nil
	}
	unanimous := !slices.ContainsFunc(founders, func(addr string) bool { return addr != self && offers[addr] == nil })
	if noElection || unanimous {
		return founders
	}
	return nil
}
