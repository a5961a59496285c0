package control

import (
	"context"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/quorum"
)

// quorumServer serves calls from the other control VMs.
type quorumServer struct{ *Node }

// Deliver implements wire.DRPCQuorumServer. It drops messages while the driver's queue
// is full; the quorum machine tolerates message loss. It refuses those of another group,
// whose member IDs may be the same as this group's.
func (s *quorumServer) Deliver(_ context.Context, in *wire.QuorumMessage) (*wire.QuorumAck, error) {
	if err := s.checkGroup(in.Group, "messages of the quorum", in.FromAddr); err != nil {
		return nil, err
	}
	s.transport.setAddr(in.From, in.FromAddr)
	s.transport.setName(in.From, in.FromName)
	for _, b := range in.Payloads {
		m, err := quorum.Decode(b)
		if err != nil {
			return nil, err
		}
		select {
		case s.driver.inbox <- m:
		default:
		}
	}
	return &wire.QuorumAck{}, nil
}

// Hello implements wire.DRPCQuorumServer. It returns the identity of this VM.
func (s *quorumServer) Hello(context.Context, *wire.HelloRequest) (*wire.HelloReply, error) {
	return &wire.HelloReply{
		Id: s.cfg.ID, Disk: s.diskID, Name: s.cfg.Name, PeerAddr: s.cfg.PeerAddr,
		Member: memberAddr(s.leadership.Load().conf, s.cfg.ID) != "", Group: s.GroupID().Wire(),
	}, nil
}
