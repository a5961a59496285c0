package cli

import (
	"context"
	"time"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/vm"
)

// inForceServerWait limits how long a control VM waits for confirmations before it
// answers one InForce call.
const inForceServerWait = time.Second

// awaitInForce polls until the version is in force everywhere or wait has elapsed,
// and records the last known state in result.
func (a *app) awaitInForce(result *changeResult, wait time.Duration, start time.Time) error {
	result.waited = true
	deadline := time.Now().Add(wait)
	for {
		serverWait := max(0, min(inForceServerWait, time.Until(deadline)))
		reply, err := a.readInForce(result.Version, serverWait)
		if err != nil {
			return &exitError{code: ExitUnconfirmed, cause: err}
		}
		if reply.GetInForce() {
			result.InForce, result.InForceMS = true, time.Since(start).Milliseconds()
			result.Unconfirmed = nil
			return nil
		}
		result.Unconfirmed = reply.GetUnconfirmed()
		if time.Now().After(deadline) {
			return exitErrorf(ExitUnconfirmed, "version %d is accepted and will come into force; it was not in force everywhere within %v", result.Version, wait)
		}
		vm.Sleep(a.ctx, retryInterval)
		if a.ctx.Err() != nil {
			return &exitError{code: ExitUnconfirmed, cause: a.ctx.Err()}
		}
	}
}

func (a *app) readInForce(version uint64, serverWait time.Duration) (*wire.InForceReply, error) {
	req := &wire.InForceRequest{Version: version, WaitMs: uint32(serverWait.Milliseconds())}
	return readCallWait(a, serverWait, func(ctx context.Context, c wire.DRPCControlClient) (*wire.InForceReply, error) {
		return c.InForce(ctx, req)
	})
}
