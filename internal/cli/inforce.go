package cli

import (
	"context"
	"time"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/vm"
)

// inForceServerWait limits how long a control VM waits for confirmations before it
// answers one InForce call.
const inForceHold = time.Second

// awaitInForce polls until the version is in force everywhere or wait has elapsed,
// and records the last known state in result.
func (a *app) awaitInForce(out *changed, wait time.Duration, began time.Time) error {
	out.waited = true
	deadline := time.Now().Add(wait)
	for {
		hold := max(0, min(inForceHold, time.Until(deadline)))
		reply, err := a.inForce(out.Version, hold)
		if err != nil {
			return &exitError{code: ExitUnconfirmed, cause: err}
		}
		if reply.GetInForce() {
			out.InForce, out.InForceMS = true, time.Since(began).Milliseconds()
			out.Unconfirmed = nil
			return nil
		}
		out.Unconfirmed = reply.GetUnconfirmed()
		if time.Now().After(deadline) {
			return failWith(ExitUnconfirmed, "version %d is accepted and will come into force; it was not in force everywhere within %v", out.Version, wait)
		}
		vm.Sleep(a.ctx, retryPause)
		if a.ctx.Err() != nil {
			return &exitError{code: ExitUnconfirmed, cause: a.ctx.Err()}
		}
	}
}

func (a *app) inForce(version uint64, hold time.Duration) (*wire.InForceReply, error) {
	req := &wire.InForceRequest{Version: version, WaitMs: uint32(hold.Milliseconds())}
	return readHeld(a, hold, func(ctx context.Context, c wire.DRPCControlClient) (*wire.InForceReply, error) {
		return c.InForce(ctx, req)
	})
}
