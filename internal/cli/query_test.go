package cli

import (
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"pearmoor/internal/contract"
	"pearmoor/internal/entry"
)

// fakeEntry starts an entry VM that returns urls as its address list and handles
// queries with answer.
func fakeEntry(urls func() []string, answer http.HandlerFunc) *httptest.Server {
	mux := http.NewServeMux()
	mux.HandleFunc(entry.AddressesPath, func(w http.ResponseWriter, r *http.Request) {
		list := contract.Addresses{Service: r.URL.Query().Get("service"), LifetimeMS: 1000, Session: "s-1"}
		for i, u := range urls() {
			list.Addresses = append(list.Addresses, contract.Address{VM: fmt.Sprintf("e%d", i), URL: u})
		}
		_ = json.NewEncoder(w).Encode(list)
	})
	mux.HandleFunc(entry.QueryPath, answer)
	return httptest.NewServer(mux)
}

func answerQuery(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(contract.Answer{
		RequestID: "r-1", Verdict: contract.Ran, IndexVersions: map[string]uint64{"desk/a": 7}, ServedBy: "e1",
		Coverage: contract.Coverage{Answered: 1, Total: 2, Missing: []contract.Missing{{Service: "desk/a", Shard: 1, Reason: contract.ReasonDeadline}}},
		Hits:     []contract.ServiceHit{{Service: "desk/a", Hit: contract.Hit{ID: "letter-9", Score: 0.5}}},
	})
}

func answerFailure(status int, verdict contract.Verdict) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(contract.Failure{Verdict: verdict, Reason: contract.ReasonOverload, Message: "busy"})
	}
}

func runQueryCommand(entry *httptest.Server, args ...string) toolResult {
	c := &controlFixture{}
	return c.runWithInput(nil, append([]string{"query", "--entry=" + entry.URL, "/desk/a", `--body={"q":1}`}, args...)...)
}

func TestQuery(t *testing.T) {
	Convey("An answer is printed with its coverage, and low coverage gives ExitPartial", t, func() {
		var e *httptest.Server
		e = fakeEntry(func() []string { return []string{e.URL} }, answerQuery)
		defer e.Close()
		r := runQueryCommand(e)
		So(r.code, ShouldEqual, ExitOK)
		So(r.out, ShouldContainSubstring, "coverage 1 of 2 shards (50.0%)")
		So(r.out, ShouldContainSubstring, "letter-9")
		So(r.out, ShouldContainSubstring, "deadline")
		So(runQueryCommand(e, "--require-coverage=0.9").code, ShouldEqual, ExitPartial)
	})
	Convey("The next address is tried after a refusal or a failed connection", t, func() {
		var good *httptest.Server
		good = fakeEntry(func() []string { return []string{good.URL} }, answerQuery)
		defer good.Close()
		var e *httptest.Server
		e = fakeEntry(func() []string { return []string{"http://127.0.0.1:1", e.URL, good.URL} }, answerFailure(429, contract.NotRun))
		defer e.Close()
		So(runQueryCommand(e, "--once").code, ShouldEqual, ExitOK)
	})

	// The first daemon accepts a request and dies before it answers. The tool must
	// not send a request that is not repeatable to the next daemon: it could run twice.
	Convey("A request that is not repeatable is not sent again after it may have run", t, func() {
		var ran atomic.Int32
		good := fakeEntry(func() []string { return nil }, func(w http.ResponseWriter, r *http.Request) {
			ran.Add(1)
			answerQuery(w, r)
		})
		defer good.Close()
		var e *httptest.Server
		e = fakeEntry(func() []string { return []string{e.URL, good.URL} }, func(http.ResponseWriter, *http.Request) {
			ran.Add(1)
			panic(http.ErrAbortHandler)
		})
		defer e.Close()
		r := runQueryCommand(e, "--once", "--key=fee-1")
		So(r.code, ShouldEqual, ExitInDoubt)
		So(r.err, ShouldContainSubstring, "--key=fee-1 --session=s-1")
		So(ran.Load(), ShouldEqual, 1)

		ran.Store(0) // a repeatable request is sent to the next daemon
		So(runQueryCommand(e).code, ShouldEqual, ExitOK)
		So(ran.Load(), ShouldEqual, 2)
	})
	Convey("An https entry is trusted only if --entry-ca holds its authority", t, func() {
		var e *httptest.Server
		e = fakeEntry(func() []string { return []string{e.URL} }, answerQuery)
		defer e.Close()
		secure := httptest.NewTLSServer(e.Config.Handler)
		defer secure.Close()
		secure.Config.ErrorLog = log.New(io.Discard, "", 0)
		ca := filepath.Join(t.TempDir(), "ca.pem")
		So(os.WriteFile(ca, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: secure.Certificate().Raw}), 0o600), ShouldBeNil)
		c := &controlFixture{}
		ask := []string{"addresses", "--entry=" + secure.URL, "/desk/a"}
		So(c.runWithInput(nil, ask...).code, ShouldEqual, ExitNotRun)
		So(c.runWithInput(nil, append(ask, "--entry-ca="+ca)...).code, ShouldEqual, ExitOK)
	})
	Convey("Bad JSON in --body is a usage error", t, func() {
		c := &controlFixture{}
		r := c.runWithInput(nil, "query", "--entry=http://127.0.0.1:1", "/desk/a", "--body={")
		So(r.code, ShouldEqual, ExitUsage)
	})
}

func TestEveryCommandHelpHasExample(t *testing.T) {
	Convey("Every command's help has an example", t, func() {
		c := &controlFixture{}
		commands := strings.Fields("get set unset remove plan explain history audit diff revert export apply status query addresses ready domains load")
		for _, name := range append(commands, "control add", "control remove", "control replace", "certs init", "certs vm", "certs operator") {
			r := c.runWithInput(nil, append(strings.Fields(name), "--help")...)
			So(r.code, ShouldEqual, ExitOK)
			So(r.out, ShouldContainSubstring, "Example: pearmoor "+strings.Fields(name)[0])
		}
	})
}
