package forward

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/decision"
	"pearmoor/internal/intake"
	"pearmoor/internal/policy"
)

const (
	// headerTimeout bounds how long a caller may take to send a request header. It is longer
	// than any configurable value, since it is fixed when the server starts.
	headerTimeout = 10 * time.Second
	// defaultIdleTimeout applies until a configuration is installed.
	defaultIdleTimeout = 75 * time.Second
	// idleMargin is added to the configured idle timeout, so that callers with the same
	// timeout close first. Otherwise a caller could be sending a request at the moment when
	// the server closes the connection.
	idleMargin = 2 * time.Second
)

// Server serves connections of callers.
type Server struct {
	http    *http.Server
	idle    *idleConns
	handler *Handler
	intake  *intake.Intake
}

// NewServer returns a server that answers requests with handler and keeps within the limits of in.
func NewServer(handler *Handler, in *intake.Intake) *Server {
	s := &Server{idle: &idleConns{conns: make(map[*callerConn]struct{})}, handler: handler, intake: in}
	s.http = &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: 1 << 20,
		ErrorLog:    decision.NewServerLog("caller"),
		ConnContext: withCallerConn,
		ConnState: func(c net.Conn, st http.ConnState) {
			s.idle.update(c, st == http.StateIdle)
			intake.ConnState(c, st)
		},
	}
	return s
}

// Serve accepts connections until Shutdown is called. ctx ends the closing of idle
// connections.
func (s *Server) Serve(ctx context.Context, lis net.Listener) error {
	go s.idle.run(ctx, s.idleTimeout)
	accepted := s.intake.Listen(lis, intake.Port{
		Name: "callers", Share: policy.CallerShare, BodyTimeout: s.idleTimeout, MayDeny: s.handler.Engine.mayDeny,
		HeadBytes: func() int { return s.handler.limits().HeaderBytes },
	})
	err := s.http.Serve(callerListener{accepted, s.handler.Log})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (s *Server) idleTimeout() time.Duration {
	if t := s.handler.Engine.Table(); t != nil && t.Limits.IdleTimeout > 0 {
		return t.Limits.IdleTimeout + idleMargin
	}
	return defaultIdleTimeout
}

// Shutdown stops accepting connections, closes idle connections and waits for requests in
// flight until ctx is done.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }
