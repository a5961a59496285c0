package forward

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a request that leaves the regions of its route: by a first send, a hedge or a
// retry.
func TestRequestStaysInRegionsOfItsRoute(t *testing.T) {
	rt, leaves := remoteRoute(t, validPart)
	rt.MaxAttempts, rt.Regions = 2, []string{"valley"}
	f := newFixture(t, rt, leaves)
	f.placeLeaves()
	f.engine.cfg.RegionOf = func(domain string) string {
		return map[string]string{"hall-0": "abroad", "hall-1": "valley"}[domain]
	}
	f.doConcurrently(t, 20)
	if n := requestsAt(leaves, 0); n > 0 {
		t.Errorf("%d requests reached another region", n)
	}
	if n := requestsAt(leaves, 1); n == 0 {
		t.Error("no request reached the region of the route")
	}
	f.engine.Table().Entries()[0].Regions = []string{"elsewhere"}
	start := time.Now()
	if resp, text := f.do(t, http.MethodGet, "/a", ""); resp.StatusCode != http.StatusServiceUnavailable || !strings.Contains(text, "not_run") {
		t.Errorf("no leaf in the route's region: status %d, %q", resp.StatusCode, text)
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("refused after %v", took)
	}
}
