package main

import (
	"bytes"
	"fmt"

	"pearmoor/bench/policy/sim"
)

// worthSeries contains, for each second of a scenario, the earned share of the maximum
// worth (see sim.Score), as the mean over the seeds.
type worthSeries struct {
	name  string
	worth []float64
}

func (l *worthSeries) setMeans(results []*sim.Result) {
	l.worth = make([]float64, len(results[0].Seconds)-1)
	for i := range l.worth {
		for _, r := range results {
			l.worth[i] += r.Seconds[i].Worth() / float64(len(results))
		}
	}
}

// Dimensions of the plot in SVG user units.
const (
	plotWidth        = 720
	plotHeight       = 360
	plotMargin       = 48
	legendLineHeight = 16
)

var colours = []string{"#1b6ca8", "#c1440e", "#3d7a3d", "#7a3d7a", "#8a6d00"}

// renderSVG returns a plot of the series as SVG.
func renderSVG(series []worthSeries) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n", plotWidth, plotHeight)
	y := func(worth float64) float64 { return plotHeight - plotMargin - worth*(plotHeight-2*plotMargin) }
	for _, gridValue := range []float64{0, 0.25, 0.5, 0.75, 1} {
		fmt.Fprintf(&b, `<path d="M%d %.0fH%d" stroke="#ccc"/><text x="8" y="%.0f">%.2f</text>`+"\n", plotMargin, y(gridValue), plotWidth-plotMargin, y(gridValue)+4, gridValue)
	}
	for i, s := range series {
		x := func(second int) float64 {
			return plotMargin + float64(second)*(plotWidth-2*plotMargin)/float64(max(len(s.worth)-1, 1))
		}
		fmt.Fprintf(&b, `<polyline fill="none" stroke-width="2" stroke="%s" points="`, colours[i%len(colours)])
		for second, worth := range s.worth {
			fmt.Fprintf(&b, "%.1f,%.1f ", x(second), y(worth))
		}
		fmt.Fprintf(&b, `"/><text x="%d" y="%d" fill="%s">%s</text>`+"\n", plotMargin+8, plotHeight-plotMargin-8-legendLineHeight*i, colours[i%len(colours)], s.name)
	}
	fmt.Fprintf(&b, `<text x="%d" y="%d">second of the play; worth of its requests, of 1</text>`+"\n</svg>\n", plotMargin, plotHeight-plotMargin/3)
	return b.Bytes()
}
