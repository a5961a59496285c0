package load

import (
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth     = 20 * vg.Centimeter
	plotHeight    = 12 * vg.Centimeter
	plotMaxLeaves = 10  // maximum number of leaves drawn
	plotMinMS     = 0.1 // ms, lower bound since a log axis has no zero
	axisSeconds   = "time since start (s)"
)

// PlotLatency writes an SVG file with the latency quantiles of each window.
func PlotLatency(path string, windows []Window) error {
	p := plot.New()
	p.Title.Text = "latency from the scheduled start"
	p.X.Label.Text = axisSeconds
	p.Y.Label.Text = "latency (ms, log)"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Y.Min, p.Y.Max = plotMinMS, 1
	p.Legend.Top = true
	for i, line := range []struct {
		name string
		at   func(Quantiles) float64
	}{
		{"p50", func(q Quantiles) float64 { return q.P50 }},
		{"p90", func(q Quantiles) float64 { return q.P90 }},
		{"p99", func(q Quantiles) float64 { return q.P99 }},
		{"p99.9", func(q Quantiles) float64 { return q.P999 }},
	} {
		var xy plotter.XYs
		for _, w := range windows {
			if w.Count == 0 {
				continue
			}
			at := (time.Duration(w.StartMS) * time.Millisecond).Seconds()
			xy = append(xy, plotter.XY{X: at, Y: max(line.at(w.Quantiles), plotMinMS)})
		}
		if err := addLine(p, i, line.name, xy); err != nil {
			return err
		}
	}
	return p.Save(plotWidth, plotHeight, path)
}

// PlotLeaves writes an SVG file with the peak of requests in flight relative to the slots,
// for the busiest leaves.
func PlotLeaves(path string, r *LeafReport) error {
	p := plot.New()
	p.Title.Text = "most in flight per leaf over its slots (busiest leaves)"
	p.X.Label.Text = axisSeconds
	p.Y.Label.Text = "in flight / slots"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = true
	for i, s := range r.busiest(plotMaxLeaves) {
		xy := make(plotter.XYs, len(s.Peaks))
		for j := range s.Peaks {
			xy[j] = plotter.XY{X: s.EndTimes[j], Y: float64(s.Peaks[j]) / float64(s.Slots)}
		}
		if err := addLine(p, i, s.Service+" "+s.Name, xy); err != nil {
			return err
		}
	}
	return p.Save(plotWidth, plotHeight, path)
}

func addLine(p *plot.Plot, i int, name string, xy plotter.XYs) error {
	if len(xy) == 0 {
		return nil
	}
	l, err := plotter.NewLine(xy)
	if err != nil {
		return err
	}
	l.Color = plotutil.Color(i)
	l.Dashes = plotutil.Dashes(i / len(plotutil.SoftColors))
	p.Add(l)
	p.Legend.Add(name, l)
	return nil
}
