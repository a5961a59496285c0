package forward

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"pearmoor/internal/route"
)

func record(s string) string { return fmt.Sprintf("%-16s", s)[:16] }

// gatherRoute returns a gather route over n shards and two leaves for each of them, with the
// scripts that newScript returns.
func gatherRoute(t *testing.T, n int, newScript func(shard, copy int) script) (route.Route, map[string][]*fakeLeaf) {
	t.Helper()
	rt := route.Route{Repeatable: true, MaxAttempts: 2, Top: 3, MinCoverage: 0.7, TargetLatency: 200 * time.Millisecond, AnswerMargin: 20 * time.Millisecond}
	leaves := map[string][]*fakeLeaf{}
	for i := range n {
		name := fmt.Sprintf("s%d", i)
		rt.Shards = append(rt.Shards, name)
		for k := range 2 {
			leaves[name] = append(leaves[name], startLeaf(t, newScript(i, k)))
		}
	}
	return rt, leaves
}

// The answer holds the greatest records of all parts in descending order, and its header lists
// the signature of each part.
func TestGatherMergesGreatestRecords(t *testing.T) {
	rt, leaves := gatherRoute(t, 4, func(shard, _ int) script {
		return replyWith(record(fmt.Sprint("b", shard)) + record(fmt.Sprint("d", shard)) + "rest")
	})
	f := newFixture(t, rt, leaves)
	resp, text := f.do(t, http.MethodGet, "/", "")
	if want := record("d3") + record("d2") + record("d1"); text != want {
		t.Errorf("got %q, want %q", text, want)
	}
	if parts := strings.Split(resp.Header.Get("Parts"), ", "); len(parts) != 4 || resp.Header.Get("Missing") != "0" {
		t.Errorf("parts %v, missing %s", parts, resp.Header.Get("Missing"))
	}
}

// Guards against a gather that is late because both leaves of one shard do not reply. With a
// target latency of 200 ms and a least coverage of 0.7 (7 in 10 shards), the answer has the
// other parts in time and reports one as missing.
func TestGatherAnswersInTimeWithoutSilentShard(t *testing.T) {
	rt, leaves := gatherRoute(t, 5, func(shard, _ int) script {
		if shard == 2 {
			return neverReply
		}
		return replyWith(record("x"))
	})
	f := newFixture(t, rt, leaves)
	began := time.Now()
	resp, _ := f.do(t, http.MethodGet, "/", "")
	took := time.Since(began)
	if resp.StatusCode != 200 || resp.Header.Get("Missing") != "1" {
		t.Errorf("status %d, missing %s", resp.StatusCode, resp.Header.Get("Missing"))
	}
	if took < 150*time.Millisecond || took > time.Second {
		t.Errorf("answered after %v, want almost the target latency: the gather waits for the missing part until then", took)
	}
}

// Guards against a part that is missing because one leaf of the shard does not reply: a hedge
// to the other leaf must bring it.
func TestGatherHedgesSilentLeaf(t *testing.T) {
	rt, leaves := gatherRoute(t, 5, func(shard, copy int) script {
		if shard == 2 && copy == 0 {
			return neverReply
		}
		return replyWith(record("x"))
	})
	f := newFixture(t, rt, leaves)
	for range 4 {
		if resp, _ := f.do(t, http.MethodGet, "/", ""); resp.Header.Get("Missing") != "0" {
			t.Fatalf("%s parts missing, want 0", resp.Header.Get("Missing"))
		}
	}
}

// Guards against replies that are counted as parts although they are not valid: an error, a
// truncated reply and the reply to another request, each with a signature.
func TestInvalidPartsAreNotCounted(t *testing.T) {
	bad := map[int]script{
		0: func(_ *fakeLeaf, c net.Conn, req receivedRequest) bool {
			return reply(c, req, 500, record("z"), nextSignature())
		},
		1: func(_ *fakeLeaf, c net.Conn, req receivedRequest) bool {
			fmt.Fprintf(c, "HTTP/1.1 200 x\r\nRequest-Id: %s\r\n%s\r\nContent-Length: 64\r\n\r\n%s", req.header["Request-Id"], nextSignature(), record("z"))
			return false
		},
		2: func(_ *fakeLeaf, c net.Conn, req receivedRequest) bool {
			req.header["Request-Id"] = "another"
			return reply(c, req, 200, record("z"), nextSignature())
		},
	}
	rt, leaves := gatherRoute(t, 10, func(shard, _ int) script {
		if s := bad[shard]; s != nil {
			return s
		}
		return replyWith(record("x"))
	})
	f := newFixture(t, rt, leaves)
	resp, text := f.do(t, http.MethodGet, "/", "")
	if resp.StatusCode != 200 || resp.Header.Get("Missing") != "3" || strings.Contains(text, "z") {
		t.Errorf("status %d, missing %s, body %q", resp.StatusCode, resp.Header.Get("Missing"), text)
	}
	for shard := range bad {
		for _, l := range leaves[fmt.Sprintf("s%d", shard)] {
			if n := len(l.requests()); n > 1 {
				t.Errorf("a leaf of shard %d got %d sends of one request, want at most 1", shard, n)
			}
		}
	}
}

// Guards against an answer that lists a signature twice, which would be invalid as a whole.
// The leaves of two shards return the same signature.
func TestDuplicateSignatureIsUsedOnce(t *testing.T) {
	rt, leaves := gatherRoute(t, 10, func(int, int) script { return replyWith(record("x")) })
	same := func(l *fakeLeaf, c net.Conn, req receivedRequest) bool {
		return reply(c, req, 200, record("y"), "Signature: same")
	}
	leaves["s0"] = []*fakeLeaf{startLeaf(t, same), startLeaf(t, same)}
	leaves["s1"] = []*fakeLeaf{startLeaf(t, same), startLeaf(t, same)}
	f := newFixture(t, rt, leaves)
	resp, _ := f.do(t, http.MethodGet, "/", "")
	if strings.Count(resp.Header.Get("Parts"), "same") != 1 || resp.Header.Get("Missing") != "1" {
		t.Errorf("parts %q, missing %s", resp.Header.Get("Parts"), resp.Header.Get("Missing"))
	}
}

// Guards against a gather that waits, or that is reported as not run, when too many shards
// have failed for an answer and some leaves have run the request.
func TestGatherFailsFastWithoutEnoughShards(t *testing.T) {
	rt, leaves := gatherRoute(t, 4, func(shard, _ int) script {
		if shard < 2 {
			return func(_ *fakeLeaf, c net.Conn, req receivedRequest) bool {
				return reply(c, req, 500, "", nextSignature())
			}
		}
		return replyWith(record("x"))
	})
	f := newFixture(t, rt, leaves)
	began := time.Now()
	resp, _ := f.do(t, http.MethodGet, "/", "")
	if resp.StatusCode != http.StatusBadGateway {
		t.Errorf("status %d", resp.StatusCode)
	}
	if took := time.Since(began); took > 700*time.Millisecond {
		t.Errorf("answered after %v, want at most 700 ms", took)
	}
}

// A gather whose shards have no leaves is refused as not run with a Retry-After.
func TestGatherWithoutLeavesIsRefused(t *testing.T) {
	rt, _ := gatherRoute(t, 3, func(int, int) script { return replyWith("") })
	f := newFixture(t, rt, nil)
	resp, _ := f.do(t, http.MethodGet, "/", "")
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
}
