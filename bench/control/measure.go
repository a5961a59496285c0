package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/prometheus/procfs"
	"gonum.org/v1/gonum/stat"

	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/wire"
)

const (
	// settleTime lets relays and leases reach a steady state before idle usage is measured.
	settleTime = 8 * time.Second
	// changeInterval separates changes, so that they do not affect each other's times.
	changeInterval = 100 * time.Millisecond
	callTimeout    = 20 * time.Second
	slowChangeMS   = 500.0 // each slower change is printed
	megabyte       = 1 << 20
)

// result is the result for one size of the tier.
type result struct {
	Daemons    int       `json:"daemons"`
	Relays     int       `json:"relays"`
	ChangesMS  []float64 `json:"changes_ms"` // time from sending a change until it is in force on every VM, sorted
	P50        float64   `json:"p50_ms"`
	P99        float64   `json:"p99_ms"`
	Entry      cost      `json:"entry"`     // mean over entries that are not relays
	Relay      cost      `json:"relay"`     // mean over entries that are relays
	RelayMax   cost      `json:"relay_max"` // maximum of each value over the relays
	Leader     cost      `json:"leader"`    // the control VM with the most processor time
	Follower   cost      `json:"follower"`  // mean over the other control VMs
	TotalCores float64   `json:"all_cores"` // cores used by all daemons together
}

// cost is the resource usage of one idle daemon.
type cost struct {
	CPU      float64 `json:"cpu_percent"` // of one core
	RSS      float64 `json:"rss_mb"`
	Payload  float64 `json:"payload_bytes_per_s"` // read and written, without TCP/IP headers
	Syscalls float64 `json:"syscalls_per_s"`      // reads and writes
}

func measure(ctx context.Context, opt *options, size int) (result, error) {
	r := result{Daemons: size}
	t, err := startTier(ctx, opt, size)
	if t != nil {
		defer t.stop()
	}
	if err != nil {
		return r, err
	}
	if err := t.checkMemory(); err != nil {
		return r, err
	}
	if r.ChangesMS, err = t.timeChanges(ctx, opt.changes); err != nil {
		return r, err
	}
	r.P50 = stat.Quantile(0.5, stat.Empirical, r.ChangesMS, nil)
	r.P99 = stat.Quantile(0.99, stat.Empirical, r.ChangesMS, nil)
	return r, t.measureIdle(ctx, &r)
}

// timeChanges makes n changes one after another and returns, sorted, the time of each
// in ms, from sending it until it is in force on every VM.
func (t *tier) timeChanges(ctx context.Context, n int) ([]float64, error) {
	pool := peer.NewPool(nil)
	defer pool.Close()
	addr := t.controls[0].peerAddr
	var times []float64
	for i := range n + 1 {
		start := time.Now()
		next, err := change(ctx, pool, addr, i)
		if err != nil {
			return nil, err
		}
		addr = next
		if i == 0 { // only shortens the shutdown of daemons; not timed
			continue
		}
		times = append(times, float64(time.Since(start).Microseconds())/1000)
		time.Sleep(changeInterval)
	}
	for i, ms := range times {
		if ms > slowChangeMS {
			fmt.Fprintf(os.Stderr, "control: change %d of %d took %.0f ms\n", i+1, n, ms)
		}
	}
	slices.Sort(times)
	return times, nil
}

// change makes change i and waits until it is in force on every VM. It returns the
// address of the leader.
func change(ctx context.Context, pool *peer.Pool, addr string, i int) (string, error) {
	ctx, cancel := context.WithTimeout(peer.WithOperator(ctx, "bench"), callTimeout)
	defer cancel()
	for {
		conn, err := pool.Conn(ctx, addr)
		if err != nil {
			return addr, err
		}
		client := wire.NewDRPCControlClient(conn)
		read, err := client.Read(ctx, &wire.ReadRequest{})
		if err != nil && ctx.Err() == nil {
			// A leader that cannot confirm that its state is current fails the read. The
			// measured time includes the wait before the next attempt.
			fmt.Fprintf(os.Stderr, "control: change %d asks again: %v\n", i, err)
			time.Sleep(changeInterval)
			continue
		}
		if err != nil {
			return addr, err
		}
		if read.GetRedirect() != "" {
			addr = read.GetRedirect()
			continue
		}
		reply, err := client.Change(ctx, &wire.ChangeRequest{
			ChangeId:    fmt.Sprintf("bench-%d-%d", i, time.Now().UnixNano()),
			BaseVersion: read.GetVersion(),
			Edits:       []*wire.Edit{editOf(i)},
			Reason:      "bench",
			Operator:    "bench",
		})
		if err != nil {
			return addr, err
		}
		if reply.GetOutcome() != wire.Outcome_ACCEPTED || reply.GetRedirect() != "" {
			return addr, errors.Newf("change %d: %v", i, reply)
		}
		inForce, err := client.InForce(ctx, &wire.InForceRequest{Version: reply.GetVersion(), WaitMs: uint32(callTimeout.Milliseconds())})
		if err != nil {
			return addr, err
		}
		if !inForce.GetInForce() {
			return addr, errors.Newf("version %d is not in force: %v", reply.GetVersion(), inForce)
		}
		return addr, nil
	}
}

