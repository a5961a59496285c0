package leaf

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
	"pearmoor/internal/settings"
)

const (
	maxPlatformListSize  = 32 << 20 // bytes
	platformPollInterval = 2 * time.Second
	platformTimeout      = 5 * time.Second
	platformListMaxAge   = time.Minute // a list that could not be refreshed for this long is discarded
)

// platformList fetches the platform's list of VMs that are leaving. The list lags behind: a
// VM that it reports as leaving is leaving, but a VM that it does not report may be as well.
type platformList struct {
	url       string
	client    *http.Client
	interval  time.Duration // between fetches
	etag      string
	leaving   map[string]bool // see leavingVMs
	fetchedAt time.Time       // of the last successful fetch
}

func newPlatformList(base string) *platformList {
	return &platformList{
		interval: platformPollInterval,
		url:      strings.TrimSuffix(base, "/") + contract.PlatformVMsPath,
		client:   &http.Client{Timeout: platformTimeout, Transport: &http.Transport{MaxConnsPerHost: 1, MaxResponseHeaderBytes: maxHeadBytes}},
	}
}

// fetch returns the names and addresses of leaving VMs. If the platform supports ETag, an
// unchanged list is not transferred again.
func (l *platformList) fetch(ctx context.Context) (map[string]bool, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, nil)
	if err != nil {
		return nil, err
	}
	if l.etag != "" {
		req.Header.Set("If-None-Match", l.etag)
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return nil, err
	}
	var buf bytes.Buffer
	if err := readAll(&buf, resp, maxPlatformListSize); err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusNotModified && l.leaving != nil {
		l.fetchedAt = time.Now()
		return l.leaving, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("the platform answered with status %d", resp.StatusCode)
	}
	vms, err := parsePlatformList(buf.Bytes())
	if err != nil {
		return nil, err
	}
	l.etag = resp.Header.Get("ETag")
	l.leaving = leavingVMs(vms)
	l.fetchedAt = time.Now()
	return l.leaving, nil
}

func parsePlatformList(body []byte) ([]contract.PlatformVM, error) {
	var vms []contract.PlatformVM
	if err := json.Unmarshal(body, &vms); err != nil {
		return nil, errors.Wrap(err, "invalid VM list from the platform")
	}
	return vms, nil
}

// leavingVMs returns the set of leaving VMs, keyed by address, or by name for a VM without an
// address. The name is only a fallback because a leaf's name in the settings tree may differ
// from that of its VM.
func leavingVMs(vms []contract.PlatformVM) map[string]bool {
	leaving := make(map[string]bool)
	for _, v := range vms {
		switch {
		case !v.Leaving:
		case v.Addr != "":
			leaving[v.Addr] = true
		case v.Name != "":
			leaving[v.Name] = true
		}
	}
	return leaving
}

// isLeaving reports whether the set contains the leaf's address, the host of that address or
// the leaf's name.
func isLeaving(leaving map[string]bool, l settings.Leaf) bool {
	if len(leaving) == 0 {
		return false
	}
	if leaving[l.Addr] || leaving[l.Name] {
		return true
	}
	host, _, err := net.SplitHostPort(l.Addr)
	return err == nil && leaving[host]
}
