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

const (
	maxResponseBytes = 256 << 20 // limit on the body of an HTTP response
	maxHeadBytes     = 1 << 20   // limit on the headers of an HTTP response
)

// caller sends requests to entry VMs over HTTP, as a caller of the tier does.
type caller struct {
	httpClient *http.Client
}

func newCaller(f *entryFlags, timeout time.Duration) (*caller, error) {
	conf, err := f.tlsConfig()
	if err != nil {
		return nil, err
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.DisableKeepAlives = true // a command sends at most one request to each address
	transport.TLSClientConfig = conf
	transport.MaxResponseHeaderBytes = maxHeadBytes
	return &caller{httpClient: &http.Client{Transport: transport, Timeout: timeout}}, nil
}

// failureResponse is the failure in a daemon's HTTP response.
type failureResponse struct {
	contract.Failure
	status int
}

// Error implements error.
func (r *failureResponse) Error() string { return r.Message }

// addresses requests the address list for a path from the entry VM at base.
func (c *caller) addresses(ctx context.Context, base, path string) (*contract.Addresses, error) {
	requestURL := strings.TrimSuffix(base, "/") + entry.AddressesPath + "?service=" + url.QueryEscape(path)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, requestURL, nil)
	if err != nil {
		return nil, err
	}
	var out contract.Addresses
	return &out, c.do(req, &out)
}

// query sends q to the entry VM at base.
func (c *caller) query(ctx context.Context, base string, q *contract.Request) (*contract.Answer, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimSuffix(base, "/")+entry.QueryPath, bytes.NewReader(body))
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
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(err, "read response body")
	}
	if resp.StatusCode == http.StatusOK {
		return errors.Wrap(json.Unmarshal(body, out), "decode response")
	}
	failed := &failureResponse{status: resp.StatusCode}
	if err := json.Unmarshal(body, &failed.Failure); err != nil {
		return errors.Wrapf(err, "decode failure response with status %s", resp.Status)
	}
	return failed
}

// verdictOf returns whether a request that failed with err may have run.
func verdictOf(err error) contract.Verdict {
	var failed *failureResponse
	var opErr *net.OpError
	var certErr *tls.CertificateVerificationError
	switch {
	case errors.As(err, &failed):
		return failed.Verdict
	case errors.As(err, &opErr) && opErr.Op == "dial", errors.As(err, &certErr):
		return contract.NotRun // the connection was not established, so no request was sent
	}
	return contract.MayHaveRun
}
