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
	backfillInterval   = time.Second
	maxBackfillRecords = 500     // records requested in one call
	maxBackfillBytes   = 2 << 20 // size of one reply, which always holds at least one record
	backfillTimeout    = 5 * time.Second
)

// Trail implements wire.DRPCQuorumServer. It serves the audit records that this VM
// holds on disk and in memory, whether or not it is the leader. Only records of
// changes that are in force everywhere are returned.
func (s *quorumServer) Trail(_ context.Context, req *wire.TrailRequest) (*wire.TrailReply, error) {
	records, err := s.records(max(req.FromVersion, 1), min(int(req.Limit), maxBackfillRecords))
	if err != nil {
		return nil, err
	}
	reply, size := &wire.TrailReply{}, 0
	for _, r := range records {
		size += proto.Size(r)
		if r.InForceUnixMs == 0 || (size > maxBackfillBytes && len(reply.Records) > 0) {
			break
		}
		reply.Records = append(reply.Records, r)
	}
	return reply, nil
}

// trailGap returns the range of versions whose records are neither in the audit
// trail nor in the replicated state. A VM that joined by a snapshot starts with the
// newest records only. If the older ones were not fetched from other members, the
// group would lose them once every original VM has been replaced.
func (n *Node) trailGap() (from, to uint64, ok bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.trailGapLocked()
}

// trailGapLocked is trailGap for callers that hold n.mu.
func (n *Node) trailGapLocked() (from, to uint64, ok bool) {
	from, first := n.trail.Last()+1, n.state.FirstRecord()
	return from, first - 1, from < first
}

// runBackfill fetches records that the audit trail lacks from the other control VMs
// until ctx is done.
func (n *Node) runBackfill(ctx context.Context) {
	ticker := time.NewTicker(backfillInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for ctx.Err() == nil {
			from, to, ok := n.trailGap()
			if !ok || !n.fillTrailGap(ctx, from, to) {
				break
			}
		}
	}
}

// fillTrailGap appends the records of versions from..to that other members hold,
// oldest first, and reports whether the trail advanced. Versions are skipped for good
// only when every other member has answered that it lacks them.
func (n *Node) fillTrailGap(ctx context.Context, from, to uint64) bool {
	conf := n.leadership.Load().conf
	if findMember(conf, n.cfg.ID) == nil {
		return false // the other members are not known yet
	}
	oldest, allAnswered := n.fetchOldestRecords(ctx, conf, from)
	if len(oldest) > 0 && oldest[0].Version == from {
		return n.appendTrail(ctx, oldest, to, 0)
	}
	if !allAnswered {
		return false
	}
	lostUpTo := to
	if len(oldest) > 0 {
		lostUpTo = min(to, oldest[0].Version-1)
	}
	klog.Warningf("control: audit records of versions %d to %d are lost: no control VM holds them", from, lostUpTo)
	return n.appendTrail(ctx, oldest, to, lostUpTo)
}

// fetchOldestRecords asks the other members for records starting at version from and
// returns the batch that starts at the lowest version. allAnswered is false if a call
// to any member failed.
func (n *Node) fetchOldestRecords(ctx context.Context, conf *quorum.Conf, from uint64) (oldest []*wire.AuditRecord, allAnswered bool) {
	allAnswered = true
	for _, m := range conf.GetMembers() {
		if m.Id == n.cfg.ID {
			continue
		}
		records, err := n.fetchRecords(ctx, m.PeerAddr, from)
		if err != nil {
			klog.V(1).Infof("control: fetching audit records from control VM %d failed: %v", m.Id, err)
			allAnswered = false
			continue
		}
		if len(records) > 0 && (oldest == nil || records[0].Version < oldest[0].Version) {
			oldest = records
		}
		if oldest != nil && oldest[0].Version == from {
			break
		}
	}
	return oldest, allAnswered
}

func (n *Node) fetchRecords(ctx context.Context, addr string, from uint64) ([]*wire.AuditRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, backfillTimeout)
	defer cancel()
	conn, err := n.cfg.Conns.Conn(ctx, addr)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	r, err := wire.NewDRPCQuorumClient(conn).Trail(ctx, &wire.TrailRequest{FromVersion: from, Limit: maxBackfillRecords})
	return r.GetRecords(), err
}

// appendTrail appends records up to version to on the driver's goroutine, which owns
// the trail, and reports whether it has run. Versions up to lostUpTo are skipped.
func (n *Node) appendTrail(ctx context.Context, records []*wire.AuditRecord, to, lostUpTo uint64) bool {
	return n.driver.callAndWait(ctx, func() {
		n.trail.SkipTo(lostUpTo)
		for _, r := range records {
			if r.Version <= to {
				n.trail.Append(r)
			}
		}
		n.driver.lastFlush = 0 // makes the driver flush the trail after this call
		n.mu.RLock()
		defer n.mu.RUnlock()
		if _, _, gap := n.trailGapLocked(); !gap {
			n.appendInForceRecords()
			klog.Infof("control: the audit trail is whole again up to version %d", n.trail.Last())
		}
	})
}
