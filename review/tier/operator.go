//go:build review

package tier

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"pearmoor/internal/route"
	"pearmoor/platform"
	"pearmoor/platform/standin"
)

// Configuration returns a configuration as the operator sends it.
func Configuration(version uint64, services []string, maxConns int, routes []route.Route) []byte {
	release := route.Release{
		Number: version, Routes: routes,
		Limits: route.Limits{HeaderBytes: 16384, BodyBytes: 262144, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
	for _, s := range services {
		release.Services = append(release.Services, route.Service{Name: s, HealthPath: HealthPath, Connections: maxConns, Protocol: "h1"})
	}
	body, err := platform.EncodeRelease(&release)
	if err != nil {
		panic(err)
	}
	return body
}

// operatorWait is how long an operator waits for a response before it turns to another VM.
const operatorWait = time.Second

// operatorClient follows two redirects, as callers of control do.
var operatorClient = &http.Client{
	Transport: &http.Transport{DisableKeepAlives: true},
	CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return http.ErrUseLastResponse
		}
		return nil
	},
}

func operatorCall(method, url string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorWait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := operatorClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	return resp.StatusCode, out, err
}

// Put sends a configuration to the VMs, the first one first, until one acknowledges it. It
// returns when that was, and an error if none does within limit or it is refused.
func (t *Tier) Put(version uint64, body []byte, limit time.Duration, vms ...*VM) (time.Time, error) {
	pause := 100 * time.Millisecond
	for end := time.Now().Add(limit); time.Now().Before(end); {
		for _, vm := range vms {
			status, _, err := operatorCall(http.MethodPost, "http://"+vm.ControlAddr()+standin.PutConfigurationPath, body)
			if err != nil {
				t.Record.Line("operator: version %d sent to %s: no response: %v", version, vm.Name, err)
			} else {
				t.Record.Line("operator: version %d sent to %s: %d", version, vm.Name, status)
			}
			switch {
			case err == nil && status == http.StatusOK:
				return time.Now(), nil
			case err == nil && status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
				return time.Time{}, fmt.Errorf("version %d was refused with %d", version, status)
			}
			time.Sleep(pause)
			pause = min(pause*3/2, time.Second)
		}
	}
	return time.Time{}, fmt.Errorf("version %d was not acknowledged within %v", version, limit)
}

// Read reads the configuration at a VM. It returns the version, 0 where there was no clear
// response, and the body.
func (t *Tier) Read(vm *VM) (uint64, []byte) {
	status, body, err := operatorCall(http.MethodGet, "http://"+vm.ControlAddr()+standin.GetConfigurationPath, nil)
	if err != nil {
		t.Record.Line("operator: read at %s: no response: %v", vm.Name, err)
		return 0, nil
	}
	if status != http.StatusOK {
		t.Record.Line("operator: read at %s: %d", vm.Name, status)
		return 0, nil
	}
	version, err := standin.ConfigurationVersion(body)
	if err != nil {
		t.Record.Line("operator: read at %s: 200, not readable: %v", vm.Name, err)
		return 0, nil
	}
	t.Record.Line("operator: read at %s: 200, version %d", vm.Name, version)
	return version, body
}

// WaitReady waits until all VMs say that they are ready.
func (t *Tier) WaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); ; {
		missing := ""
		for _, vm := range t.VMs {
			if status, _, err := operatorCall(http.MethodGet, "http://"+vm.ReadyAddr()+"/ready", nil); err != nil || status != http.StatusOK {
				missing += " " + vm.Name
			}
		}
		if missing == "" {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("not ready:%s", missing)
		}
		time.Sleep(100 * time.Millisecond)
	}
}
