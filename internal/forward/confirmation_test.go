package forward

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"pearmoor/internal/policy"
	"pearmoor/internal/route"
	"pearmoor/internal/vm"
)

// confirmedAgo returns a Confirmation of age ago.
func confirmedAgo(ago time.Duration) func() policy.Confirmation {
	at := policy.Confirmation(vm.Now().Add(-ago))
	return func() policy.Confirmation { return at }
}

// Guards against denials that rest on an outdated configuration: callers do not repeat a
// request after a 404, 413 or 431.
func TestOnlyConfirmedConfigurationDenies(t *testing.T) {
	const limit = 3 * time.Second
	for _, c := range []struct {
		name         string
		confirmation func() policy.Confirmation
		denied       bool
	}{
		{"never confirmed", func() policy.Confirmation { return 0 }, false},
		{"confirmed within the limit", confirmedAgo(limit - time.Second), true},
		{"confirmed too long ago", confirmedAgo(limit), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, repeatableRoute("s"), map[string][]*fakeLeaf{"s": {startLeaf(t, replyWith("done"))}})
			rel := &route.Release{Number: 2, Limits: route.Limits{BodyBytes: 100, HeaderBytes: 1000}, Services: []route.Service{{Name: "s"}},
				Routes: []route.Route{{Name: "r", Host: "127.0.0.1", Prefix: "/known/", Service: "s", MaxAttempts: 2, Repeatable: true, Timeout: time.Second}}}
			f.engine.Install(route.NewTable(rel), 2)
			f.engine.cfg.ConfigApplyTime = limit
			f.engine.cfg.Confirmation = c.confirmation
			check := func(what, path, body string, denial int) {
				t.Helper()
				want := http.StatusServiceUnavailable
				if c.denied {
					want = denial
				}
				resp, text := f.do(t, http.MethodPost, path, body)
				if resp.StatusCode != want || !c.denied && (resp.Header.Get("Retry-After") == "" || !strings.Contains(text, "unconfirmed, not_run")) {
					t.Errorf("%s: got status %d, Retry-After %q, body %q, want %d", what, resp.StatusCode, resp.Header.Get("Retry-After"), text, want)
				}
			}
			check("unknown route", "/none/", "", http.StatusNotFound)
			check("long body", "/known/", strings.Repeat("x", 101), http.StatusRequestEntityTooLarge)
			check("long header", "/known/"+strings.Repeat("x", 1000), "", http.StatusRequestHeaderFieldsTooLarge)
			if resp, text := f.do(t, http.MethodPost, "/known/", "short"); resp.StatusCode != http.StatusOK {
				t.Errorf("known route: got status %d, body %q", resp.StatusCode, text)
			}
		})
	}
}
