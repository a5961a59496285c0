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
	firstAttemptTimeout = time.Second
	maxAttemptTimeout   = 8 * time.Second
	// avoidDuration is how long an address is avoided after an attempt at it timed
	// out. Other control VMs may redirect to it until they have elected a new leader.
	avoidDuration = 2 * time.Second
	// retryInterval is the pause between attempts, which gives an election time to
	// finish.
	retryInterval = 100 * time.Millisecond
	// maxRedirects limits consecutive redirects while leadership changes.
	maxRedirects = 8
)

// controlClient calls control VMs and follows their redirects to the leader.
type controlClient struct {
	addrs      []string
	addrIndex  int                  // index in addrs of the current address
	avoidUntil map[string]time.Time // time until which an address is avoided
	pool       *peer.Pool
	operator   string
	timeout    time.Duration
}

// connect returns the client for the control VMs, which it creates on first use.
func (a *app) connect() (*controlClient, error) {
	if a.client != nil {
		return a.client, nil
	}
	if len(a.control) == 0 {
		return nil, usageError("--control names no control VM")
	}
	conf, err := a.tlsConfig()
	if err != nil {
		return nil, err
	}
	a.client = &controlClient{
		addrs:      a.control,
		avoidUntil: make(map[string]time.Time),
		pool:       peer.NewPool(conf),
		operator:   a.operator,
		timeout:    a.timeout,
	}
	return a.client, nil
}

// tlsConfig returns the TLS configuration for control VMs, nil for plaintext.
func (a *app) tlsConfig() (*tls.Config, error) {
	files := peer.Files{CA: a.ca, Cert: a.cert, Key: a.key}
	if a.plaintext {
		if files != (peer.Files{}) {
			return nil, usageError("--plaintext-peers can't be combined with --tls-ca, --tls-cert or --tls-key")
		}
		return nil, nil
	}
	if files.CA == "" || files.Cert == "" || files.Key == "" {
		return nil, usageError("--tls-ca, --tls-cert and --tls-key are required, or --plaintext-peers on loopback")
	}
	r, err := files.Load()
	if err != nil {
		return nil, err
	}
	return r.ClientConfig(), nil
}

func (c *controlClient) close() { _ = c.pool.Close() }

// redirectReply is a reply that may hold the leader's address instead of an answer.
type redirectReply interface{ GetRedirect() string }

// call tries the control VMs in turn until one answers, following redirects. It
// may send a request more than once, so a request must be a read or carry a change
// id. serverWait, the time for which a control VM may delay its reply, is added to
// the timeout of each attempt. sent reports whether any attempt may have reached a
// control VM.
func call[R redirectReply](ctx context.Context, c *controlClient, serverWait time.Duration, do func(context.Context, wire.DRPCControlClient) (R, error)) (reply R, sent bool, err error) {
	ctx, cancel := context.WithTimeout(peer.WithOperator(ctx, c.operator), c.timeout)
	defer cancel()
	addr, redirects, attemptTimeout := c.addrs[c.addrIndex], 0, firstAttemptTimeout
	var lastErr error
	for attempt := 1; ; attempt++ {
		var answer R
		answer, err = callAddr(ctx, c, addr, attemptTimeout+serverWait, do)
		switch {
		case err == nil && answer.GetRedirect() == "":
			return answer, true, nil
		case err == nil:
			err = errors.Newf("%s names %s as the leader", addr, answer.GetRedirect())
			if redirects++; redirects <= maxRedirects && !c.isAvoided(answer.GetRedirect()) {
				addr = answer.GetRedirect()
				continue
			}
		case peer.IsDenied(err) || peer.IsPermanent(err):
			return reply, sent, &exitError{code: ExitInvalid, cause: err}
		case !peer.NotSent(err) && !peer.IsRetryable(err):
			sent = true
		}
		if lastErr == nil || ctx.Err() == nil {
			lastErr = err // an error caused by the overall timeout would hide the cause
		}
		if !vm.Sleep(ctx, retryInterval) {
			return reply, sent, lastErr
		}
		addr, redirects = c.nextAddr(), 0
		if attempt%len(c.addrs) == 0 {
			attemptTimeout = min(2*attemptTimeout, maxAttemptTimeout)
		}
	}
}

// nextAddr advances to the next address that is not avoided and returns it. If all
// are avoided, it stays at the current one.
func (c *controlClient) nextAddr() string {
	for range c.addrs {
		c.addrIndex = (c.addrIndex + 1) % len(c.addrs)
		if !c.isAvoided(c.addrs[c.addrIndex]) {
			break
		}
	}
	return c.addrs[c.addrIndex]
}

func (c *controlClient) isAvoided(addr string) bool { return time.Now().Before(c.avoidUntil[addr]) }

// callAddr makes one attempt at addr, and avoids addr for a while if it times out.
func callAddr[R redirectReply](ctx context.Context, c *controlClient, addr string, timeout time.Duration, do func(context.Context, wire.DRPCControlClient) (R, error)) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var zero R
	conn, err := c.pool.Conn(ctx, addr)
	if err != nil {
		return zero, err
	}
	defer conn.Close()
	reply, err := do(ctx, wire.NewDRPCControlClient(conn))
	if err != nil && ctx.Err() != nil {
		c.avoidUntil[addr] = time.Now().Add(avoidDuration)
	}
	return reply, err
}

// readCall calls a read-only method.
func readCall[R redirectReply](a *app, do func(context.Context, wire.DRPCControlClient) (R, error)) (R, error) {
	return readCallWait(a, 0, do)
}

// readCallWait is readCall for a method that may delay its reply by serverWait.
func readCallWait[R redirectReply](a *app, serverWait time.Duration, do func(context.Context, wire.DRPCControlClient) (R, error)) (R, error) {
	c, err := a.connect()
	if err != nil {
		var zero R
		return zero, err
	}
	reply, _, err := call(a.ctx, c, serverWait, do)
	var exitErr *exitError
	if errors.As(err, &exitErr) {
		return reply, err
	}
	if err != nil {
		return reply, &exitError{code: ExitUnreachable, cause: errors.Wrapf(err, "no control VM of %v answered within %v", c.addrs, c.timeout)}
	}
	return reply, nil
}

// changeCallError converts the error that [call] returned for a change into the
// error shown to the operator. recoveryHint tells how to find out the outcome if
// the reply was lost.
func changeCallError(err error, sent bool, recoveryHint string) error {
	var exitErr *exitError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &exitErr):
		return err
	case !sent:
		return &exitError{code: ExitUnreachable, cause: errors.Wrap(err, "no control VM answered; nothing was changed")}
	}
	return &exitError{code: ExitUnknown, cause: errors.Wrap(err, "the outcome is not known; "+recoveryHint)}
}
