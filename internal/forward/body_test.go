package forward

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
)

// bodyLeaf is a leaf that records the bodies that it receives, by request id.
type bodyLeaf struct {
	fakeLeaf
	mu       sync.Mutex
	bodies   map[string][]byte
	trailers map[string]http.Header
}

func startBodyLeaf(t *testing.T) *bodyLeaf {
	t.Helper()
	l := &bodyLeaf{bodies: map[string][]byte{}, trailers: map[string]http.Header{}}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get(testDialect.RequestID)
		l.mu.Lock()
		l.bodies[id], l.trailers[id] = body, r.Trailer
		l.mu.Unlock()
		w.Header().Set(testDialect.RequestID, id)
		w.Header().Set(testDialect.Signature, strings.TrimPrefix(nextSignature(), "Signature: "))
		_, _ = w.Write([]byte("0123456789abcdef"))
	}))
	t.Cleanup(srv.Close)
	l.addr = srv.Listener.Addr().String()
	return l
}

func (l *bodyLeaf) received(id string) ([]byte, http.Header) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bodies[id], l.trailers[id]
}

// bodyGather is a gather over several services with one bodyLeaf each.
type bodyGather struct {
	*fixture
	leaves []*bodyLeaf
}

func newBodyGather(t *testing.T, shards int) *bodyGather {
	t.Helper()
	g := &bodyGather{}
	rt := repeatableRoute("")
	rt.Top, rt.MinCoverage = 5, 1
	leaves := map[string][]*fakeLeaf{}
	for i := range shards {
		name, leaf := fmt.Sprint("s", i), startBodyLeaf(t)
		rt.Shards, g.leaves = append(rt.Shards, name), append(g.leaves, leaf)
		leaves[name] = []*fakeLeaf{&leaf.fakeLeaf}
	}
	g.fixture = newFixture(t, rt, leaves)
	return g
}

// send sends a body, in chunks unless sized, with an optional trailer.
func (g *bodyGather) send(t *testing.T, id string, body []byte, sized bool, trailer http.Header) *http.Response {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, g.url+"/", io.MultiReader(bytes.NewReader(body)))
	if err != nil {
		t.Fatal(err)
	}
	req.ContentLength, req.Trailer = -1, trailer
	if sized {
		req.ContentLength = int64(len(body))
	}
	req.Header.Set(testDialect.RequestID, id)
	req.Header.Set(testDialect.Deadline, "3000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp
}

func randomBody(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte('a' + rand.N(26))
	}
	return b
}

// Guards against a process that ends because sends read a request's trailer while it arrives.
func TestTrailerOfLongGatherBody(t *testing.T) {
	g := newBodyGather(t, 12)
	for i := range 20 {
		g.send(t, fmt.Sprint("trailed-", i), randomBody(bufferedBodyBytes+500), false, http.Header{"X-Sum": {"1"}, "X-Part": {"2"}, "X-Count": {"3"}})
	}
}

// Guards against a body that the sends of several shards divide among them, or that no leaf gets
// whole.
func TestLongGatherBodyReachesEveryShardWhole(t *testing.T) {
	trailer := http.Header{"X-Sum": {"1"}}
	for _, c := range []struct {
		name    string
		length  int
		sized   bool
		trailer http.Header
	}{
		{"short in chunks", 20_000, false, nil},
		{"long in chunks", 200_000, false, nil},
		{"long with a length", 200_000, true, nil},
		{"short with a trailer", 20_000, false, trailer},
		{"long with a trailer", 200_000, false, trailer},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newBodyGather(t, 12)
			for i := range 5 {
				id, body := fmt.Sprint("long-", i), randomBody(c.length)
				resp := g.send(t, id, body, c.sized, c.trailer.Clone())
				if resp.StatusCode != http.StatusOK || resp.Header.Get(testDialect.MissingParts) != "0" {
					t.Errorf("status %d, %s parts missing", resp.StatusCode, resp.Header.Get(testDialect.MissingParts))
				}
				for shard, leaf := range g.leaves {
					got, gotTrailer := leaf.received(id)
					if !bytes.Equal(got, body) {
						t.Errorf("shard %d got another body, of %d bytes", shard, len(got))
					}
					if gotTrailer.Get("X-Sum") != c.trailer.Get("X-Sum") {
						t.Errorf("shard %d got the trailer %v", shard, gotTrailer)
					}
				}
			}
		})
	}
}

// Guards against a gather whose long body is over its limit being run with a part of it.
func TestGatherBodyOverItsLimit(t *testing.T) {
	g := newBodyGather(t, 4)
	resp := g.send(t, "over", randomBody(defaultBodyLimit+1), false, nil)
	if resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("status %d", resp.StatusCode)
	}
	for shard, leaf := range g.leaves {
		if got, _ := leaf.received("over"); got != nil {
			t.Errorf("shard %d ran it", shard)
		}
	}
}
