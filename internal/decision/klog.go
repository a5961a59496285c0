package decision

import (
	"bytes"
	"flag"
	"log"
	"strings"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
)

// RedirectKlog redirects klog to this log. The text of a klog line begins with the
// component of the program and a colon.
func (l *Log) RedirectKlog() error {
	set := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(set)
	var err error
	for name, value := range map[string]string{
		"logtostderr": "false", "stderrthreshold": "FATAL",
		"one_output":   "true", // otherwise klog writes an error also as a warning and as an info line
		"skip_headers": "true",
	} {
		err = errors.CombineErrors(err, set.Set(name, value))
	}
	for severity, level := range map[string]string{"INFO": "info", "WARNING": "warning", "ERROR": "error", "FATAL": "fatal"} {
		klog.SetOutputBySeverity(severity, klogWriter{l, level})
	}
	return errors.Wrap(err, "decision: klog")
}

// klogWriter logs the klog lines of one severity.
type klogWriter struct {
	log   *Log
	level string
}

// maxKlogBytes limits the text of a klog line, in bytes. A line with a list of addresses
// needs some hundreds.
const maxKlogBytes = 2000

// Write implements io.Writer. Each call has one line.
func (w klogWriter) Write(p []byte) (int, error) {
	text := string(bytes.TrimRight(p, "\n"))
	component, event, found := strings.Cut(text, ": ")
	if !found || strings.ContainsRune(component, ' ') {
		component, event = "process", text
	}
	if len(event) > maxKlogBytes {
		event = event[:maxKlogBytes]
	}
	w.log.newLine(w.level, component).endWith(event)
	return len(p), nil
}

// NewServerLog returns a logger for the errors of an http.Server, including panics of its
// handlers. They are logged as warnings; component names the server.
func NewServerLog(component string) *log.Logger { return log.New(serverLogWriter{component}, "", 0) }

type serverLogWriter struct{ component string }

// Write implements io.Writer. Each call has one message of the server.
func (w serverLogWriter) Write(p []byte) (int, error) {
	klog.Warningf("%s: %s", w.component, bytes.TrimRight(p, "\n"))
	return len(p), nil
}
