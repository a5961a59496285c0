package cli

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/wire"
)

const (
	// callTimeout bounds one try. A control VM that was cut off silently must not
	// use up the whole --timeout.
	callTimeout = 3 * time.Second
	// retryPause gives an election time to end.
	retryPause = 100 * time.Millisecond
	// maxRedirects ends a chase after leaders that have each just lost the post.
	maxRedirects = 8
)

// client calls the control group: any member, and the leader where one is needed.
type client struct {
	addrs    []string
	next     int
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
	a.client = &client{addrs: a.control, pool: peer.NewPool(conf), operator: a.operator, timeout: a.timeout}
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
// sent reports whether any try may have reached a control VM.
func call[R redirected](ctx context.Context, c *client, perTry time.Duration, do func(context.Context, wire.DRPCControlClient) (R, error)) (reply R, sent bool, err error) {
	ctx, cancel := context.WithTimeout(peer.WithOperator(ctx, c.operator), c.timeout)
	defer cancel()
	addr, redirects := c.addrs[c.next], 0
	var last error
	for {
		var one R
		one, err = callOne(ctx, c, addr, perTry, do)
		if err == nil {
			leader := one.GetRedirect()
			if leader == "" {
				return one, true, nil
			}
			err = errors.Newf("%s names %s as the leader", addr, leader)
			if redirects++; redirects <= maxRedirects {
				addr = leader
				continue
			}
		} else if peer.Denied(err) || peer.IsPermanent(err) {
			return reply, sent, &exitError{code: ExitInvalid, cause: err}
		} else if !peer.NotSent(err) && !peer.IsNotDone(err) {
			sent = true
		}
		redirects = 0
		c.next = (c.next + 1) % len(c.addrs)
		addr = c.addrs[c.next]
		if last == nil || ctx.Err() == nil {
			last = err // what the end of the whole time brings says nothing
		}
		if !sleep(ctx, retryPause) {
			return reply, sent, last
		}
	}
}

func callOne[R redirected](ctx context.Context, c *client, addr string, perTry time.Duration, do func(context.Context, wire.DRPCControlClient) (R, error)) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, perTry)
	defer cancel()
	var none R
	conn, err := c.pool.Conn(ctx, addr)
	if err != nil {
		return none, err
	}
	defer conn.Close()
	return do(ctx, wire.NewDRPCControlClient(conn))
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// read calls a method that changes nothing.
func read[R redirected](a *app, do func(context.Context, wire.DRPCControlClient) (R, error)) (R, error) {
	c, err := a.connect()
	if err != nil {
		var none R
		return none, err
	}
	reply, _, err := call(a.ctx, c, callTimeout, do)
	var coded *exitError
	if errors.As(err, &coded) {
		return reply, err
	}
	if err != nil {
		return reply, &exitError{code: ExitUnreachable, cause: errors.Wrapf(err, "no control VM of %v answered within %v", c.addrs, c.timeout)}
	}
	return reply, nil
}
