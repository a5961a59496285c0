package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/standin"
)

const statsTimeout = 10 * time.Second

// LeafSeries is the in-flight peak of one leaf in each window of a run.
type LeafSeries struct {
	Name     string    `json:"name"`
	Service  string    `json:"service"`
	Slots    int       `json:"slots"`
	Peaks    []int     `json:"most_in_flight"` // peak of running plus queued requests in each window
	EndTimes []float64 `json:"at_s"`           // end of each window, from the start of the run
}

// LeafReport is a run as the stand-in leaves counted it.
type LeafReport struct {
	Runs           standin.RunStats   `json:"runs"` // of this run only
	PeakInFlight   int                `json:"most_in_flight"`
	PeakOverSlots  float64            `json:"most_in_flight_over_slots"`
	PeakOpen       int                `json:"most_open"`
	PeakOverLimit  float64            `json:"most_open_over_cap"`
	Opened         uint64             `json:"connections_opened"`
	ConnsRefused   uint64             `json:"connections_refused"`
	Refused        uint64             `json:"refused"`
	Expired        uint64             `json:"expired"`
	Cancelled      uint64             `json:"cancelled"`
	WhileDraining  uint64             `json:"while_draining"`
	Series         []LeafSeries       `json:"series,omitempty"`
	before, latest standin.FleetStats // first and last reading
}

// statsPoller polls the statistics of stand-in leaves during a run.
type statsPoller struct {
	http   *http.Client
	url    string
	start  time.Time
	report LeafReport
}

func newStatsPoller(ctx context.Context, client *http.Client, control string) (*statsPoller, error) {
	p := &statsPoller{http: client, url: strings.TrimSuffix(strings.TrimSpace(control), "/")}
	if err := Command(ctx, client, p.url, standin.Command{ResetPeaks: true}); err != nil {
		return nil, err
	}
	st, err := p.read(ctx)
	if err != nil {
		return nil, err
	}
	p.start = time.Now()
	p.report.before = *st
	for _, l := range st.Leaves {
		p.report.Series = append(p.report.Series, LeafSeries{Name: l.Name, Service: strings.Join(l.Services, ","), Slots: l.Slots})
	}
	return p, nil
}

// Command sends a control command to stand-in leaves.
func Command(ctx context.Context, client *http.Client, control string, c standin.Command) error {
	payload, err := json.Marshal(c)
	if err != nil {
		return err
	}
	control = strings.TrimSuffix(strings.TrimSpace(control), "/")
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, control+standin.ControlPath, strings.NewReader(string(payload)))
	if err != nil {
		return err
	}
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("stand-in control: %s", resp.Status)
	}
	return nil
}

// Stats returns the statistics of stand-in leaves.
func Stats(ctx context.Context, client *http.Client, control string) (*standin.FleetStats, error) {
	return readStats(ctx, client, strings.TrimSuffix(strings.TrimSpace(control), "/")+standin.StatsPath)
}

func (p *statsPoller) read(ctx context.Context) (*standin.FleetStats, error) {
	return readStats(ctx, p.http, p.url+standin.StatsPath+"?window=1")
}

func readStats(ctx context.Context, client *http.Client, url string) (*standin.FleetStats, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("stand-in statistics: %s", resp.Status)
	}
	st := new(standin.FleetStats)
	return st, json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(st)
}

// run polls until ctx ends, and once more after ctx has ended.
func (p *statsPoller) run(ctx context.Context, window time.Duration) error {
	tick := time.NewTicker(window)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if st, err := p.read(ctx); err == nil {
				p.add(st)
			}
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), statsTimeout)
			defer cancel()
			st, err := p.read(last)
			if err != nil {
				return err
			}
			p.add(st)
			return nil
		}
	}
}

func (p *statsPoller) add(st *standin.FleetStats) {
	p.report.latest = *st
	at := time.Since(p.start).Seconds()
	for i, l := range st.Leaves {
		if i >= len(p.report.Series) {
			break
		}
		s := &p.report.Series[i]
		s.Peaks = append(s.Peaks, l.WindowInFlight)
		s.EndTimes = append(s.EndTimes, at)
	}
}

// finish returns the report, computed from the first and the last reading.
func (p *statsPoller) finish() *LeafReport {
	r := &p.report
	r.Runs.Total = r.latest.Runs.Total - r.before.Runs.Total
	r.Runs.Extra = r.latest.Runs.Extra - r.before.Runs.Extra
	r.Runs.NonRepeatable = r.latest.Runs.NonRepeatable - r.before.Runs.NonRepeatable
	r.Runs.Doubled = r.latest.Runs.Doubled - r.before.Runs.Doubled
	for i, l := range r.latest.Leaves {
		b := r.before.Leaves[i]
		r.PeakInFlight = max(r.PeakInFlight, l.PeakInFlight)
		r.PeakOverSlots = max(r.PeakOverSlots, float64(l.PeakInFlight)/float64(l.Slots))
		r.PeakOpen = max(r.PeakOpen, l.PeakOpen)
		if l.Connections > 0 {
			r.PeakOverLimit = max(r.PeakOverLimit, float64(l.PeakOpen)/float64(l.Connections))
		}
		r.Opened += l.Opened - b.Opened
		r.ConnsRefused += l.ConnectionsRefused - b.ConnectionsRefused
		r.Refused += l.Refused + l.QueueRefused - b.Refused - b.QueueRefused
		r.Expired += l.Expired - b.Expired
		r.Cancelled += l.Cancelled - b.Cancelled
		r.WhileDraining += l.WhileDraining - b.WhileDraining
	}
	return r
}

// busiest returns the n series with the highest peaks, in descending order.
func (r *LeafReport) busiest(n int) []LeafSeries {
	peak := func(s LeafSeries) int {
		if len(s.Peaks) == 0 {
			return 0
		}
		return slices.Max(s.Peaks)
	}
	sorted := slices.Clone(r.Series)
	slices.SortStableFunc(sorted, func(a, b LeafSeries) int { return peak(b) - peak(a) })
	return sorted[:min(n, len(sorted))]
}
