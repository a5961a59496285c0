package entryvm

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/quarantine"
)

// reportTime bounds one try to hand reports to the leader.
const reportTime = time.Second

// quarantineLeader reaches the leader of the control group. It implements
// quarantine.Leader.
type quarantineLeader struct{ v *VM }

// Report implements quarantine.Leader.
func (l quarantineLeader) Report(ctx context.Context, reports []*quarantine.Report) error {
	req := &wire.CrashReports{Reports: make([]*wire.CrashReport, len(reports))}
	for i, r := range reports {
		out := &wire.CrashReport{
			Requests: r.Describe[:], LeafEnds: uint32(r.Ends), Survived: r.Survived, BeganMs: uint32(r.Began.Milliseconds()),
		}
		for _, f := range r.Request {
			out.Fingerprints = append(out.Fingerprints, f.Bytes())
		}
		req.Reports[i] = out
	}
	ctx, cancel := context.WithTimeout(ctx, reportTime)
	defer cancel()
	return l.ask(ctx, reportTime, func(ctx context.Context, c wire.DRPCControlClient) (string, error) {
		out, err := c.ReportCrashes(ctx, req)
		return out.GetRedirect(), err
	})
}

// Try implements quarantine.Leader.
func (l quarantineLeader) Try(ctx context.Context, f quarantine.Fingerprint) (quarantine.Grant, error) {
	grant := quarantine.Denied
	err := l.ask(ctx, reportTime, func(ctx context.Context, c wire.DRPCControlClient) (string, error) {
		out, err := c.Trial(ctx, &wire.TrialRequest{Fingerprint: f.Bytes()})
		grant = quarantine.Grant(min(out.GetGrant(), uint32(quarantine.Granted)))
		return out.GetRedirect(), err
	})
	return grant, err
}

// Release implements quarantine.Leader.
func (l quarantineLeader) Release(ctx context.Context, f quarantine.Fingerprint) error {
	return l.ask(ctx, reportTime, func(ctx context.Context, c wire.DRPCControlClient) (string, error) {
		out, err := c.Trial(ctx, &wire.TrialRequest{Fingerprint: f.Bytes(), Release: true})
		return out.GetRedirect(), err
	})
}

// ask calls the control VMs in turn until the leader has answered.
func (l quarantineLeader) ask(ctx context.Context, limit time.Duration, call func(context.Context, wire.DRPCControlClient) (redirect string, err error)) error {
	last := errors.New("entry: no control VM is known")
	if peer.Walk(ctx, l.v.controlContacts(), func(addr string) (string, bool) {
		redirect, err := l.v.askOne(ctx, addr, limit, call)
		if err != nil {
			last = err
		}
		return redirect, err == nil && redirect == ""
	}) {
		return nil
	}
	return errors.CombineErrors(last, ctx.Err())
}
