package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pearmoor/internal/decision"
	"pearmoor/internal/link/target"
	"pearmoor/internal/policy"
	"pearmoor/internal/route"
	"pearmoor/internal/vm"
)

const (
	acmeKey    = "acme-secret-key"
	revokeTime = 5 * time.Second
)

func acme(keys ...string) route.Organisation {
	return route.Organisation{Name: "acme", Keys: keys, Rate: 10, Priority: 0, HasPriority: true}
}

// install installs the routes of the fixture, and keys that they require, on e.
func (f *fixture) install(e *Engine, version uint64, public bool, organisations ...route.Organisation) {
	rel := &route.Release{Number: 1, KeysRequired: true, Organisations: organisations}
	for _, entry := range f.engine.Table().Entries() {
		rt := entry.Route
		rt.Public, rt.Priority = public, 2
		rel.Routes = append(rel.Routes, rt)
		for _, name := range rt.Targets() {
			service, _ := f.engine.Table().Service(name)
			rel.Services = append(rel.Services, *service)
		}
	}
	e.Install(route.NewTable(rel), version)
}

// keyed makes the fixture require acmeKey. The test fails if its log contains the key.
func keyed(t *testing.T, f *fixture) *fixture {
	t.Helper()
	var out lockedBuffer
	log := decision.New(&out)
	f.engine.cfg.Log = log
	t.Cleanup(func() {
		log.Close()
		if strings.Contains(out.String(), "secret") {
			t.Errorf("the log contains a key: %s", out.String())
		}
	})
	f.install(f.engine, 2, false, acme(acmeKey))
	return f
}

// doWith makes a request with the values of the key header and a forged organisation.
func (f *fixture) doWith(t *testing.T, path string, keys ...string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, f.url+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header = http.Header{"Request-Id": {fmt.Sprintf("id-%d", lastRequestID.Add(1))}, "Org": {"forged", "twice"}, "Api-Key": keys}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Error(err)
		return &http.Response{}, ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp, string(text)
}

// clock is a clock that a test moves forward, as a suspension of the VM does.
type clock struct{ ahead atomic.Int64 }

func (c *clock) now() vm.Instant { return vm.Now().Add(time.Duration(c.ahead.Load())) }

// setLease gives the engine a confirmation and a clock.
func setLease(e *Engine, confirmation func() policy.Confirmation) *clock {
	c := &clock{}
	e.now, e.cfg.Confirmation, e.cfg.ConfigApplyTime, e.cfg.RevokeTime = c.now, confirmation, 4*time.Second, revokeTime
	return c
}

// Guards against requests without a valid key that run, and against denials by a daemon whose
// configuration may lack the key.
func TestRequestsWithoutValidKeyAreRefused(t *testing.T) {
	for name, keys := range map[string][]string{
		"missing": nil, "empty": {""}, "no scheme": {acmeKey}, "other scheme": {"Basic " + acmeKey}, "no key": {"Token "},
		"joined": {"Token" + acmeKey}, "blank": {"Token acme -secret"}, "long": {"Token " + strings.Repeat("s", maxKeyBytes+1)},
		"duplicate": {"Token " + acmeKey, "Token " + acmeKey}, "unknown": {"Token other-secret"}, "prefix": {"Token acme-secret"},
	} {
		t.Run(name, func(t *testing.T) {
			leaf := startLeaf(t, replyWith("done"))
			f := keyed(t, newFixture(t, repeatableRoute("s"), map[string][]*fakeLeaf{"s": {leaf}}))
			f.engine.Table().Entries()[0].Prefix = "/known/"
			if resp, text := f.doWith(t, "/known/", keys...); resp.StatusCode != 401 || resp.Header.Get("WWW-Authenticate") != "Token" || !strings.Contains(text, "unauthorized, not_run") {
				t.Errorf("status %d, %q, header %v", resp.StatusCode, text, resp.Header)
			}
			if resp, _ := f.doWith(t, "/none", keys...); resp.StatusCode != 404 {
				t.Errorf("unknown path: status %d", resp.StatusCode)
			}
			setLease(f.engine, confirmedAgo(4100*time.Millisecond))
			if resp, text := f.doWith(t, "/known/", keys...); resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || !strings.Contains(text, "unconfirmed, not_run") {
				t.Errorf("unconfirmed: status %d, %q, header %v", resp.StatusCode, text, resp.Header)
			}
			if n := len(leaf.requests()); n > 0 {
				t.Errorf("%d requests reached the leaf", n)
			}
		})
	}
}

