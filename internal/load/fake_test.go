package load

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"go.uber.org/goleak"

	"pearmoor/internal/contract"
	"pearmoor/internal/standin"
)

const testPath = "hall/desk/svc"

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeEntry is a daemon that answers every query with all hits, unless reply replies.
type fakeEntry struct {
	*httptest.Server
	list  *contract.Addresses
	reply func(w http.ResponseWriter, q *contract.Request) bool // returns true if it has replied
}

func startFakeEntry(t *testing.T) *fakeEntry {
	e := &fakeEntry{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/addresses", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(e.list)
	})
	mux.HandleFunc("POST /v1/query", func(w http.ResponseWriter, r *http.Request) {
		var q contract.Request
		if json.NewDecoder(r.Body).Decode(&q) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if e.reply == nil || !e.reply(w, &q) {
			_ = json.NewEncoder(w).Encode(wholeAnswer(2, 1, runKeyOf(&q)))
		}
	})
	e.Server = httptest.NewServer(mux)
	e.list = addressesOf(e.URL)
	t.Cleanup(e.Close)
	return e
}

func addressesOf(urls ...string) *contract.Addresses {
	l := &contract.Addresses{Service: testPath, LifetimeMS: 60_000, Session: "session-1"}
	for _, u := range urls {
		l.Addresses = append(l.Addresses, contract.Address{URL: u})
	}
	return l
}

func runKeyOf(q *contract.Request) string {
	var body struct {
		RunKey string `json:"run_key"`
	}
	_ = json.Unmarshal(q.Body, &body)
	return body.RunKey
}

func wholeAnswer(shards uint32, version uint64, runKey string) *contract.Answer {
	a := &contract.Answer{
		Verdict:       contract.Ran,
		IndexVersions: map[string]uint64{testPath: version},
		Coverage:      contract.Coverage{Answered: int(shards), Total: int(shards)},
	}
	o := standin.Origin{Version: version, Shards: shards, Documents: standin.DefaultDocuments, RunKey: runKey}
	for s := range shards {
		for _, h := range standin.Hits(testPath, s, o) {
			a.Hits = append(a.Hits, contract.ServiceHit{Service: testPath, Shard: s, Hit: h})
		}
	}
	return a
}

func refuse(w http.ResponseWriter, f contract.Failure) bool {
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(w).Encode(f)
	return true
}
