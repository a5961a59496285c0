package test

import (
	"context"
	"testing"
	"time"

	"pearmoor/internal/cli"
	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/wire"
)

// leader returns the control VM that leads.
func (tr *tier) leader() *process {
	tr.t.Helper()
	var found *process
	await(tr.t, "a leader", func() bool {
		code, out, _ := tr.operate("status", "--output=json")
		if code != cli.ExitOK {
			return false
		}
		var st struct {
			Group []struct {
				PeerAddr string `json:"peer_addr"`
				Leader   bool   `json:"leader"`
			} `json:"control"`
		}
		tr.decode(out, &st)
		for _, m := range st.Group {
			for _, p := range tr.controls {
				if m.Leader && m.PeerAddr == p.peer {
					found = p
				}
			}
		}
		return found != nil
	})
	return found
}

// syncWith asks one control VM for a lease as a daemon does, past the network.
func syncWith(t *testing.T, p *process, name string) (*wire.SyncReply, error) {
	t.Helper()
	pool := peer.NewPool(nil)
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	conn, err := pool.Conn(ctx, p.bound)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	return wire.NewDRPCSpreadClient(conn).Sync(ctx, &wire.SyncRequest{Heartbeats: []*wire.Heartbeat{{
		Vm: &wire.Vm{Name: name, Incarnation: 1, Domain: "hall-a", Region: region, PeerAddr: "127.0.0.1:1", CallerAddr: "http://127.0.0.1:1"},
	}}})
}

// checkDeposed fails the test when a control VM that others have replaced gives a
// lease, or says something of a version newer than it can know.
func checkDeposed(t *testing.T, old *process, accepted uint64) {
	t.Helper()
	reply, err := syncWith(t, old, "probe")
	if err != nil {
		return
	}
	if reply.Granted && reply.ConfigVersion < accepted {
		t.Errorf("%s, replaced as the leader, grants a lease at version %d; %d was accepted", old.name, reply.ConfigVersion, accepted)
	}
}

// TestLeaderKilled: the leading control VM is lost while an operator makes changes.
// The operator waits a moment and resends; no accepted change is lost, none is there
// twice. Entries serve on and never answer at an older configuration, also when the
// lost VM comes back with its disk and when the entries are restarted.
func TestLeaderKilled(t *testing.T) {
	t.Parallel()
	tr := startTier(t, shape{controls: 3, entries: 2})
	watch := tr.watchVersions()
	o := tr.startOperator()
	o.awaitChanges(3)
	for range 2 {
		old := tr.leader()
		old.kill()
		o.awaitChanges(3)
		old.start()
		o.awaitChanges(3)
	}
	for _, p := range tr.entries {
		p.kill()
		p.start()
		tr.awaitReady(p)
		o.awaitChanges(2)
	}
	watch.end()
	o.check()
}

// TestLeaderPausedPastItsLease: the leader stops for longer than its own lease and
// goes on. The others have elected another and accepted changes meanwhile. The old
// one believes to lead for an instant; it must grant no lease and accept no change
// on what it knows, and no entry may answer at its older configuration.
func TestLeaderPausedPastItsLease(t *testing.T) {
	t.Parallel()
	tr := startTier(t, shape{controls: 3, entries: 2})
	watch := tr.watchVersions()
	o := tr.startOperator()
	o.awaitChanges(3)
	for range 2 {
		old := tr.leader()
		old.pause()
		o.awaitChanges(4)
		accepted := tr.versionOf(tr.leader())
		held := make(chan struct{})
		go func() { // waits in the paused VM's socket and is read the moment it goes on
			defer close(held)
			checkDeposed(t, old, accepted)
		}()
		time.Sleep(100 * time.Millisecond)
		old.resume()
		<-held
		for range 8 {
			checkDeposed(t, old, accepted)
		}
		o.awaitChanges(3)
	}
	watch.end()
	o.check()
}

// versionOf returns the newest version that a control VM grants leases at.
func (tr *tier) versionOf(p *process) uint64 {
	tr.t.Helper()
	var version uint64
	await(tr.t, p.name+" tells its version", func() bool {
		reply, err := syncWith(tr.t, p, "probe")
		if err != nil || reply.Redirect != "" {
			return false
		}
		version = reply.ConfigVersion
		return version > 0
	})
	return version
}

// TestLeaderCutOffSilently: nothing that the leader sends arrives, or nothing
// reaches it, or both; connections stay open. It still believes to lead and still
// can be asked. Within seconds the others elect another, which accepts the next
// change; from then on the old one grants no lease at its older version. Entries
// serve on. Healed, it follows.
func TestLeaderCutOffSilently(t *testing.T) {
	for _, c := range []struct {
		name       string
		deaf, mute bool
	}{{"both ways", true, true}, {"deaf", true, false}, {"mute", false, true}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			tr := startTier(t, shape{controls: 3, entries: 2, network: true})
			watch := tr.watchVersions()
			o := tr.startOperator()
			o.awaitChanges(3)
			old := tr.leader()
			tr.network.cut(old, c.deaf, c.mute)
			o.awaitChanges(4)
			accepted := tr.versionOf(tr.leader())
			for range 8 {
				checkDeposed(t, old, accepted)
			}
			o.awaitChanges(3)
			tr.awaitReady(tr.entries...)
			tr.network.heal(old)
			o.awaitChanges(3)
			watch.end()
			o.check()
		})
	}
}
