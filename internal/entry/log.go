package entry

import (
	"log"
	"net/http"
	"strings"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

// connLog takes the lines of net/http about single connections, such as a failed
// TLS handshake. They are the callers' faults and would flood the log.
type connLog struct{}

// Write implements io.Writer.
func (connLog) Write(line []byte) (int, error) {
	klog.V(1).Infof("entry: %s", strings.TrimSpace(string(line)))
	return len(line), nil
}

const (
	// failureLines bounds the lines a second about requests that were not answered.
	failureLines      = 20
	failureLinesBurst = 100
)

var (
	failureLimit    = rate.NewLimiter(failureLines, failureLinesBurst)
	failuresLeftOut = metrics.GetOrRegisterCounter("entry.failures.not_logged", nil)
)

// logFailure tells why a request was not answered.
func logFailure(id string, status int, err error) {
	switch {
	case status == http.StatusInternalServerError:
		klog.Errorf("entry: request %s failed: %v", id, err)
	case failureLimit.Allow():
		klog.Infof("entry: request %s not answered status=%d: %v", id, status, err)
	default:
		failuresLeftOut.Inc(1)
	}
}

func errorLog() *log.Logger { return log.New(connLog{}, "", 0) }
