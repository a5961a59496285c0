package cli

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/vm"
)

const (
	// firstTry bounds the first try at a control VM; each further round over the
	// group has twice the time. One that was cut off silently must not use up the
	// whole --timeout, and a slow group must be answered in the end.
	firstTry = time.Second
	maxTry   = 8 * time.Second
	// avoidFor is how long an address whose try timed out comes last. The others
	// may go on naming it as the leader until they have elected another.
	avoidFor = 2 * time.Second
	// retryPause gives an election time to end.
	retryPause = 100 * time.Millisecond
	// maxRedirects ends a chase after leaders that have each just lost the post.
	maxRedirects = 8
)

// client calls the control group: any member, and the leader where one is needed.
type client struct {
	addrs    []string
	next     int
	avoid    map[string]time.Time // addresses that come last, until when
	pool     *peer.Pool
	operator string
	timeout  time.Duration
}

func (a *app) connect() (*client, error) {
	if a.client != nil {
		return a.client, nil
	}
	if len(a.control) == 0 {
		return nil, usage("--control names no control VM")
	}
	conf, err := a.tlsConfig()
	if err != nil {
		return nil, err
	}
	a.client = &client{
		addrs:    a.control,
		avoid:    make(map[string]time.Time),
		pool:     peer.NewPool(conf),
		operator: a.operator,
		timeout:  a.timeout,
	}
	return a.client, nil
}

// tlsConfig returns nil for plain text.
func (a *app) tlsConfig() (*tls.Config, error) {
	files := peer.Files{CA: a.ca, Cert: a.cert, Key: a.key}
	if a.plaintext {
		if files != (peer.Files{}) {
			return nil, usage("--plaintext-peers goes with none of --tls-ca, --tls-cert and --tls-key")
		}
		return nil, nil
	}
	if files.CA == "" || files.Cert == "" || files.Key == "" {
		return nil, usage("--tls-ca, --tls-cert and --tls-key are needed; or --plaintext-peers, on loopback")
	}
	r, err := files.Load()
	if err != nil {
		return nil, err
	}
	return r.ClientConfig(), nil
}

func (c *client) close() { _ = c.pool.Close() }

// redirected is a reply that may name the leader instead of answering.
type redirected interface{ GetRedirect() string }

// call tries the control VMs in turn until one answers, following redirects. It
// may send a request more than once, so requests are reads or carry a change id.
// Each try may take hold longer than usual. sent reports whether any try may have
// reached a control VM.
func call[R redirected](ctx context.Context, c *client, hold time.Duration, do func(context.Context, wire.DRPCControlClient) (R, error)) (reply R, sent bool, err error) {
	ctx, cancel := context.WithTimeout(peer.WithOperator(ctx, c.operator), c.timeout)
	defer cancel()
	addr, redirects, try := c.addrs[c.next], 0, firstTry
	var last error
	for tries := 1; ; tries++ {
		var one R
		one, err = callOne(ctx, c, addr, try+hold, do)
		switch {
		case err == nil && one.GetRedirect() == "":
			return one, true, nil
		case err == nil:
			err = errors.Newf("%s names %s as the leader", addr, one.GetRedirect())
			if redirects++; redirects <= maxRedirects && !c.avoided(one.GetRedirect()) {
				addr = one.GetRedirect()
				continue
			}
		case peer.Denied(err) || peer.IsPermanent(err):
			return reply, sent, &exitError{code: ExitInvalid, cause: err}
		case !peer.NotSent(err) && !peer.IsNotDone(err):
			sent = true
		}
		if last == nil || ctx.Err() == nil {
			last = err // what the end of the whole time brings says nothing
		}
		if !vm.Sleep(ctx, retryPause) {
			return reply, sent, last
		}
		addr, redirects = c.following(), 0
		if tries%len(c.addrs) == 0 {
			try = min(2*try, maxTry)
		}
	}
}

// following returns the next address, one that is not avoided if there is any.
func (c *client) following() string {
	for range c.addrs {
		c.next = (c.next + 1) % len(c.addrs)
		if !c.avoided(c.addrs[c.next]) {
			break
		}
	}
	return c.addrs[c.next]
}

func (c *client) avoided(addr string) bool { return time.Now().Before(c.avoid[addr]) }

func callOne[R redirected](ctx context.Context, c *client, addr string, perTry time.Duration, do func(context.Context, wire.DRPCControlClient) (R, error)) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, perTry)
	defer cancel()
	var none R
	conn, err := c.pool.Conn(ctx, addr)
	if err != nil {
		return none, err
	}
	defer conn.Close()
	reply, err := do(ctx, wire.NewDRPCControlClient(conn))
	if err != nil && ctx.Err() != nil {
		c.avoid[addr] = time.Now().Add(avoidFor)
	}
	return reply, err
}

// read calls a method that changes nothing.
func read[R redirected](a *app, do func(context.Context, wire.DRPCControlClient) (R, error)) (R, error) {
	return readHeld(a, 0, do)
}

// readHeld is read for a method that may hold its answer back.
func readHeld[R redirected](a *app, hold time.Duration, do func(context.Context, wire.DRPCControlClient) (R, error)) (R, error) {
	c, err := a.connect()
	if err != nil {
		var none R
		return none, err
	}
	reply, _, err := call(a.ctx, c, hold, do)
	var coded *exitError
	if errors.As(err, &coded) {
		return reply, err
	}
	if err != nil {
		return reply, &exitError{code: ExitUnreachable, cause: errors.Wrapf(err, "no control VM of %v answered within %v", c.addrs, c.timeout)}
	}
	return reply, nil
}

// outcomeOf turns what call returned for a request that changes something into
// the error for the operator; unknown says how to learn an outcome that was lost.
func outcomeOf(err error, sent bool, unknown string) error {
	var coded *exitError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &coded):
		return err
	case !sent:
		return &exitError{code: ExitUnreachable, cause: errors.Wrap(err, "no control VM answered; nothing was changed")}
	}
	return &exitError{code: ExitUnknown, cause: errors.Wrap(err, "the outcome is not known; "+unknown)}
}
