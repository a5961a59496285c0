package control

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/vm"
)

// startBench starts a control group with the default timing.
func startBench(b *testing.B, n int) *cluster {
	b.Helper()
	return startCluster(b, n)
}

func leaseValue(i uint64) string { return fmt.Sprintf("%ds", 10+i%50) }

// BenchmarkChange makes consecutive changes, each based on the newest version. The time of
// a change is from the operator's call to the reply, which follows after the change is
// synced on a majority and applied.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{1, 3, 5} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			c := startBench(b, n)
			defer c.stopAll()
			cl := dialVM(b, c.leader())
			version := uint64(0)
			for b.Loop() {
				r := cl.change(fmt.Sprint("c", version), version, "daemon-lease", leaseValue(version))
				if r.Outcome != wire.Outcome_ACCEPTED {
					b.Fatal(r)
				}
				version++
			}
		})
	}
}

// BenchmarkInForce makes a change and waits until it is in force everywhere. The daemons
// keep a Sync call open at the leader and confirm each new version at once.
func BenchmarkInForce(b *testing.B) {
	for _, n := range []int{12, 100, 300} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			c := startBench(b, 3)
			defer c.stopAll()
			lead := c.leader()
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			defer wg.Wait()
			defer cancel()
			for i := range n {
				d := newFakeDaemon(dialVM(b, lead), fmt.Sprintf("entry-%04d", i))
				wg.Go(func() { d.run(ctx) })
			}
			eventually(b, "all daemons are members", func() bool {
				v := lead.node.stateView()
				return v.pending == nil && len(v.settled.Members) == n
			})
			cl := dialVM(b, lead)
			version := uint64(0)
			for b.Loop() {
				version = cl.change(fmt.Sprint("c", version), version, "daemon-lease", leaseValue(version)).Version
				f, err := cl.control().InForce(callCtx(b), &wire.InForceRequest{Version: version, WaitMs: 10_000})
				if err != nil || !f.InForce {
					b.Fatal(err, f)
				}
			}
		})
	}
}

// run keeps a Sync call open until ctx is done and confirms each new version and epoch.
func (d *fakeDaemon) run(ctx context.Context) {
	d.req.WaitMs = 1000
	hb := d.req.Heartbeats[0]
	for ctx.Err() == nil {
		r, err := d.client.spread().Sync(ctx, d.req)
		if err != nil || !r.Granted {
			continue
		}
		d.req.HaveConfig, d.req.HaveDigest, hb.ConfigVersion = r.ConfigVersion, r.ConfigDigest, r.ConfigVersion
		d.req.HaveSettled, d.req.HavePending, d.req.HaveInForce = r.SettledEpoch, r.PendingEpoch, r.InForce
		hb.AckedEpoch = max(r.PendingEpoch, r.SettledEpoch)
	}
}

// BenchmarkLeaderCutOff partitions the leader from the other VMs without connection errors
// and measures the time until another VM accepts a change. The operator's tool tries all
// of them.
func BenchmarkLeaderCutOff(b *testing.B) {
	c := startBench(b, 3)
	defer c.stopAll()
	version := uint64(0)
	lead := c.leader()
	var longest time.Duration
	for b.Loop() {
		b.StopTimer()
		lead = c.leader()
		b.StartTimer()
		start := time.Now()
		c.setPartitioned(lead, true)
		eventually(b, "another VM accepts the next change", func() bool {
			for _, v := range c.vms {
				if v == lead {
					continue
				}
				r, err := tryChange(b, v, changeRequest(fmt.Sprint("c", version), version, "daemon-lease", leaseValue(version)))
				if err == nil && r.Redirect == "" && r.Outcome == wire.Outcome_ACCEPTED {
					version = r.Version
					return true
				}
			}
			return false
		})
		longest = max(longest, time.Since(start))
		b.StopTimer()
		c.setPartitioned(lead, false)
		eventually(b, "the old leader has caught up", func() bool { return lead.node.stateView().version == version })
		b.StartTimer()
	}
	b.ReportMetric(float64(longest.Milliseconds()), "longest-ms")
}

