package query

import (
	"context"
	"time"

	"pearmoor/internal/contract"
	"pearmoor/internal/link/wire"
)

// homeServer answers the calls of entries on other daemons.
type homeServer struct{ e *Engine }

// Home returns the DRPC service that other daemons call to reach this daemon as a home.
func (e *Engine) Home() wire.DRPCHomeServer { return homeServer{e} }

func (s homeServer) Query(ctx context.Context, w *wire.SubQuery) (*wire.SubAnswer, error) {
	q := subqueryFromWire(w)
	if !s.e.work.start() {
		return refusedAnswer(contract.ReasonDraining, drainingRetryAfter).toWire(q), nil
	}
	defer s.e.work.end()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(w.DeadlineMs)*time.Millisecond)
	defer cancel()
	return s.e.serve(ctx, s.e.currentView(), q).toWire(q), nil
}

func (s homeServer) Describe(_ context.Context, w *wire.DescribeRequest) (*wire.DescribeReply, error) {
	reply := &wire.DescribeReply{}
	st := s.e.currentView()
	for _, g := range w.Groups {
		versions := &wire.GroupVersions{}
		if st != nil {
			if eff, ok := st.Effective(g.Service); ok {
				versions.Versions = versionsToWire(versionStates(s.e.snapshots(leafGroup{g.Service, int(g.Group)}, eff)))
				versions.Waiting = uint32(s.e.homeStateFor(g.Service, eff).shardsInFlight.Load())
			}
		}
		reply.Groups = append(reply.Groups, versions)
	}
	return reply, nil
}

func (s homeServer) Keyed(ctx context.Context, w *wire.KeyedQuery) (*wire.KeyedAnswer, error) {
	return s.e.serveKeyed(ctx, w), nil
}
