package entry

import (
	"log"
	"net/http"
	"strings"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

// connErrorWriter logs net/http's messages about single connections, such as a failed
// TLS handshake, at verbosity 1. They are caused by callers and would flood the log.
type connErrorWriter struct{}

// Write implements io.Writer.
func (connErrorWriter) Write(line []byte) (int, error) {
	klog.V(1).Infof("entry: %s", strings.TrimSpace(string(line)))
	return len(line), nil
}

const (
	// failureLinesPerSecond limits the rate of log lines about failed requests.
	failureLinesPerSecond = 20
	failureLinesBurst     = 100
)

var (
	failureLogLimiter = rate.NewLimiter(failureLinesPerSecond, failureLinesBurst)
	failuresNotLogged = metrics.GetOrRegisterCounter("entry.failures.not_logged", nil)
)

// logFailure logs why a request failed, within the rate limit unless the status is 500.
func logFailure(id string, status int, err error) {
	switch {
	case status == http.StatusInternalServerError:
		klog.Errorf("entry: request %s failed: %v", id, err)
	case failureLogLimiter.Allow():
		klog.Infof("entry: request %s not answered status=%d: %v", id, status, err)
	default:
		failuresNotLogged.Inc(1)
	}
}

func errorLog() *log.Logger { return log.New(connErrorWriter{}, "", 0) }
