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
	// firstAttemptTimeout limits each attempt in the first round over the control
	// VMs; every further round doubles it, up to maxAttemptTimeout. It starts low so
	// that an unreachable control VM does not use up --timeout, and grows so that a
	// slow group can answer eventually.
	firstTry = time.Second
	maxTry   = 8 * time.Second
	// avoidDuration is how long an address is avoided after an attempt at it timed
	// out. Other control VMs may redirect to it until they have elected a new leader.
	avoidFor = 2 * time.Second
	// retryInterval is the pause between attempts, which gives an election time to
	// finish.
	retryPause = 100 * time.Millisecond
	// maxRedirects limits consecutive redirects while leadership changes.
	maxRedirects = 8
)

// controlClient calls control VMs and follows their redirects to the leader.
type client struct {
	addrs    []string
	next     int                  // index in addrs of the current address
	avoid    map[string]time.Time // time until which an address is avoided
	pool     *peer.Pool
	operator string
	timeout  time.Duration
}

// connect returns the client for the control VMs, which it creates on first use.
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

// tlsConfig returns the TLS configuration for control VMs, nil for plaintext.
func (a *app) tlsConfig() (*tls.Config, error) {
	files := peer.Files{CA: a.ca, Cert: a.cert, Key: a.key}
	if a.plaintext {
		if files != (peer.Files{}) {
			return nil, usage("--plaintext-peers can't be combined with --tls-ca, --tls-cert or --tls-key")
		}
		return nil, nil
	}
	if files.CA == "" || files.Cert == "" || files.Key == "" {
		return nil, usage("--tls-ca, --tls-cert and --tls-key are required, or --plaintext-peers on loopback")
	}
	r, err := files.Load()
	if err != nil {
		return nil, err
	}
	return r.ClientConfig(), nil
}

func (c *client) close() { _ = c.pool.Close() }

// redirectReply is a reply that may hold the leader's address instead of an answer.
type redirected interface{ GetRedirect() string }

// call tries the control VMs in turn until one answers, following redirects. It
// may send a request more than once, so a request must be a read or carry a change
// id. serverWait, the time for which a control VM may delay its reply, is added to
// the timeout of each attempt. sent reports whether any attempt may have reached a
// control VM.
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
			last = err // an error caused by the overall timeout would hide the cause
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

// nextAddr advances to the next address that is not avoided and returns it. If all
// are avoided, it stays at the current one.
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

// callAddr makes one attempt at addr, and avoids addr for a while if it times out.
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

// readCall calls a read-only method.
func read[R redirected](a *app, do func(context.Context, wire.DRPCControlClient) (R, error)) (R, error) {
	return readHeld(a, 0, do)
}

// readCallWait is readCall for a method that may delay its reply by serverWait.
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

// changeCallError converts the error that call returned for a change into the
// error shown to the operator. recoveryHint tells how to find out the outcome if
// the reply was lost.
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
