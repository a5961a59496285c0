package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"
	"k8s.io/klog/v2"

	"pearmoor/internal/contract"
	"pearmoor/internal/intake"
	"pearmoor/internal/link/peer"
	"pearmoor/internal/policy"
	"pearmoor/internal/relay"
	"pearmoor/internal/vm"
)

// Limits of a caller's connection, so that a caller that sends its request too slowly
// or does not read its answer can't hold a connection forever.
const (
	headerTimeout   = 5 * time.Second
	readTimeout     = 30 * time.Second
	writeTimeout    = 30 * time.Second // for each chunk of an answer
	writeChunkBytes = 256 << 10        // bytes
	idleTimeout     = 2 * time.Minute
	maxHeaderBytes  = 16 << 10 // bytes
	bodyCost        = 3        // memory of each byte of a body, in bytes, with what it is decoded to
)

// Paths of the caller API.
const (
	AddressesPath = "/v1/addresses"
	QueryPath     = "/v1/query"
)

// Engine runs queries. Its errors are contract.Faults or *contract.Error; any other
// error is reported with verdict may_have_run.
type Engine interface {
	Query(ctx context.Context, requestID string, r *contract.Request) (*contract.Answer, error)
	// IssueSession returns a session for requests that are not repeatable, owned
	// by this run of the daemon.
	IssueSession() string
}

// Config holds the dependencies of a Server.
type Config struct {
	Self     vm.Identity
	Engine   Engine
	Source   relay.Source
	Clock    vm.Clock
	Draining func() bool // reports whether the daemon is draining; nil: never
	// Intake bounds what callers make the daemon keep; nil: no bound.
	Intake *intake.Intake
}

// Server is the HTTP server for callers. It implements http.Handler.
type Server struct {
	conf      Config
	app       *iris.Application
	ids       *requestIDGenerator
	readLimit readLimit
}

// New returns a Server. It fails only if the HTTP routes can't be built.
func New(conf Config) (*Server, error) {
	if conf.Draining == nil {
		conf.Draining = func() bool { return false }
	}
	s := &Server{conf: conf, ids: newRequestIDGenerator(conf.Self)}
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Get(AddressesPath, s.handle(s.addresses))
	app.Post(QueryPath, s.handle(s.query))
	app.OnErrorCode(http.StatusNotFound, s.handle(s.notFound))
	app.OnErrorCode(http.StatusMethodNotAllowed, s.handle(s.methodNotAllowed))
	app.Configure(iris.WithoutStartupLog, iris.WithFireMethodNotAllowed)
	if err := app.Build(); err != nil {
		return nil, errors.Wrap(err, "entry: routes")
	}
	s.app = app
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.app.ServeHTTP(w, r) }

// Serve answers callers on lis until ctx ends; it then stops accepting, waits
// for the requests in flight and returns nil. A nil tlsConf means plain HTTP.
func (s *Server) Serve(ctx context.Context, lis net.Listener, tlsConf *tls.Config) error {
	if s.conf.Intake != nil {
		lis = s.conf.Intake.Listen(lis, intake.Port{Name: "callers", Share: policy.OperatorShare, HeadBytes: func() int { return maxHeaderBytes }})
	}
	lis = peer.CallerListener(lis)
	if tlsConf != nil {
		lis = tls.NewListener(lis, tlsConf)
	}
	server := &http.Server{
		Handler:           s,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          errorLog(),
	}
	intake.Configure(server, bodyCost)
	served := make(chan error, 1)
	go func() { served <- server.Serve(lis) }()
	select {
	case err := <-served:
		return errors.Wrap(err, "entry: serve callers")
	case <-ctx.Done():
	}
	klog.Infof("entry: waiting for requests in flight")
	err := server.Shutdown(context.WithoutCancel(ctx))
	<-served
	return errors.Wrap(err, "entry: stop serving callers")
}