// BenchmarkRestart restarts the only control VM of a group on a data folder with 10,000
// changes and measures the time until it leads again.
func BenchmarkRestart(b *testing.B) {
	const changes = 10_000
	v := startVM(b, Config{ID: 1, Name: "ctl-1", DataDir: b.TempDir(), Bootstrap: true}, listen(b, "127.0.0.1:0"))
	eventually(b, "it leads", v.isLeader)
	cl := dialVM(b, v)
	for i := range uint64(changes) {
		if r := cl.change(fmt.Sprint("c", i), i, "daemon-lease", leaseValue(i)); r.Outcome != wire.Outcome_ACCEPTED {
			b.Fatal(r)
		}
	}
	var open time.Duration
	n := 0
	for b.Loop() {
		b.StopTimer()
		v.stop()
		b.StartTimer()
		start := time.Now()
		v = v.restart()
		open += time.Since(start)
		n++
		eventually(b, "it leads", v.isLeader)
	}
	b.StopTimer()
	if got := v.node.stateView().version; got != changes {
		b.Fatalf("version %d", got)
	}
	b.ReportMetric(float64(open.Milliseconds())/float64(n), "open-ms")
	b.ReportMetric(float64(folderSize(b, v.cfg.DataDir)), "disk-bytes")
	v.stop()
}

func folderSize(b *testing.B, dir string) (sum int64) {
	names, err := filepath.Glob(filepath.Join(dir, "*"))
	if err != nil {
		b.Fatal(err)
	}
	for _, name := range names {
		info, err := os.Stat(name)
		if err != nil {
			b.Fatal(err)
		}
		sum += info.Size()
	}
	return sum
}

// BenchmarkSync measures the leader's work for one Sync call of a relay with 70 daemons
// whose state does not change, with 3,600 daemons in all. It covers heartbeats in full and
// in short form, and the membership delta when one daemon joins.
func BenchmarkSync(b *testing.B) {
	const daemons, perRelay = 3600, 70
	v := startVM(b, Config{ID: 1, Name: "ctl-1", DataDir: b.TempDir(), Bootstrap: true}, listen(b, "127.0.0.1:0"))
	defer v.stop()
	eventually(b, "it leads", v.isLeader)
	server := &spreadServer{v.node}
	var fullRequests []*wire.SyncRequest
	for i := 0; i < daemons; i += perRelay {
		req := &wire.SyncRequest{}
		for j := i; j < min(i+perRelay, daemons); j++ {
			m := serving(fmt.Sprintf("entry-vm-%05d", j), 1_700_000_000_000)
			m.Domain, m.Region = "lalitpur-hall", "kathmandu-valley"
			m.PeerAddr, m.CallerAddr = "10.12.134.21:7301", "http://10.12.134.21:8080"
			req.Heartbeats = append(req.Heartbeats, &wire.Heartbeat{Vm: m})
		}
		fullRequests = append(fullRequests, req)
	}
	syncAll := func() (last *wire.SyncReply) {
		for _, req := range fullRequests {
			r, err := server.Sync(context.Background(), req)
			if err != nil {
				b.Fatal(err)
			}
			for _, hb := range req.Heartbeats {
				hb.ConfigVersion, hb.AckedEpoch = r.ConfigVersion, max(r.PendingEpoch, r.SettledEpoch)
			}
			req.HaveConfig, req.HaveDigest = r.ConfigVersion, r.ConfigDigest
			req.HaveSettled, req.HavePending, req.HaveInForce = r.SettledEpoch, r.PendingEpoch, r.InForce
			last = r
		}
		return last
	}
	eventually(b, "all daemons are members", func() bool {
		syncAll()
		view := v.node.stateView()
		return view.pending == nil && len(view.settled.Members) == daemons
	})
	syncAll()
	run := func(name string, requests []*wire.SyncRequest) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r, err := server.Sync(context.Background(), requests[i%len(requests)])
				if err != nil || !r.Granted || r.Resend {
					b.Fatal(err, r)
				}
			}
		})
	}
	run("full", fullRequests)
	var shortRequests []*wire.SyncRequest
	for _, req := range fullRequests {
		s := &wire.SyncRequest{HaveConfig: req.HaveConfig, HaveDigest: req.HaveDigest, HaveSettled: req.HaveSettled, HaveInForce: req.HaveInForce}
		for _, hb := range req.Heartbeats {
			s.Steady = append(s.Steady, vm.MemberFromWire(hb.Vm).Digest())
		}
		shortRequests = append(shortRequests, s)
	}
	run("short", shortRequests)

	// One daemon joins the 3,600 others: the leader computes this delta once per relay.
	settled := v.node.stateView().settled
	next := &vm.Membership{Epoch: settled.Epoch + 1, Members: append([]vm.Member(nil), settled.Members...)}
	next.Members = append(next.Members, vm.MemberFromWire(serving("zz", 1)))
	b.Run("membership-delta", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			vm.MembershipDelta(settled, next)
		}
	})
}
