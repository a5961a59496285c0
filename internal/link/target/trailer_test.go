package target

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// endReader records that its end has been read.
type endReader struct {
	io.Reader
	ended atomic.Bool
}

func (r *endReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if err == io.EOF {
		r.ended.Store(true)
	}
	return n, err
}

// Guards against a trailer that is read while it arrives: the process ends by concurrent access to
// the map.
func TestTrailerIsReadAfterTheBody(t *testing.T) {
	got := make(chan http.Header, 1)
	leaf := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		got <- r.Trailer
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	}))
	defer leaf.Close()
	link := NewLink("leaf", leaf.Listener.Addr().String(), 1)
	defer link.Close()
	body := &endReader{Reader: bytes.NewReader(make([]byte, 100_000))}
	early := false
	_, err := link.Do(&Call{}, &Request{
		Dialect: testDialect, Method: http.MethodPost, ID: "a", Head: []byte("POST / HTTP/1.1\r\nHost: h\r\nRequest-Id: a\r\n"),
		Deadline: time.Now().Add(5 * time.Second), BodyLimit: 1000,
		Stream: NewStream(body, -1, []string{"X-Sum"}, func() http.Header {
			early = early || !body.ended.Load()
			return http.Header{"X-Sum": {"1"}}
		}),
	})
	if err != nil {
		t.Fatal(err)
	}
	if early {
		t.Error("the trailer was read before the end of the body")
	}
	if trailer := <-got; strings.Join(trailer["X-Sum"], ",") != "1" {
		t.Errorf("the leaf received the trailer %v", trailer)
	}
}