// Guards against refusals that cannot be traced, and against log lines that contain keys.
func TestKeyRefusalIsLoggedByFingerprint(t *testing.T) {
	f := newFixture(t, repeatableRoute("s"), map[string][]*fakeLeaf{"s": {startLeaf(t, replyWith("done"))}})
	f.install(f.engine, 2, false, acme(acmeKey))
	var out lockedBuffer
	f.engine.cfg.Log = decision.New(&out)
	f.doWith(t, "/a", "Token other-secret")
	f.engine.cfg.Log.Close()
	if line := out.String(); !strings.Contains(line, `"cause":"unknown"`) || !strings.Contains(line, route.DigestKey("other-secret").Fingerprint()) || strings.Contains(line, "secret") {
		t.Errorf("logged %s", line)
	}
}

// checkLeaves fails the test if a leaf has received an API key or another organisation.
func checkLeaves(t *testing.T, leaves map[string][]*fakeLeaf, organisation string) {
	t.Helper()
	n := 0
	for _, list := range leaves {
		for _, l := range list {
			for _, req := range l.requests() {
				n++
				if strings.Contains(fmt.Sprint(req), "secret") || req.header["Org"] != organisation {
					t.Fatalf("the leaf received %v", req)
				}
			}
		}
	}
	if n == 0 {
		t.Error("no request reached a leaf")
	}
}

// Guards against a key, or an organisation that the caller has made up, that reaches a leaf: on
// first sends, retries, hedges, sends through another daemon and handovers.
func TestLeavesReceiveOrganisationInsteadOfKey(t *testing.T) {
	refuse := func(_ *fakeLeaf, c net.Conn, req receivedRequest) bool {
		return reply(c, req, 503, "", "Not-Run: full")
	}
	slow := func(shard, k int) script {
		return func(l *fakeLeaf, c net.Conn, req receivedRequest) bool {
			if k == 0 {
				time.Sleep(60 * time.Millisecond) // late enough for a hedge
			}
			return validPart(shard, k)(l, c, req)
		}
	}
	for _, kind := range []string{"single", "gather", "scatter", "handover", "older daemon"} {
		t.Run(kind, func(t *testing.T) {
			var f *fixture
			rt, leaves := remoteRoute(t, slow)
			rt.MaxAttempts = 2
			switch kind {
			case "single":
				leaves = map[string][]*fakeLeaf{"s": {startLeaf(t, refuse), startLeaf(t, replyWith("done"))}}
				f = keyed(t, newFixture(t, repeatableRoute("s"), leaves))
			case "gather":
				f = keyed(t, newFixture(t, rt, leaves))
			default:
				two := newTwoDaemonFixture(t, rt, leaves)
				f = keyed(t, two.fixture)
				if kind != "older daemon" {
					f.install(two.remote, 2, false, acme(acmeKey))
				}
				if kind != "scatter" {
					two.peers.handoverAddrs = []string{two.peers.addr, unresponsiveAddr(t), unresponsiveAddr(t)}
				}
			}
			for range 4 {
				resp, text := f.doWith(t, "/a", "tOKEN  "+acmeKey)
				if resp.StatusCode != http.StatusOK || resp.Close != (kind == "handover") {
					t.Errorf("status %d, %q, close %v", resp.StatusCode, text, resp.Close)
				}
			}
			checkLeaves(t, leaves, "acme")
		})
	}
}

// Guards against a key that reaches a leaf in a trailer.
func TestTrailersLoseKeyAndOrganisation(t *testing.T) {
	req := &Request{Stream: target.NewStream(strings.NewReader(""), -1, []string{"Api-Key", "Org", "Sum"}, func() http.Header {
		return http.Header{"Api-Key": {acmeKey}, "Org": {"forged"}, "Sum": {"1"}}
	})}
	stripKey(testDialect, req)
	if _, got, err := req.Stream.ReadAll(nil, func(r io.Reader) io.Reader { return r }); err != nil || len(got) != 1 || got.Get("Sum") != "1" {
		t.Errorf("trailers %v, %v", got, err)
	}
}

