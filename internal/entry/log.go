package entry

import (
	"log"
	"strings"

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

func errorLog() *log.Logger { return log.New(connLog{}, "", 0) }
