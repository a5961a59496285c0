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

// maxResponseBytes limits the body of an HTTP response.
const maxAnswer = 256 << 20

// caller sends requests to entry VMs over HTTP, as a caller of the tier does.
type caller struct {
	http *http.Client
}

func newCaller(f *entryFlags, timeout time.Duration) (*caller, error) {
	conf, err := f.tlsConfig()
	if err != nil {
		return nil, err
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DisableKeepAlives = true // a command sends at most one request to each address
	transport.TLSClientConfig = conf
	return &caller{http: &http.Client{Transport: transport, Timeout: timeout}}, nil
}

// failureResponse is the failure in a daemon's HTTP response.
type refusal struct {
	contract.Failure
	status int
}

// Error implements error.
func (r *refusal) Error() string { return r.Message }

// addresses requests the address list for a path from the entry VM at base.
func (c *caller) addresses(ctx context.Context, base, path string) (*contract.Addresses, error) {
	target := strings.TrimSuffix(base, "/") + entry.AddressesPath + "?service=" + url.QueryEscape(path)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, err
	}
	var out contract.Addresses
	return &out, c.do(req, &out)
}

// query sends q to the entry VM at base.
func (c *caller) query(ctx context.Context, base string, q *contract.Request) (*contract.Answer, error) {
	raw, err := json.Marshal(q)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimSuffix(base, "/")+entry.QueryPath, bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // keeps the transport from resending the request
	req.Header.Set("Content-Type", "application/json")
	var out contract.Answer
	return &out, c.do(req, &out)
}

// do sends req and decodes the response into out. A status other than 200 is returned
// as a *failureResponse.
func (c *caller) do(req *http.Request, out any) error {
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return errors.Wrap(err, "read response body")
	}
	if resp.StatusCode == http.StatusOK {
		return errors.Wrap(json.Unmarshal(raw, out), "decode response")
	}
	refused := &refusal{status: resp.StatusCode}
	if err := json.Unmarshal(raw, &refused.Failure); err != nil {
		return errors.Wrapf(err, "decode failure response with status %s", resp.Status)
	}
	return refused
}

// verdictOf returns whether a request that failed with err may have run.
func verdictOf(err error) contract.Verdict {
	var refused *refusal
	var dial *net.OpError
	var untrusted *tls.CertificateVerificationError
	switch {
	case errors.As(err, &refused):
		return refused.Verdict
	case errors.As(err, &dial) && dial.Op == "dial", errors.As(err, &untrusted):
		return contract.NotRun // the connection was not established, so no request was sent
	}
	return contract.MayHaveRun
}
