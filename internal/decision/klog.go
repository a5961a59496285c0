package decision

import (
	"bytes"
	"flag"
	"log"
	"strings"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
)

// TakeKlog puts the lines of klog into this log. Their text begins with the part of the
// program and a colon.
func (l *Log) TakeKlog() error {
	set := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(set)
	var err error
	for name, value := range map[string]string{
		"logtostderr": "false", "stderrthreshold": "FATAL",
		"one_output":   "true", // or an error would be told as a warning and an info as well
		"skip_headers": "true",
	} {
		err = errors.CombineErrors(err, set.Set(name, value))
	}
	for severity, level := range map[string]string{"INFO": "info", "WARNING": "warning", "ERROR": "error", "FATAL": "fatal"} {
		klog.SetOutputBySeverity(severity, klogWriter{l, level})
	}
	return errors.Wrap(err, "decision: klog")
}

// klogWriter takes the lines of one severity.
type klogWriter struct {
	log   *Log
	level string
}

// longestKlog bounds a line of klog, in bytes: a list of addresses is some hundreds.
const longestKlog = 2000

// Write implements io.Writer for one line.
func (w klogWriter) Write(p []byte) (int, error) {
	text := string(bytes.TrimRight(p, "\n"))
	part, what, found := strings.Cut(text, ": ")
	if !found || strings.ContainsRune(part, ' ') {
		part, what = "process", text
	}
	if len(what) > longestKlog {
		what = what[:longestKlog]
	}
	w.log.line(w.level, part).end(what)
	return len(p), nil
}

// ServerLog returns a log for the faults that a http.Server meets, panics of its handlers
// among them; part names the server.
func ServerLog(part string) *log.Logger { return log.New(serverWriter{part}, "", 0) }

type serverWriter struct{ part string }

// Write implements io.Writer for one fault.
func (w serverWriter) Write(p []byte) (int, error) {
	klog.Warningf("%s: %s", w.part, bytes.TrimRight(p, "\n"))
	return len(p), nil
}
