package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
)

// Files written by WriteFiles.
const (
	ResultFile  = "result.json"
	LatencyFile = "latency.svg"
	LeavesFile  = "leaves.svg"
)

const (
	fileMode = 0o644
	dirMode  = 0o755
	percent  = 100
)

// WriteTable writes r as a table for human readers.
func (r *Result) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name, format string, args ...any) {
		fmt.Fprintf(w, "%s\t"+format+"\n", append([]any{name}, args...)...)
	}
	row("scheduled", "%d at %.0f/s, %d skipped by this process", r.Scheduled, r.Rate, r.Skipped)
	row("answered", "%d, of these whole %d, late %d, broken %d", r.Answered, r.Whole, r.Late, r.BrokenAnswers)
	row("not run", "%d", r.Refused)
	row("in doubt", "%d", r.InDoubt)
	row("no reply", "%d %s", r.Failed, r.LastError)
	row("reasons", "%s", reasons(r.Reasons))
	for _, k := range slices.Sorted(maps.Keys(r.Messages)) {
		row("", "%s: %s", k, r.Messages[k])
	}
	row("coverage", "%.3f%% mean, missing: %s", r.Coverage*percent, reasons(r.Missing))
	row("goodput", "%.1f/s whole and in time", r.Goodput)
	row("answers", "%s", r.Answers)
	row("refusals", "%s", r.Refusals)
	row("failovers", "%d", r.Failovers)
	row("check", "lost %d, doubled %d, mixed versions %d, foreign %d, untrue coverage %d",
		r.Check.Lost, r.Check.Doubled, r.Check.Mixed, r.Check.Foreign, r.Check.Coverage)
	o := r.NonRepeatable
	row("not repeatable", "%d sent: ran %d, not run %d, in doubt %d; %d resends: %d same outcome, %d changed",
		o.Sent, o.Ran, o.NotRun, o.InDoubt, o.Resends, o.Repeated, o.Changed)
	if l := r.Leaves; l != nil {
		row("leaf runs", "%d, extra %d, doubled runs of not-repeatable %d", l.Runs.Total, l.Runs.Extra, l.Runs.Doubled)
		row("leaf in flight", "most %d, most over slots %.2f", l.PeakInFlight, l.PeakOverSlots)
		row("leaf connections", "most %d, over cap %.2f, opened %d, refused %d", l.PeakOpen, l.PeakOverLimit, l.Opened, l.ConnsRefused)
		row("leaf refusals", "shed %d, expired %d, stopped %d, while draining %d", l.Refused, l.Expired, l.Cancelled, l.WhileDraining)
	}
	return w.Flush()
}

// String returns the quantiles as one line.
func (q Quantiles) String() string {
	if q.Count == 0 {
		return "none"
	}
	return fmt.Sprintf("p50 %.1f ms, p90 %.1f, p99 %.1f, p99.9 %.1f, max %.1f (%d)", q.P50, q.P90, q.P99, q.P999, q.Max, q.Count)
}

func reasons(m map[contract.Reason]int) string {
	if len(m) == 0 {
		return "none"
	}
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%s %d", k, m[k]))
	}
	return strings.Join(parts, ", ")
}

// WriteFiles writes the result as JSON and the plots as SVG files to dir.
func (r *Result) WriteFiles(dir string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return err
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	err = os.WriteFile(filepath.Join(dir, ResultFile), append(data, '\n'), fileMode)
	err = errors.CombineErrors(err, PlotLatency(filepath.Join(dir, LatencyFile), r.Windows))
	if r.Leaves != nil {
		err = errors.CombineErrors(err, PlotLeaves(filepath.Join(dir, LeavesFile), r.Leaves))
	}
	return err
}
