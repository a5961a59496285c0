package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"pearmoor/internal/load"
)

// event is a step of the fault script, or its failure. At is in seconds since the start.
type event struct {
	At          float64 `json:"at_s"`
	Description string  `json:"what"`
}

// row is the result for one kind of request. The shares are fractions of its requests.
type row struct {
	Kind     string  `json:"kind"`
	Requests int     `json:"requests"`
	InTime   float64 `json:"in_aim"`
	Late     float64 `json:"late"`
	Rejected float64 `json:"refused"`
	Failed   float64 `json:"failed"`
	Retried  float64 `json:"asked_again"`
	Coverage float64 `json:"coverage"` // mean over served requests
	load.Quantiles
}

// report is the result of a run.
type report struct {
	Rows             []row   `json:"rows"`
	ExtraShare       float64 `json:"extra_sends"` // retries and hedges for each first send
	MaxOverSlots     float64 `json:"most_in_flight_over_slots"`
	MeanMaxOverSlots float64 `json:"mean_most_in_flight_over_slots"`
	ConnsOpened      int64   `json:"connections_opened"`
	CPUMicrosPerSend float64 `json:"processor_us_per_send"`
	Events           []event `json:"events"`

	Evacuation   *evacuationReport `json:"evacuation,omitempty"`
	WrongAnswers []string          `json:"wrong_answers"`
}

func (r *run) report() *report {
	out := &report{Events: r.events}
	for _, t := range r.stats {
		t.mu.Lock()
		n := float64(max(t.count, 1))
		out.Rows = append(out.Rows, row{
			Kind: t.kind.name, Requests: t.count, InTime: float64(t.inTime) / n, Late: float64(t.late) / n,
			Rejected: float64(t.rejected) / n, Failed: float64(t.failed) / n, Retried: float64(t.retried) / n,
			Coverage: t.coverage / float64(max(t.inTime+t.late, 1)), Quantiles: t.recorder.Total(),
		})
		out.WrongAnswers = append(out.WrongAnswers, t.wrongAnswers...)
		t.mu.Unlock()
	}
	p := r.platform
	p.mu.Lock()
	defer p.mu.Unlock()
	sends := p.firstSends + p.extraSends
	out.ExtraShare = float64(p.extraSends) / float64(max(p.firstSends, 1))
	out.CPUMicrosPerSend = float64(r.tierCPU.Microseconds()) / float64(max(sends, 1))
	windows := 0
	for l, s := range p.series {
		out.ConnsOpened += l.connsOpened.Load()
		for _, m := range s.Peaks {
			over := float64(m) / float64(s.Slots)
			out.MaxOverSlots = max(out.MaxOverSlots, over)
			out.MeanMaxOverSlots += over
			windows++
		}
	}
	out.MeanMaxOverSlots /= float64(max(windows, 1))
	if r.faults == "evacuation" {
		out.Evacuation = p.evacuation.report()
	}
	return out
}

func (r *report) print(w io.Writer) {
	fmt.Fprintf(w, "%-8s %8s %7s %6s %8s %7s %6s %9s %8s %8s %8s\n",
		"kind", "requests", "in aim", "late", "refused", "failed", "again", "coverage", "p50 ms", "p90 ms", "p99 ms")
	for _, x := range r.Rows {
		fmt.Fprintf(w, "%-8s %8d %6.1f%% %5.1f%% %7.2f%% %6.2f%% %5.1f%% %8.2f%% %8.1f %8.1f %8.1f\n",
			x.Kind, x.Requests, 100*x.InTime, 100*x.Late, 100*x.Rejected, 100*x.Failed, 100*x.Retried, 100*x.Coverage, x.P50, x.P90, x.P99)
	}
	if x := r.Evacuation; x != nil {
		fmt.Fprintf(w, "evacuation: acknowledged after %.0f ms, last request in the domain %.0f ms later, %d after %v; cold leaves got at most %d requests in a second, they bear %v\n",
			x.AckMS, x.LastRequestMS, x.LateRequests, inForceTime, x.MostColdRequests, warmUpRate)
	}
	fmt.Fprintf(w, "leaves: %.1f%% extra sends; in flight over slots at most %.1f, mean of the windows %.2f; %d connections opened; %.0f us of the tier's processor a send\n",
		100*r.ExtraShare, r.MaxOverSlots, r.MeanMaxOverSlots, r.ConnsOpened, r.CPUMicrosPerSend)
	for _, e := range r.Events {
		fmt.Fprintf(w, "%6.1f s  %s\n", e.At, e.Description)
	}
	for _, f := range r.WrongAnswers {
		fmt.Fprintln(w, "WRONG ANSWER:", f)
	}
}

// save writes the report and its plots to dir.
func (r *run) save(rep *report, dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	text, err := json.MarshalIndent(rep, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "forward.json"), text, 0o644); err != nil {
		return err
	}
	for _, t := range r.stats {
		if err := load.PlotLatency(filepath.Join(dir, t.kind.name+".svg"), t.recorder.Windows()); err != nil {
			return err
		}
	}
	leaves := &load.LeafReport{}
	r.platform.mu.Lock()
	for _, s := range r.platform.series {
		leaves.Series = append(leaves.Series, *s)
	}
	r.platform.mu.Unlock()
	return load.PlotLeaves(filepath.Join(dir, "leaves.svg"), leaves)
}

const plotWindow = 500 * time.Millisecond