// Guards against keys that are served after the lease has ended or before a first confirmation,
// keys that are refused while the lease lasts, and public routes that depend on it.
func TestLeaseOnKeysAtArrival(t *testing.T) {
	leaf := startLeaf(t, replyWith("done"))
	f := keyed(t, newFixture(t, repeatableRoute("s"), map[string][]*fakeLeaf{"s": {leaf}}))
	lastOrganisation := func() string { all := leaf.requests(); return all[len(all)-1].header["Org"] }
	check := func(name string, key string, want int) {
		t.Helper()
		resp, text := f.doWith(t, "/a", "Token "+key)
		if resp.StatusCode != want || want == 503 && (resp.Header.Get("Retry-After") == "" || !strings.Contains(text, "unconfirmed, not_run")) {
			t.Errorf("%s: status %d, %q, header %v, want %d", name, resp.StatusCode, text, resp.Header, want)
		}
	}
	setLease(f.engine, func() policy.Confirmation { return 0 })
	check("just started", acmeKey, 503)
	clock := setLease(f.engine, confirmedAgo(revokeTime*6/10))
	check("cut off", acmeKey, 200)
	clock.ahead.Store(int64(revokeTime * 4 / 10))
	check("suspended", acmeKey, 503)
	f.install(f.engine, 3, true, acme(acmeKey))
	check("public route", acmeKey, 200)
	if got := lastOrganisation(); got != "" {
		t.Errorf("a public route received organisation %q of a key that may be revoked", got)
	}
	setLease(f.engine, confirmedAgo(0))
	check("public route", acmeKey, 200)
	if got := lastOrganisation(); got != "acme" {
		t.Errorf("a public route received organisation %q of a known key", got)
	}
	check("public route, unknown key", "other-secret", 200)
	if got := lastOrganisation(); got != "" {
		t.Errorf("a public route received organisation %q of an unknown key", got)
	}
	f.install(f.engine, 4, false, route.Organisation{Name: "other", Keys: []string{acmeKey}})
	check("moved", acmeKey, 200)
	if got := lastOrganisation(); got != "other" {
		t.Errorf("organisation %q after the key has moved", got)
	}
	f.engine.cfg.RevokeTime = 0
	f.engine.cfg.Confirmation = confirmedAgo(time.Hour)
	check("no strict revocation", acmeKey, 200)
}

// Guards against headers that are changed where the configuration has no organisations.
func TestHeadersPassWithoutOrganisations(t *testing.T) {
	leaf := startLeaf(t, replyWith("done"))
	f := newFixture(t, repeatableRoute("s"), map[string][]*fakeLeaf{"s": {leaf}})
	setLease(f.engine, func() policy.Confirmation { return 0 })
	f.doWith(t, "/a", "Token own")
	if got := leaf.requests()[0].header; got["Api-Key"] != "Token own" || got["Org"] != "twice" {
		t.Errorf("headers %v", got)
	}
}

// Guards against a daemon that serves a request of another daemon although its own configuration
// does not allow the key.
func TestRequestsOfOtherDaemonsAreChecked(t *testing.T) {
	f := keyed(t, newFixture(t, repeatableRoute("s"), map[string][]*fakeLeaf{"s": {startLeaf(t, replyWith("done"))}}))
	digest := route.DigestKey(acmeKey)
	other := route.DigestKey("other-secret")
	const head = "GET /a HTTP/1.1\r\nHost: 127.0.0.1\r\n"
	for _, c := range []struct {
		name   string
		call   peerCall
		public bool
		age    time.Duration
		cause  policy.KeyCause
	}{
		{"known key", peerCall{digest: digest[:], organisation: "acme"}, false, 0, policy.KeyValid},
		{"older build", peerCall{}, false, 0, policy.KeyMissing},
		{"public route", peerCall{}, true, revokeTime, policy.KeyValid},
		{"unknown key", peerCall{digest: other[:], organisation: "acme"}, false, 0, policy.KeyUnknown},
		{"other organisation", peerCall{digest: digest[:], organisation: "other"}, false, 0, policy.KeyMoved},
		{"lease ended", peerCall{digest: digest[:], organisation: "acme"}, false, revokeTime, policy.KeyLeaseEnded},
		{"short digest", peerCall{digest: digest[:4], organisation: "acme"}, true, 0, policy.KeyMalformed},
		{"key in head", peerCall{head: []byte(head + "Api-Key: Token x\r\n")}, true, 0, policy.KeyUnchecked},
		{"organisation in head", peerCall{head: []byte(head + "Org: forged\r\n")}, true, 0, policy.KeyMissing},
	} {
		f.install(f.engine, f.engine.active.Load().version+1, c.public, acme(acmeKey))
		setLease(f.engine, confirmedAgo(c.age))
		if c.call.head == nil {
			c.call.head = []byte(head)
		}
		active, confirmation := f.engine.confirmedTable()
		id, refusal := f.engine.checkPeer(active, confirmation, c.call)
		if got := causeOf(refusal); got != c.cause || c.cause == policy.KeyValid && id.name() != c.call.organisation {
			t.Errorf("%s: cause %q, organisation %q, want cause %q", c.name, got, id.name(), c.cause)
		}
	}
}

func causeOf(k *keyRefusal) policy.KeyCause {
	if k == nil {
		return policy.KeyValid
	}
	return k.cause
}
