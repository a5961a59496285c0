package cli

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
	"pearmoor/internal/entry"
)

// maxAnswer bounds an answer, in bytes.
const maxAnswer = 256 << 20

// caller uses the tier as its callers do, over HTTP.
type caller struct {
	http *http.Client
}

func newCaller(f *entryFlags, timeout time.Duration) (*caller, error) {
	conf, err := f.tlsConfig()
	if err != nil {
		return nil, err
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DisableKeepAlives = true // one command, one request to each address
	transport.TLSClientConfig = conf
	return &caller{http: &http.Client{Transport: transport, Timeout: timeout}}, nil
}

// refusal is a failure that a daemon answered with.
type refusal struct {
	contract.Failure
	status int
}

// Error implements error.
func (r *refusal) Error() string { return r.Message }

func (c *caller) addresses(ctx context.Context, base, path string) (*contract.Addresses, error) {
	target := strings.TrimSuffix(base, "/") + entry.AddressesPath + "?service=" + url.QueryEscape(path)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, err
	}
	var out contract.Addresses
	return &out, c.do(req, &out)
}

func (c *caller) query(ctx context.Context, base string, q *contract.Request) (*contract.Answer, error) {
	raw, err := json.Marshal(q)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimSuffix(base, "/")+entry.QueryPath, bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // without it the transport sends the request at most once
	req.Header.Set("Content-Type", "application/json")
	var out contract.Answer
	return &out, c.do(req, &out)
}

func (c *caller) do(req *http.Request, out any) error {
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return errors.Wrap(err, "the answer was cut off")
	}
	if resp.StatusCode == http.StatusOK {
		return errors.Wrap(json.Unmarshal(raw, out), "the answer is not as expected")
	}
	refused := &refusal{status: resp.StatusCode}
	if err := json.Unmarshal(raw, &refused.Failure); err != nil {
		return errors.Wrapf(err, "status %s without a failure that can be read", resp.Status)
	}
	return refused
}

// verdictOf says whether a request that failed with err may have run.
func verdictOf(err error) contract.Verdict {
	var refused *refusal
	var dial *net.OpError
	var untrusted *tls.CertificateVerificationError
	switch {
	case errors.As(err, &refused):
		return refused.Verdict
	case errors.As(err, &dial) && dial.Op == "dial", errors.As(err, &untrusted):
		return contract.NotRun // nothing was written
	}
	return contract.MayHaveRun
}
