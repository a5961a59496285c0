package quarantine

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"

	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/vm"
)

// callTimeout bounds one call to a control VM.
const callTimeout = time.Second

// RemoteLeader reaches the leader of the control group over the network. It implements
// Leader.
type RemoteLeader struct {
	Conns interface {
		Conn(ctx context.Context, addr string) (drpc.Conn, error)
	}
	// ControlAddrs returns the addresses of the control VMs to ask, best first.
	ControlAddrs func() []string
	// Group returns the control group that this daemon follows.
	Group func() vm.GroupID
}

// Report implements Leader.
func (l *RemoteLeader) Report(ctx context.Context, reports []*Report) error {
	req := &wire.CrashReports{Reports: make([]*wire.CrashReport, len(reports)), Group: l.Group().Wire()}
	for i, r := range reports {
		req.Reports[i] = &wire.CrashReport{
			Fingerprints: r.Fingerprints.ToWire(), Requests: r.Descriptions[:], LeafEnds: uint32(r.LeafExits), Survived: r.Answered,
			BeganMs: uint32(r.Age.Milliseconds()),
		}
	}
	return l.callLeader(ctx, func(ctx context.Context, c wire.DRPCQuarantineClient) (string, error) {
		out, err := c.Report(ctx, req)
		return out.GetRedirect(), err
	})
}

// Try implements Leader.
func (l *RemoteLeader) Try(ctx context.Context, f Fingerprint) (Grant, error) {
	grant := Denied
	err := l.callLeader(ctx, func(ctx context.Context, c wire.DRPCQuarantineClient) (string, error) {
		out, err := c.Trial(ctx, &wire.TrialRequest{Fingerprint: f[:], Group: l.Group().Wire()})
		grant = Grant(min(out.GetGrant(), uint32(Granted)))
		return out.GetRedirect(), err
	})
	return grant, err
}

// Release implements Leader.
func (l *RemoteLeader) Release(ctx context.Context, f Fingerprint) error {
	return l.callLeader(ctx, func(ctx context.Context, c wire.DRPCQuarantineClient) (string, error) {
		out, err := c.Trial(ctx, &wire.TrialRequest{Fingerprint: f[:], Release: true, Group: l.Group().Wire()})
		return out.GetRedirect(), err
	})
}

// callLeader calls the control VMs in turn until the leader has answered.
func (l *RemoteLeader) callLeader(ctx context.Context, call func(context.Context, wire.DRPCQuarantineClient) (redirect string, err error)) error {
	lastErr := errors.New("quarantine: no control VM is known")
	answered := peer.TryEach(ctx, l.ControlAddrs(), func(addr string) (string, bool) {
		redirect, err := l.callOne(ctx, addr, call)
		if err != nil {
			lastErr = err
		}
		return redirect, err == nil && redirect == ""
	})
	if answered {
		return nil
	}
	return errors.CombineErrors(lastErr, ctx.Err())
}

func (l *RemoteLeader) callOne(ctx context.Context, addr string, call func(context.Context, wire.DRPCQuarantineClient) (string, error)) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := l.Conns.Conn(ctx, addr)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	return call(ctx, wire.NewDRPCQuarantineClient(conn))
}
