package forward

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/decision"
)

const (
	// headerTimeout bounds how long a caller may take for a request's header;
	// longer than any configuration allows, since it is fixed at the start.
	headerTimeout = 10 * time.Second
	// defaultIdle holds until a configuration is known.
	defaultIdle = 75 * time.Second
	// idleSlack keeps this side from closing first: a caller that goes by the same
	// limit may be sending at that very moment.
	idleSlack = 2 * time.Second
)

// Server takes callers' connections.
type Server struct {
	http *http.Server
	idle *idleConns
	h    *Handler
}

// NewServer returns a server for h.
func NewServer(h *Handler) *Server {
	s := &Server{idle: &idleConns{conns: make(map[*callerConn]struct{})}, h: h}
	s.http = &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: 1 << 20,
		ErrorLog:    decision.ServerLog("caller"),
		ConnContext: withCallerConn,
		ConnState: func(c net.Conn, st http.ConnState) {
			s.idle.note(c, st == http.StateIdle)
		},
	}
	return s
}

// Serve takes connections until Shutdown; ctx ends what goes on beside it.
func (s *Server) Serve(ctx context.Context, lis net.Listener) error {
	go s.idle.run(ctx, s.idleLimit)
	err := s.http.Serve(callerListener{lis, s.h.Log})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (s *Server) idleLimit() time.Duration {
	if t := s.h.Engine.Table(); t != nil && t.Limits.IdleTimeout > 0 {
		return t.Limits.IdleTimeout + idleSlack
	}
	return defaultIdle
}

// Shutdown stops taking connections, closes idle ones and waits for requests in
// flight until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }
