package leaf

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"pearmoor/internal/settings"
)

// startCutLeaf starts a leaf that answers each request with the first bytes of text, as many as cut
// says, and closes the connection.
func startCutLeaf(t *testing.T, text string) (leaf settings.Leaf, cut *atomic.Int64) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	cut = new(atomic.Int64)
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			if _, err := c.Read(make([]byte, 4096)); err == nil {
				_, _ = c.Write([]byte(text[:cut.Load()]))
			}
			_ = c.Close()
		}
	}()
	return settings.Leaf{Name: "a", Addr: lis.Addr().String()}, cut
}

// Guards against a reply or a status that ends early and is taken for whole.
func TestCutReplyIsAFailure(t *testing.T) {
	t.Parallel()
	const query = `{"request_id":"1","attempt":1,"service":"s","shard":0,"version":1,"hits":[]}`
	const status = `{"name":"a","state":"serving","slots":2,"in_flight":0}`
	for _, head := range []struct{ name, format string }{
		{"length", "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %[1]d\r\n\r\n%[2]s"},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%[1]x\r\n%[2]s\r\n0\r\n\r\n"},
		{"interim reply", "HTTP/1.1 103 x\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: %[1]d\r\n\r\n%[2]s"},
		{"bare line feeds", "HTTP/1.1 200 OK\nContent-Length: %[1]d\n\n%[2]s"},
		{"no length", "HTTP/1.1 200 OK\r\nA: %[1]d\r\nConnection: close\r\n\r\n%[2]s"},
	} {
		for _, exchange := range []string{"query", "probe"} {
			t.Run(head.name+" "+exchange, func(t *testing.T) {
				t.Parallel()
				body := map[string]string{"query": query, "probe": status}[exchange]
				text := fmt.Sprintf(head.format, len(body), body)
				leaf, cut := startCutLeaf(t, text)
				for n := range len(text) {
					cut.Store(int64(n))
					r := newFixture(t, leaf, 1, ConnConfig{MaxConns: 2}) // without the failures before
					var err error
					if exchange == "query" {
						_, err = r.send(contextWithTimeout(t, testTimeout), t, "1")
					} else {
						_, err = r.sender.probe(leaf.Addr, testTimeout)
					}
					r.sender.Close()
					if err == nil {
						t.Fatalf("taken for whole after %d of %d bytes: %q", n, len(text), text[:n])
					}
				}
			})
		}
	}
}
