package test

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"

	"pearmoor/internal/cli"
	"pearmoor/internal/contract"
)

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
