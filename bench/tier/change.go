package tier

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/settings"
)

const (
	callTimeout   = 5 * time.Second
	inForceWait   = 2 * time.Second
	retryInterval = 100 * time.Millisecond
)

func (t *Tier) commitTree(ctx context.Context) error {
	edits := settings.Diff(settings.New(), t.Leaves.Tree)
	_, err := t.Change(ctx, edits, "experiment: initial tree")
	return err
}

// Change commits edits of the settings tree, waits until they are in force on every VM, and returns the new version.
func (t *Tier) Change(ctx context.Context, edits []settings.Edit, reason string) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	id := fmt.Sprintf("experiment-%x", rand.Uint64())
	for i := 0; ; i++ {
		version, err := t.tryChange(ctx, t.controlAddr(i), id, edits, reason)
		if err == nil {
			return version, t.waitInForce(ctx, version)
		}
		if ctx.Err() != nil || errors.HasType(err, (*refusedError)(nil)) {
			return 0, err
		}
		time.Sleep(retryInterval)
	}
}

func (t *Tier) controlAddr(i int) string {
	var addrs []string
	for _, d := range t.daemons {
		if d.control {
			addrs = append(addrs, d.peerAddr)
		}
	}
	return addrs[i%len(addrs)]
}

type refusedError struct{ reply *wire.ChangeReply }

func (e *refusedError) Error() string { return fmt.Sprintf("change refused: %v", e.reply) }

func (t *Tier) controlClient(ctx context.Context, addr string) (wire.DRPCControlClient, error) {
	conn, err := t.pool.Conn(ctx, addr)
	if err != nil {
		return nil, err
	}
	return wire.NewDRPCControlClient(conn), nil
}

func (t *Tier) tryChange(ctx context.Context, addr, id string, edits []settings.Edit, reason string) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c, err := t.controlClient(ctx, addr)
	if err != nil {
		return 0, err
	}
	read, err := c.Read(ctx, &wire.ReadRequest{})
	if err != nil {
		return 0, err
	}
	if read.GetRedirect() != "" && read.GetRedirect() != addr {
		return t.tryChange(ctx, read.GetRedirect(), id, edits, reason)
	}
	reply, err := c.Change(ctx, &wire.ChangeRequest{
		ChangeId: id, BaseVersion: read.GetVersion(), Edits: settings.EditsToWire(edits), Reason: reason, Operator: "bench",
	})
	switch {
	case err != nil:
		return 0, err
	case reply.GetRedirect() != "":
		return 0, errors.Newf("redirected to %s", reply.GetRedirect())
	case reply.GetOutcome() != wire.Outcome_ACCEPTED:
		return 0, &refusedError{reply: reply}
	}
	return reply.GetVersion(), nil
}

func (t *Tier) waitInForce(ctx context.Context, version uint64) error {
	last := errors.Newf("version %d is not in force", version)
	for i := 0; ctx.Err() == nil; i++ {
		ok, err := t.inForce(ctx, t.controlAddr(i), version)
		if ok {
			return nil
		}
		last = errors.CombineErrors(err, last)
		time.Sleep(retryInterval)
	}
	return last
}

func (t *Tier) inForce(ctx context.Context, addr string, version uint64) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c, err := t.controlClient(ctx, addr)
	if err != nil {
		return false, err
	}
	reply, err := c.InForce(ctx, &wire.InForceRequest{Version: version, WaitMs: uint32(inForceWait.Milliseconds())})
	if err != nil {
		return false, err
	}
	if r := reply.GetRedirect(); r != "" && r != addr {
		return t.inForce(ctx, r, version)
	}
	return reply.GetInForce(), nil
}
