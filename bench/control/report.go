package main

import (
	"fmt"
	"io"

	"gonum.org/v1/gonum/stat"
)

func meanCost(cs []cost) cost {
	var sum cost
	for _, c := range cs {
		sum.CPU += c.CPU
		sum.RSS += c.RSS
		sum.Payload += c.Payload
		sum.Syscalls += c.Syscalls
	}
	n := float64(max(1, len(cs)))
	return cost{CPU: sum.CPU / n, RSS: sum.RSS / n, Payload: sum.Payload / n, Syscalls: sum.Syscalls / n}
}

func maxCost(cs []cost) cost {
	var out cost
	for _, c := range cs {
		out.CPU = max(out.CPU, c.CPU)
		out.RSS = max(out.RSS, c.RSS)
		out.Payload = max(out.Payload, c.Payload)
		out.Syscalls = max(out.Syscalls, c.Syscalls)
	}
	return out
}

func printResults(w io.Writer, rs []result, head bool) {
	if head {
		fmt.Fprintln(w, "daemons relays | in force ms p50    p99    max | role      CPU %  RSS MB  payload B/s  calls/s")
	}
	for _, r := range rs {
		fmt.Fprintf(w, "%7d %6d | %15.1f %6.1f %6.1f | %s\n", r.Daemons, r.Relays, r.P50, r.P99, r.ChangesMS[len(r.ChangesMS)-1], formatCost("entry", r.Entry))
		if r.Relays > 0 {
			fmt.Fprintf(w, "%48s | %s\n", "", formatCost("relay", r.Relay))
			fmt.Fprintf(w, "%48s | %s\n", "", formatCost("relay max", r.RelayMax))
		}
		fmt.Fprintf(w, "%48s | %s\n", "", formatCost("leader", r.Leader))
		fmt.Fprintf(w, "%48s | %s\n", "", formatCost("follower", r.Follower))
		fmt.Fprintf(w, "%48s | all daemons together: %.2f cores\n", "", r.TotalCores)
	}
}

func formatCost(role string, c cost) string {
	return fmt.Sprintf("%-9s %5.2f %7.1f %12.0f %8.1f", role, c.CPU, c.RSS, c.Payload, c.Syscalls)
}

// printSlopes prints a linear fit of each value over the number of daemons.
func printSlopes(w io.Writer, rs []result) {
	if len(rs) < 2 {
		return
	}
	fmt.Fprintln(w, "\nleast squares over the sizes: value = a + b * daemons")
	figures := []struct {
		name string
		of   func(result) float64
	}{
		{"in force p50 ms", func(r result) float64 { return r.P50 }},
		{"in force p99 ms", func(r result) float64 { return r.P99 }},
		{"entry CPU %", func(r result) float64 { return r.Entry.CPU }},
		{"entry RSS MB", func(r result) float64 { return r.Entry.RSS }},
		{"entry payload B/s", func(r result) float64 { return r.Entry.Payload }},
		{"leader CPU %", func(r result) float64 { return r.Leader.CPU }},
		{"leader RSS MB", func(r result) float64 { return r.Leader.RSS }},
		{"leader payload B/s", func(r result) float64 { return r.Leader.Payload }},
		{"follower CPU %", func(r result) float64 { return r.Follower.CPU }},
	}
	for _, f := range figures {
		var xs, ys []float64
		for _, r := range rs {
			xs, ys = append(xs, float64(r.Daemons)), append(ys, f.of(r))
		}
		a, b := stat.LinearRegression(xs, ys, nil, false)
		fmt.Fprintf(w, "%-20s a = %10.3f   b = %10.5f\n", f.name, a, b)
	}
}
