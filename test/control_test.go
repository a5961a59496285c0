package test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"pearmoor/internal/cli"
	"pearmoor/internal/contract"
	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/wire"
)

// operatorLog is what one operator was told of the changes it made.
type operatorLog struct {
	accepted map[string]uint64 // version by change id
	order    []string
}

// operator makes changes one after the other and resends each under its change id
// until its outcome is known, as after a lost reply.
type operator struct {
	tr   *tier
	stop chan struct{}
	done sync.WaitGroup

	mu  sync.Mutex
	log operatorLog
	err error
}

func (tr *tier) startOperator() *operator {
	o := &operator{tr: tr, stop: make(chan struct{}), log: operatorLog{accepted: map[string]uint64{}}}
	o.done.Go(o.run)
	tr.t.Cleanup(o.end)
	return o
}

func (o *operator) run() {
	for n := 1; ; n++ {
		id := fmt.Sprintf("change-%d", n)
		for !o.try(id, n) {
			if o.stopped() {
				return // its outcome stays unknown
			}
		}
		if o.stopped() {
			return
		}
	}
}

// try makes one change and reports whether its outcome is known.
func (o *operator) try(id string, n int) bool {
	code, out, errOut := o.tr.operate("set", desk, fmt.Sprintf("--hedge-after=%dms", 20+n%500), "--change-id="+id,
		"--reason="+id, "--wait=0s", "--output=json", "--timeout=5s")
	if code == cli.ExitUnknown || code == cli.ExitUnreachable {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if code != cli.ExitOK {
		o.err = fmt.Errorf("change %s: exit %d: %s", id, code, errOut)
		return true
	}
	var made struct {
		Version uint64 `json:"version"`
	}
	o.tr.decode(out, &made)
	o.log.accepted[id] = made.Version
	o.log.order = append(o.log.order, id)
	return true
}

func (o *operator) stopped() bool {
	select {
	case <-o.stop:
		return true
	case <-time.After(50 * time.Millisecond):
		return false
	}
}

func (o *operator) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.log.order)
}

// awaitChanges waits until n further changes are accepted.
func (o *operator) awaitChanges(n int) {
	o.tr.t.Helper()
	from, began := o.count(), time.Now()
	await(o.tr.t, "a change is accepted", func() bool { return o.count() >= from+1 })
	o.tr.t.Logf("next change accepted after %v", time.Since(began).Round(time.Millisecond))
	await(o.tr.t, "further changes are accepted", func() bool { return o.count() >= from+n })
}

func (o *operator) end() {
	o.mu.Lock()
	select {
	case <-o.stop:
	default:
		close(o.stop)
	}
	o.mu.Unlock()
	o.done.Wait()
}

// check compares what the operator was told with the audit trail: no accepted
// change lost, none there twice, each at the version that was told.
func (o *operator) check() {
	t := o.tr.t
	t.Helper()
	o.end()
	if o.err != nil {
		t.Error(o.err)
	}
	var trail struct {
		Records []struct {
			Version  uint64 `json:"version"`
			ChangeID string `json:"change_id"`
		} `json:"records"`
	}
	o.tr.decode(o.tr.must("audit", "--limit=100000", "--output=json"), &trail)
	seen := map[string]uint64{}
	for _, r := range trail.Records {
		if seen[r.ChangeID] != 0 {
			t.Errorf("change %s is in the trail at versions %d and %d", r.ChangeID, seen[r.ChangeID], r.Version)
		}
		seen[r.ChangeID] = r.Version
	}
	for id, version := range o.log.accepted {
		if seen[id] != version {
			t.Errorf("change %s was accepted as version %d; the trail has it at %d", id, version, seen[id])
		}
	}
	t.Logf("operator: %d changes accepted", len(o.log.order))
}

// versionWatch asks the entries all the time, and fails the test when one answers
// at a configuration that is older than one that was in force everywhere before
// the question, or older than one that the entry itself answered at before.
type versionWatch struct {
	tr   *tier
	stop chan struct{}
	done sync.WaitGroup
}

func (tr *tier) watchVersions() *versionWatch {
	w := &versionWatch{tr: tr, stop: make(chan struct{})}
	for _, p := range tr.entries {
		w.done.Go(func() { w.run(p) })
	}
	tr.t.Cleanup(w.end)
	return w
}

func (w *versionWatch) run(p *process) {
	var newest, inForce uint64
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		for _, q := range w.tr.entries {
			if s, ok := q.status(); ok {
				inForce = max(inForce, s.InForce)
			}
		}
		r := w.tr.send(p, w.tr.query(ledger))
		if r.answer == nil {
			continue
		}
		got := r.answer.ConfigVersion
		if got < inForce {
			w.tr.t.Errorf("%s answered at configuration %d, version %d was in force before", p.name, got, inForce)
		}
		if got < newest {
			w.tr.t.Errorf("%s went from configuration %d to %d", p.name, newest, got)
		}
		newest = got
	}
}

