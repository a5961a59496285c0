package target

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
)

// Guards against two sends that read one body: a leaf would run a piece of it.
func TestStreamIsReadByOneSend(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789"), 20_000)
	arrived := make(chan []byte, 8)
	leaf := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if got, err := io.ReadAll(r.Body); err == nil {
			arrived <- got
		}
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	}))
	defer leaf.Close()
	for _, length := range []int64{-1, int64(len(body))} {
		link := NewLink("leaf", leaf.Listener.Addr().String(), 8)
		stream := NewStream(bytes.NewReader(body), length, nil, nil)
		errs := make(chan *contract.Error, 8)
		for range cap(errs) {
			go func() {
				_, err := link.Do(&Call{}, &Request{
					Dialect: testDialect, Method: http.MethodPost, ID: "a", Head: []byte("POST / HTTP/1.1\r\nHost: h\r\nRequest-Id: a\r\n"),
					Deadline: time.Now().Add(5 * time.Second), BodyLimit: 1000, Stream: stream,
				})
				errs <- err
			}()
		}
		sent := 0
		for range cap(errs) {
			switch err := <-errs; {
			case err == nil:
				sent++
			case err.Verdict != contract.NotRun || !errors.Is(err.Cause, ErrStreamTaken):
				t.Errorf("a send failed with %v", err)
			}
		}
		if sent != 1 || len(arrived) != 1 || !bytes.Equal(<-arrived, body) {
			t.Errorf("length %d: %d sends of one body, or it arrived changed", length, sent)
		}
		if _, _, err := stream.ReadAll(nil, unchanged); !errors.Is(err, ErrStreamTaken) {
			t.Errorf("the body was read once more: %v", err)
		}
		link.Close()
	}
}

func unchanged(r io.Reader) io.Reader { return r }

// Guards against a body that is lost to the next send because nothing of the first was written.
func TestUnwrittenSendLeavesTheStream(t *testing.T) {
	s := NewStream(bytes.NewReader([]byte("rest")), -1, nil, nil)
	if !s.take() || s.take() {
		t.Fatal("a stream has one reader")
	}
	s.giveBack()
	if body, _, err := s.ReadAll([]byte("start "), unchanged); err != nil || string(body) != "start rest" {
		t.Errorf("body %q, %v", body, err)
	}
}
