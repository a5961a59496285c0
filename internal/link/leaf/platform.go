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
	platformLimit    = 32 << 20 // bytes of the platform's list
	platformInterval = 2 * time.Second
	platformTimeout  = 5 * time.Second
	platformLife     = time.Minute // a list that could not be renewed for so long says nothing
)

// platformList is the platform's word on which VMs are leaving. It lags: a VM
// that it names as leaving is, one that it does not name may be.
type platformList struct {
	url     string
	client  *http.Client
	every   time.Duration // between fetches
	etag    string
	leaving map[string]bool // see leavingOf
	at      time.Time
}

func newPlatformList(base string) *platformList {
	return &platformList{
		every:  platformInterval,
		url:    strings.TrimSuffix(base, "/") + contract.PlatformVMsPath,
		client: &http.Client{Timeout: platformTimeout, Transport: &http.Transport{MaxConnsPerHost: 1}},
	}
}

// fetch returns the names and addresses of leaving VMs. An unchanged list costs
// a few bytes where the platform supports ETag.
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
	if err := readAll(&buf, resp, platformLimit); err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusNotModified && l.leaving != nil {
		l.at = time.Now()
		return l.leaving, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("the platform answered with status %d", resp.StatusCode)
	}
	vms, err := parsePlatform(buf.Bytes())
	if err != nil {
		return nil, err
	}
	l.etag = resp.Header.Get("ETag")
	l.leaving = leavingOf(vms)
	l.at = time.Now()
	return l.leaving, nil
}

func parsePlatform(body []byte) ([]contract.PlatformVM, error) {
	var vms []contract.PlatformVM
	if err := json.Unmarshal(body, &vms); err != nil {
		return nil, errors.Wrap(err, "the platform's VM list is not valid")
	}
	return vms, nil
}

// leavingOf indexes the leaving VMs by address, and by name only those without
// one: a leaf's name in the settings tree need not be its VM's.
func leavingOf(vms []contract.PlatformVM) map[string]bool {
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

// isLeaving reports whether the list names the leaf's address, its host or, for
// VMs without an address, its name.
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