func (w *versionWatch) end() {
	select {
	case <-w.stop:
	default:
		close(w.stop)
	}
	w.done.Wait()
}

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

// TestAllControlLost: all control VMs are lost at once. Entries serve on until their
// leases have run out, since until then nothing newer can have been in force without
// them; then they refuse at once with not_run, unconfirmed, and when to come back.
// When the control VMs are back, the entries serve again by themselves.
func TestAllControlLost(t *testing.T) {
	t.Parallel()
	tr := startTier(t, shape{controls: 3, entries: 2})
	before := tr.version()
	for _, p := range tr.controls {
		p.kill()
	}
	for _, p := range tr.entries {
		if r := tr.send(p, tr.query(desk)); !whole(r.answer) {
			t.Errorf("%s refuses though its lease holds: %v", p.name, r)
		}
	}
	for _, p := range tr.entries {
		// A request under way when the lease ends may have run, and says so.
		await(t, "the lease of "+p.name+" has run out", func() bool {
			s, ok := p.status()
			return ok && s.LeaseLeftMS == 0
		})
		for range 10 {
			r := tr.query(desk)
			got := tr.send(p, r)
			f := got.failure
			if f == nil || f.Verdict != contract.NotRun || f.Reason != contract.ReasonUnconfirmed || f.RetryAfterMS <= 0 || got.status != http.StatusServiceUnavailable {
				t.Errorf("%s: want not_run, unconfirmed, and when to come back; got %v", p.name, got)
			}
		}
		if ok, why := p.ready(); ok || !strings.Contains(why, "unconfirmed") {
			t.Errorf("%s tells the operator %q", p.name, why)
		}
		charge := tr.query(ledger)
		if got := tr.send(p, charge); got.verdict() != contract.NotRun || checkOnce(t, tr, charge) != 0 {
			t.Errorf("%s without a lease: %v, %d runs", p.name, got, checkOnce(t, tr, charge))
		}
	}
	for _, p := range tr.controls {
		p.launch()
	}
	for _, p := range tr.controls {
		p.serves()
	}
	tr.awaitReady(tr.entries...)
	tr.awaitWhole()
	if after := tr.version(); after < before {
		t.Errorf("the configuration went from version %d to %d", before, after)
	}
	tr.must("set", desk, "--hedge-after=30ms", "--reason=after the loss", "--wait=20s")
}

// TestControlDiskReplaced: a control VM comes back under its old id with an empty
// disk. It may have voted and confirmed entries that it forgot, so it counts for
// nothing: with another VM down there is no majority, and no change is accepted.
// It is replaced under a new id; when a second VM is lost right after that repair,
// the group goes on with nothing lost.
func TestControlDiskReplaced(t *testing.T) {
	t.Parallel()
	tr := startTier(t, shape{controls: 3, entries: 2})
	o := tr.startOperator()
	o.awaitChanges(3)
	leader := tr.leader()
	var blank, other *process
	blankID := 0
	for i, p := range tr.controls {
		switch {
		case p == leader:
		case blank == nil:
			blank, blankID = p, i+1
		default:
			other = p
		}
	}
	blank.kill()
	if err := os.RemoveAll(tr.dataDir(blankID)); err != nil {
		t.Fatal(err)
	}
	blank.start()
	o.awaitChanges(3)

	leader.kill()
	before := o.count()
	code, _, _ := tr.operate("set", desk, "--hedge-after=700ms", "--change-id=without-majority", "--reason=must not be accepted", "--wait=0s", "--timeout=6s")
	if code != cli.ExitUnreachable && code != cli.ExitUnknown {
		t.Errorf("a change without a majority of true voters: exit %d", code)
	}
	if n := o.count(); n != before {
		t.Errorf("%d changes were accepted by one voter and a blank disk", n-before)
	}
	leader.start()
	o.awaitChanges(3)

	blank.kill()
	if err := os.RemoveAll(tr.dataDir(blankID)); err != nil {
		t.Fatal(err)
	}
	fresh := tr.newControl(4, 0)
	fresh.start()
	tr.controls = append(tr.controls, fresh)
	tr.must("control", "replace", fmt.Sprint(blankID), "4", fresh.name, fresh.peer, "--wait=30s")
	other.kill()
	o.awaitChanges(3)
	tr.awaitReady(tr.entries...)
	o.check()
}
