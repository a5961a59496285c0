package cli

import (
	"context"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/settings"
)

// readTree reads the tree at a version; 0 is the newest.
func (a *app) readTree(version uint64) (*settings.Tree, uint64, error) {
	reply, err := readCall(a, func(ctx context.Context, c wire.DRPCControlClient) (*wire.ReadReply, error) {
		return c.Read(ctx, &wire.ReadRequest{Version: version})
	})
	if err != nil {
		return nil, 0, err
	}
	if version != 0 && reply.GetVersion() != version {
		return nil, 0, exitErrorf(ExitFailed, "version %d is no longer kept", version)
	}
	if len(reply.GetSnapshot()) == 0 {
		return settings.New(), reply.GetVersion(), nil
	}
	tree, err := settings.Decode(reply.GetSnapshot())
	return tree, reply.GetVersion(), errors.Wrap(err, "read the tree")
}
