package cli

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"pearmoor/internal/logs"
)

// traceResult is the output of the trace command.
type traceResult struct{ *logs.Trace }

func (a *app) declareTrace(k *kingpin.Application) {
	var id string
	var files []string
	c := k.Command("trace", `Show what collected logs tell of one request: every decision on it, and what the
daemons that made them believed a second before and after, in order of time.
Files that can't be read and lines that are no log lines are named; exit 1 if any
was, or nothing was found.

Example: pearmoor trace e03c7c20ffb7c88d logs/*.log`)
	c.Arg("id", "The request's id, as its caller sent it.").Required().StringVar(&id)
	c.Arg("files", "Logs of daemons.").Required().StringsVar(&files)
	c.Action(func(*kingpin.ParseContext) error { return a.printTrace(id, files) })
}

func (a *app) printTrace(id string, files []string) error {
	t := &traceResult{logs.ReadTrace(id, files)}
	if err := a.print(t); err != nil {
		return err
	}
	switch {
	case len(t.Lines) == 0:
		return exitErrorf(ExitFailed, "nothing about request %s in %s (%s)", id, plural(len(files), "file"), plural(len(t.Problems), "trouble"))
	case len(t.Problems) > 0:
		return exitErrorf(ExitFailed, "%s: the trace may be incomplete", plural(len(t.Problems), "trouble"))
	}
	return nil
}

// maxShownTroubles limits how many unreadable files and lines are shown as text.
const maxShownTroubles = 20

func (t *traceResult) writeText(w io.Writer) {
	for _, l := range t.Lines {
		fmt.Fprintf(w, "%s  %s  %s\n", l.Time.UTC().Format("15:04:05.000"), l.File, l.Text)
	}
	for i, trouble := range t.Problems {
		if i == maxShownTroubles {
			fmt.Fprintf(w, "and %s more\n", plural(len(t.Problems)-i, "trouble"))
			return
		}
		if trouble.Line == 0 {
			fmt.Fprintf(w, "not read: %s: %s\n", trouble.File, trouble.Why)
			continue
		}
		fmt.Fprintf(w, "not a log line: %s:%d: %s\n", trouble.File, trouble.Line, trouble.Why)
	}
}
