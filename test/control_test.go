package test

import (
	"context"
	"testing"
	"time"

	"pearmoor/internal/cli"
	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/wire"
)

// leader waits for a leader of the control group and returns it.
func (tr *tier) leader() *process {
	tr.t.Helper()
	var found *process
	await(tr.t, "a leader", func() bool {
		code, out, _ := tr.runCLI("status", "--output=json")
		if code != cli.ExitOK {
			return false
		}
		var st struct {
			Group []struct {
				PeerAddr string `json:"peer_addr"`
				Leader   bool   `json:"leader"`
			} `json:"control"`
		}
		tr.decodeJSON(out, &st)
		for _, m := range st.Group {
			for _, p := range tr.controls {
				if m.Leader && m.PeerAddr == p.peerAddr {
					found = p
				}
			}
		}
		return found != nil
	})
	return found
}

// requestLease requests a lease from one control VM as a daemon does, directly rather
// than through the test's network.
func requestLease(t *testing.T, p *process, name string) (*wire.SyncReply, error) {
	t.Helper()
	pool := peer.NewPool(nil)
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	conn, err := pool.Conn(ctx, p.peerListenAddr)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	return wire.NewDRPCSpreadClient(conn).Sync(ctx, &wire.SyncRequest{Heartbeats: []*wire.Heartbeat{{
		Vm: &wire.Vm{Name: name, Incarnation: 1, Domain: "hall-a", Region: region, PeerAddr: "127.0.0.1:1", CallerAddr: "http://127.0.0.1:1"},
	}}})
}

// checkNoStaleLease fails the test if former, a control VM that is no longer the leader,
// grants a lease at a version older than accepted.
func checkNoStaleLease(t *testing.T, former *process, accepted uint64) {
	t.Helper()
	reply, err := requestLease(t, former, "probe")
	if err != nil {
		return
	}
	if reply.Granted && reply.ConfigVersion < accepted {
		t.Errorf("former leader %s granted a lease at version %d after version %d was accepted", former.name, reply.ConfigVersion, accepted)
	}
}

// TestLeaderKilled guards against lost or duplicate configuration changes, and against
// answers under an older configuration, when the leader is killed while an operator
// sends changes and resends those without a reply. This must also hold when the killed
// VM restarts with its disk and when the entry VMs are restarted.
func TestLeaderKilled(t *testing.T) {
	t.Parallel()
	tr := startTier(t, tierConfig{controls: 3, entries: 2})
	checker := tr.startVersionChecker()
	op := tr.startOperator()
	op.awaitChanges(3)
	for range 2 {
		former := tr.leader()
		former.kill()
		op.awaitChanges(3)
		former.start()
		op.awaitChanges(3)
	}
	for _, p := range tr.entries {
		p.kill()
		p.start()
		tr.awaitReady(p)
		op.awaitChanges(2)
	}
	checker.shutdown()
	op.check()
}

// TestLeaderPausedBeyondLease guards against a former leader that acts on stale state.
// The leader is paused for longer than its lease, and the others elect a new leader and
// accept changes. When it resumes, the former leader still assumes for a moment that it
// leads. It must grant no lease at its old version and accept no change, and no entry VM
// may answer under its older configuration.
func TestLeaderPausedBeyondLease(t *testing.T) {
	t.Parallel()
	tr := startTier(t, tierConfig{controls: 3, entries: 2})
	checker := tr.startVersionChecker()
	op := tr.startOperator()
	op.awaitChanges(3)
	for range 2 {
		former := tr.leader()
		former.pause()
		op.awaitChanges(4)
		accepted := tr.configVersionAt(tr.leader())
		checked := make(chan struct{})
		go func() { // the request waits in the socket of the paused VM, which reads it when it resumes
			defer close(checked)
			checkNoStaleLease(t, former, accepted)
		}()
		time.Sleep(100 * time.Millisecond)
		former.resume()
		<-checked
		for range 8 {
			checkNoStaleLease(t, former, accepted)
		}
		op.awaitChanges(3)
	}
	checker.shutdown()
	op.check()
}

// configVersionAt returns the configuration version at which p grants leases.
func (tr *tier) configVersionAt(p *process) uint64 {
	tr.t.Helper()
	var version uint64
	await(tr.t, p.name+" to report its configuration version", func() bool {
		reply, err := requestLease(tr.t, p, "probe")
		if err != nil || reply.Redirect != "" {
			return false
		}
		version = reply.ConfigVersion
		return version > 0
	})
	return version
}

// TestLeaderCutOffSilently guards against a partitioned leader that blocks the group or
// grants leases at an old version. Its inbound traffic, its outbound traffic or both are
// held back while connections stay open, and it can still be asked directly. The others
// must elect a new leader that accepts changes, and the former leader must grant no lease
// at its older version. Entry VMs must stay ready, and after the partition is healed
// changes must be accepted again.
func TestLeaderCutOffSilently(t *testing.T) {
	for _, c := range []struct {
		name              string
		inbound, outbound bool
	}{{"both ways", true, true}, {"deaf", true, false}, {"mute", false, true}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			tr := startTier(t, tierConfig{controls: 3, entries: 2, useNetwork: true})
			checker := tr.startVersionChecker()
			op := tr.startOperator()
			op.awaitChanges(3)
			former := tr.leader()
			tr.network.hold(former, c.inbound, c.outbound)
			op.awaitChanges(4)
			accepted := tr.configVersionAt(tr.leader())
			for range 8 {
				checkNoStaleLease(t, former, accepted)
			}
			op.awaitChanges(3)
			tr.awaitReady(tr.entries...)
			tr.network.release(former)
			op.awaitChanges(3)
			checker.shutdown()
			op.check()
		})
	}
}
