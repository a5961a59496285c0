package control

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/quorum"
)

const (
	backfillEvery   = time.Second
	backfillRecords = 500     // asked for at once
	backfillBytes   = 2 << 20 // sent at once, but at least one record
	backfillTimeout = 5 * time.Second
)

// Trail implements wire.DRPCQuorumServer. It answers from this VM's own disk and
// memory, whoever leads.
func (s *quorumServer) Trail(_ context.Context, req *wire.TrailRequest) (*wire.TrailReply, error) {
	records, err := s.records(max(req.FromVersion, 1), min(int(req.Limit), backfillRecords))
	if err != nil {
		return nil, err
	}
	out, size := &wire.TrailReply{}, 0
	for _, r := range records {
		size += proto.Size(r)
		if r.InForceUnixMs == 0 || (size > backfillBytes && len(out.Records) > 0) {
			break
		}
		out.Records = append(out.Records, r)
	}
	return out, nil
}

// trailGap returns the versions that the trail lacks and the state no longer
// holds: a VM that joined by a snapshot has only the newest records. Without them
// a group whose VMs were replaced one by one over the years would have lost its
// trail.
func (n *Node) trailGap() (from, to uint64, ok bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.gap()
}

// gap is trailGap for callers that hold the lock.
func (n *Node) gap() (from, to uint64, ok bool) {
	from, first := n.trail.Last()+1, n.state.FirstRecord()
	return from, first - 1, from < first
}

// runBackfill fills gaps of the trail from other control VMs.
func (n *Node) runBackfill(ctx context.Context) {
	ticker := time.NewTicker(backfillEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for ctx.Err() == nil {
			from, to, ok := n.trailGap()
			if !ok || !n.fillGap(ctx, from, to) {
				break
			}
		}
	}
}

// fillGap appends what the other VMs hold of the versions from..to, oldest first,
// and reports whether that changed anything. Versions are given up only when
// every other member has answered that it lacks them.
func (n *Node) fillGap(ctx context.Context, from, to uint64) bool {
	conf := n.lead.Load().conf
	if conf == nil {
		return false
	}
	best, all := n.oldestRecords(ctx, conf, from)
	if len(best) > 0 && best[0].Version == from {
		return n.appendTrail(ctx, best, to, 0)
	}
	if !all {
		return false
	}
	missing := to
	if len(best) > 0 {
		missing = min(to, best[0].Version-1)
	}
	klog.Warningf("control: no control VM holds the audit records from version %d to %d any more", from, missing)
	return n.appendTrail(ctx, best, to, missing)
}

// oldestRecords asks the other members for records from a version on, and returns
// those that begin the earliest. all tells whether every member answered.
func (n *Node) oldestRecords(ctx context.Context, conf *quorum.Conf, from uint64) (best []*wire.AuditRecord, all bool) {
	all = true
	for _, m := range conf.GetMembers() {
		if m.Id == n.cfg.ID {
			continue
		}
		records, err := n.askTrail(ctx, m.PeerAddr, from)
		if err != nil {
			klog.V(1).Infof("control: no audit records from control VM %d: %v", m.Id, err)
			all = false
			continue
		}
		if len(records) > 0 && (best == nil || records[0].Version < best[0].Version) {
			best = records
		}
		if best != nil && best[0].Version == from {
			break
		}
	}
	return best, all
}

func (n *Node) askTrail(ctx context.Context, addr string, from uint64) ([]*wire.AuditRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, backfillTimeout)
	defer cancel()
	conn, err := n.cfg.Conns.Conn(ctx, addr)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	r, err := wire.NewDRPCQuorumClient(conn).Trail(ctx, &wire.TrailRequest{FromVersion: from, Limit: backfillRecords})
	return r.GetRecords(), err
}

// appendTrail hands records to the driver, which owns the trail. Versions up to
// missing are given up.
func (n *Node) appendTrail(ctx context.Context, records []*wire.AuditRecord, to, missing uint64) bool {
	done := make(chan struct{})
	err := n.driver.call(ctx, func() {
		defer close(done)
		n.trail.Skip(missing)
		for _, r := range records {
			if r.Version <= to {
				n.trail.Append(r)
			}
		}
		n.driver.flushed = 0 // the driver writes them when this call is done
		n.mu.RLock()
		defer n.mu.RUnlock()
		if _, _, gap := n.gap(); !gap {
			n.recordInForce()
			klog.Infof("control: the audit trail is whole again up to version %d", n.trail.Last())
		}
	})
	if err != nil {
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
	case <-n.stopped:
	}
	return false
}