// editOf returns the i-th edit. The first shortens the address lifetime, so that daemons stop sooner.
func editOf(i int) *wire.Edit {
	if i == 0 {
		return &wire.Edit{Path: "/", Name: "address-lifetime", Value: "2s"}
	}
	return &wire.Edit{Path: "/desk", Name: "queue-limit", Value: fmt.Sprint(64 + i%8)}
}

// measureIdle measures every daemon over the same period while nothing changes.
func (t *tier) measureIdle(ctx context.Context, r *result) error {
	all := append(slices.Clone(t.controls), t.entries...)
	if err := sleep(ctx, settleTime); err != nil {
		return err
	}
	before := make([]usage, len(all))
	for i, d := range all {
		var err error
		if before[i], err = d.usage(); err != nil {
			return err
		}
	}
	if err := sleep(ctx, t.opt.idleTime); err != nil {
		return err
	}
	costs := make([]cost, len(all))
	for i, d := range all {
		after, err := d.usage()
		if err != nil {
			return err
		}
		costs[i] = before[i].costUntil(after)
		r.TotalCores += costs[i].CPU / 100
	}
	return t.assignRoles(ctx, costs, r)
}

// assignRoles finds out the role of each daemon and sets the costs of the roles in r.
func (t *tier) assignRoles(ctx context.Context, costs []cost, r *result) error {
	controls := costs[:len(t.controls)]
	busiest := 0
	for i := range controls {
		if controls[i].CPU > controls[busiest].CPU {
			busiest = i
		}
	}
	r.Leader = controls[busiest]
	r.Follower = meanCost(slices.Delete(slices.Clone(controls), busiest, busiest+1))
	var relays, entries []cost
	for i, d := range t.entries {
		children, err := d.metric(ctx, "relay_children")
		if err != nil {
			return err
		}
		if children > 0 {
			relays = append(relays, costs[len(t.controls)+i])
		} else {
			entries = append(entries, costs[len(t.controls)+i])
		}
	}
	r.Relays, r.Entry, r.Relay, r.RelayMax = len(relays), meanCost(entries), meanCost(relays), maxCost(relays)
	return nil
}

// usage is the resource usage of a process since its start.
type usage struct {
	at       time.Time
	cpu      float64 // seconds
	bytes    float64
	syscalls float64
	rss      float64
}

func (d *daemon) usage() (usage, error) {
	p, err := procfs.NewProc(d.cmd.Process.Pid)
	if err != nil {
		return usage{}, err
	}
	s, err := p.Stat()
	if err != nil {
		return usage{}, err
	}
	io, err := p.IO()
	if err != nil {
		return usage{}, err
	}
	return usage{
		at: time.Now(), cpu: s.CPUTime(), rss: float64(s.ResidentMemory()),
		bytes: float64(io.RChar + io.WChar), syscalls: float64(io.SyscR + io.SyscW),
	}, nil
}

func (u usage) costUntil(o usage) cost {
	seconds := o.at.Sub(u.at).Seconds()
	return cost{
		CPU:      100 * (o.cpu - u.cpu) / seconds,
		RSS:      o.rss / megabyte,
		Payload:  (o.bytes - u.bytes) / seconds,
		Syscalls: (o.syscalls - u.syscalls) / seconds,
	}
}

// metric returns the value of a gauge from the daemon's operator port.
func (d *daemon) metric(ctx context.Context, name string) (float64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.operatorAddr+"/metrics", nil)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return 0, err
	}
	for full, f := range families {
		if full == name || full == "pearmoor_"+name {
			return f.GetMetric()[0].GetGauge().GetValue() + f.GetMetric()[0].GetUntyped().GetValue(), nil
		}
	}
	return 0, errors.Newf("%s has no metric %s", d.name, name)
}

// checkMemory returns an error if the daemons use more memory than allowed.
func (t *tier) checkMemory() error {
	total := 0.0
	for _, d := range append(slices.Clone(t.controls), t.entries...) {
		u, err := d.usage()
		if err != nil {
			return err
		}
		total += u.rss / megabyte
	}
	if total > float64(t.opt.maxMemoryMB) {
		return errors.Newf("the daemons use %.0f MB, %d are allowed", total, t.opt.maxMemoryMB)
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
