package entryvm

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"
)

const (
	// drainGracePeriod is the GracePeriod of the VMs in these tests.
	drainGracePeriod = 3 * time.Second
	// halvesTimeout is longer than the grace period.
	halvesTimeout = 8 * time.Second
)

// Guards against a request that a stopping VM takes late, sends to a leaf and cuts when it ends.
func TestStoppingVMCutsNoLateRequest(t *testing.T) {
	t.Parallel()
	tier := startCrashTierWith(t, func(conf *Config) { conf.GracePeriod = drainGracePeriod })
	tier.allowLongRuns()
	v := tier.vms[len(tier.vms)-1]
	stopping := time.Now()
	go v.stop()
	var wg sync.WaitGroup
	for i := range 8 {
		// From half of the grace period, up to which an answer that takes longer than the rest of
		// it may be cut, to where the VM closes its listener.
		sendAt := stopping.Add(drainGracePeriod/2 + time.Duration(i)*drainGracePeriod/100)
		method := []string{http.MethodGet, http.MethodPost}[i%2]
		wg.Go(func() {
			time.Sleep(time.Until(sendAt))
			id := fmt.Sprintf("late-%d", i)
			status, length, err := tier.askForHalves(v, method, id)
			switch runs := tier.fleet.runsOf(id); {
			case status == 0 && runs == 0: // not accepted
			case status == http.StatusServiceUnavailable && runs == 0:
			case status == http.StatusOK && length == 2*halfBytes && !v.hasEnded():
			default:
				t.Errorf("%s %s: status %d, %d bytes, ran %d times: %v", method, id, status, length, runs, err)
			}
		})
	}
	wg.Wait()
}

// hasEnded reports whether the process of the VM would have ended, and cut what it still answers.
func (v *crashVM) hasEnded() bool {
	select {
	case <-v.ended:
		return true
	default:
		return false
	}
}

// allowLongRuns puts a configuration into use whose routes to one leaf have a long timeout.
func (c *crashTier) allowLongRuns() {
	c.t.Helper()
	r := crashRelease()
	r.Number++
	once := r.Routes[1]
	once.Name, once.Host, once.Repeatable = "once", "once."+crashHost, false
	r.Routes = append(r.Routes, once)
	for i := range r.Routes[1:] {
		r.Routes[1+i].Timeout, r.Routes[1+i].TargetLatency = halvesTimeout, halvesTimeout/2
	}
	ctx, cancel := context.WithTimeout(c.t.Context(), 5*time.Second)
	defer cancel()
	if err := c.vms[0].PutRelease(ctx, r); err != nil {
		c.t.Fatal(err)
	}
	eventually(c.t, "every VM uses the configuration", func() bool {
		for _, v := range c.vms {
			if table := v.engine.Table(); table == nil || table.Number != r.Number {
				return false
			}
		}
		return true
	})
}

// askForHalves sends a request on a new connection; POST requests are not repeatable. The status
// is 0 if there was no answer.
func (c *crashTier) askForHalves(v *crashVM, method, id string) (status, length int, err error) {
	req, err := http.NewRequest(method, v.callers+singlePath+halvesSuffix, nil)
	if err != nil {
		return 0, 0, err
	}
	req.Host = crashHost
	if method == http.MethodPost {
		req.Host = "once." + crashHost
	}
	req.Close = true
	req.Header.Set(crashDialect.RequestID, id)
	req.Header.Set(crashDialect.Deadline, fmt.Sprint(halvesTimeout.Milliseconds()))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, len(body), err
}
