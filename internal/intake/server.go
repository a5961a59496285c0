package intake

import (
	"context"
	"io"
	"net"
	"net/http"
)

type connKey struct{}

// Serve serves lis with s within the limits, until s is closed. Each byte of a body that a handler
// reads counts as bodyCost bytes until the request ends.
func (in *Intake) Serve(s *http.Server, lis net.Listener, port Port, bodyCost int64) error {
	Configure(s, bodyCost)
	return s.Serve(in.Listen(lis, port))
}

// Configure makes s report what its connections do to their Intake. It must be called before s
// serves the listener of one.
func Configure(s *http.Server, bodyCost int64) {
	handler := s.Handler
	s.ConnState = ConnState
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, From(c))
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _ := r.Context().Value(connKey{}).(*Conn)
		defer conn.HandlerDone()
		if r.Body != nil && r.Body != http.NoBody {
			r.Body = body{conn.Body(r.Body, bodyCost), r.Body}
		}
		handler.ServeHTTP(w, r)
	})
}

type body struct {
	io.Reader
	io.Closer
}
