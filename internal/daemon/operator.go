package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"pearmoor/internal/intake"
	"pearmoor/internal/policy"
)

// operatorReadTimeout bounds how long a client of the operator port may take to
// send its request.
const operatorReadTimeout = 5 * time.Second

const operatorHeaderBytes = 16 << 10

// readinessFunc reports whether the daemon accepts new requests, and its state or the
// reason why not.
type readinessFunc func() (ready bool, why string)

// operatorServer is the HTTP server for metrics, health, readiness, status and profiles.
type operatorServer struct {
	http *http.Server
}

func newOperatorServer(ready readinessFunc, status func() any) *operatorServer {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collector{metrics.DefaultRegistry})
	registry.MustRegister(collectors.NewGoCollector())
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))

	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) { writeReadiness(w, ready) })
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeStatus(w, status()) })
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	return &operatorServer{http: &http.Server{Handler: mux, ReadHeaderTimeout: operatorReadTimeout, MaxHeaderBytes: operatorHeaderBytes}}
}

func writeReadiness(w http.ResponseWriter, ready readinessFunc) {
	ok, why := ready()
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	fmt.Fprintln(w, why)
}

func writeStatus(w http.ResponseWriter, status any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(status); err != nil {
		klog.Warningf("operator: status was not written: %v", err)
	}
}

// serve serves lis within the limits of in until ctx is done.
func (o *operatorServer) serve(ctx context.Context, lis net.Listener, in *intake.Intake) error {
	stop := context.AfterFunc(ctx, func() { o.http.Close() })
	defer stop()
	port := intake.Port{Name: "operators", Share: policy.CallerShare, HeadBytes: func() int { return operatorHeaderBytes }}
	if err := in.Serve(o.http, lis, port, 1); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}
