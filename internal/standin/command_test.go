package standin

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
)

func FuzzParseCommand(f *testing.F) {
	for _, seed := range []string{
		`{}`, `{"leaf":"a","set":{"slots":3,"latency":"5ms"}}`, `{"set":{"slots":0}}`, `{"set":[]}`,
		`{"publish":{"version":2,"shards":4}}`, `{"publish":{"version":0}}`, `{"power":"sideways"}`,
		`{"set":{"straggler_share":1e400}}`, `{"set":null}`, `{"unknown":1}`, `[`, `{"set":{"latency":"5"}}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		c, err := ParseCommand(body)
		var fs contract.Faults
		if err != nil {
			if !errors.As(err, &fs) || len(fs) == 0 {
				t.Fatalf("no faults for %q: %v", body, err)
			}
			return
		}
		if c.Set == nil {
			return
		}
		b, err := DefaultBehavior().Update(c.Set)
		if err != nil || b.Validate() != nil {
			t.Fatalf("accepted a behavior that is invalid: %q", body)
		}
	})
}

func TestControlSelectsLeaves(t *testing.T) {
	fleet, err := StartFleet(FleetConfig{Host: "127.0.0.1", Services: []ServiceSpec{
		{Path: "a/x", Leaves: []string{"x1", "x2"}, Behavior: DefaultBehavior()},
		{Path: "a/y", Leaves: []string{"y1", "y2", "y3"}, Behavior: DefaultBehavior()},
		{Path: "ab", Leaves: []string{"z1"}, Behavior: DefaultBehavior()},
	}})
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Close()
	for _, c := range []struct {
		body   string
		status int
		reply  string
	}{
		{`{"service":"/a/","set":{"slots":3}}`, http.StatusOK, `{"leaves":5}`},
		{`{"leaf":"y2","publish":{"version":2,"shards":6}}`, http.StatusOK, `{"leaves":1}`},
		{`{"reset_peaks":true}`, http.StatusOK, `{"leaves":6}`},
		{`{"leaf":"nobody","reset_peaks":true}`, http.StatusBadRequest, ""},
		{`{"set":{"slots":-1}}`, http.StatusBadRequest, ""},
	} {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, ControlPath, bytes.NewBufferString(c.body))
		fleet.Handler().ServeHTTP(w, r)
		if w.Code != c.status || (c.reply != "" && w.Body.String() != c.reply) {
			t.Errorf("%s: %d %s", c.body, w.Code, w.Body)
		}
	}
	for _, l := range fleet.Leaves() {
		want := 3
		if l.Name() == "z1" {
			want = DefaultBehavior().Slots
		}
		if got := l.Behavior().Slots; got != want {
			t.Errorf("%s has %d slots", l.Name(), got)
		}
	}
}
