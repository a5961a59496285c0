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

// TestAllControlVMsLost guards against entry VMs that serve without a valid lease after
// all control VMs are lost at once. Until the lease expires, no newer configuration can
// be in force without the entry VM, so it must keep serving. After that it must refuse
// immediately with not_run, reason unconfirmed and a retry time, and serve again without
// intervention once the control VMs are back.
func TestAllControlVMsLost(t *testing.T) {
	t.Parallel()
	tr := startTier(t, tierConfig{controls: 3, entries: 2})
	before := tr.version()
	for _, p := range tr.controls {
		p.kill()
	}
	for _, p := range tr.entries {
		if r := tr.send(p, tr.newQuery(deskPath)); !fullCoverage(r.answer) {
			t.Errorf("%s did not answer in full although its lease is valid: %v", p.name, r)
		}
	}
	for _, p := range tr.entries {
		// Wait for expiry: a request in flight when the lease expires may return may_have_run.
		await(t, "the lease of "+p.name+" to expire", func() bool {
			s, ok := p.status()
			return ok && s.LeaseLeftMS == 0
		})
		for range 10 {
			r := tr.newQuery(deskPath)
			got := tr.send(p, r)
			f := got.failure
			if f == nil || f.Verdict != contract.NotRun || f.Reason != contract.ReasonUnconfirmed || f.RetryAfterMS <= 0 || got.status != http.StatusServiceUnavailable {
				t.Errorf("%s: want not_run, unconfirmed and a retry time; got %v", p.name, got)
			}
		}
		if ok, why := p.ready(); ok || !strings.Contains(why, "unconfirmed") {
			t.Errorf("%s: want not ready with reason unconfirmed; got %q", p.name, why)
		}
		charge := tr.newQuery(ledgerPath)
		if got := tr.send(p, charge); got.verdict() != contract.NotRun || checkRunsAtMostOnce(t, tr, charge) != 0 {
			t.Errorf("%s: charge without a lease: %v, %d runs", p.name, got, checkRunsAtMostOnce(t, tr, charge))
		}
	}
	for _, p := range tr.controls {
		p.launch()
	}
	for _, p := range tr.controls {
		p.awaitServing()
	}
	tr.awaitReady(tr.entries...)
	tr.awaitFullCoverage()
	if after := tr.version(); after < before {
		t.Errorf("configuration version went back from %d to %d", before, after)
	}
	tr.mustRun("set", deskPath, "--hedge-after=30ms", "--reason=after the loss", "--wait=20s")
}

// TestControlDiskReplaced guards against lost changes after a control VM restarts under
// its old id with an empty disk. It has lost its votes and acknowledged log entries, so
// it must not count towards a majority: with another VM down, no change may be accepted.
// After it is replaced under a new id, the group must tolerate the loss of a second VM.
func TestControlDiskReplaced(t *testing.T) {
	t.Parallel()
	tr := startTier(t, tierConfig{controls: 3, entries: 2})
	op := tr.startOperator()
	op.awaitChanges(3)
	leader := tr.leader()
	var emptyDisk, other *process
	emptyDiskID := 0
	for i, p := range tr.controls {
		switch {
		case p == leader:
		case emptyDisk == nil:
			emptyDisk, emptyDiskID = p, i+1
		default:
			other = p
		}
	}
	emptyDisk.kill()
	if err := os.RemoveAll(tr.dataDir(emptyDiskID)); err != nil {
		t.Fatal(err)
	}
	emptyDisk.start()
	op.awaitChanges(3)

	leader.kill()
	before := op.count()
	code, _, _ := tr.runCLI("set", deskPath, "--hedge-after=700ms", "--change-id=without-majority", "--reason=must not be accepted", "--wait=0s", "--timeout=6s")
	if code != cli.ExitUnreachable && code != cli.ExitUnknown {
		t.Errorf("change without a majority of voters with their disks: exit %d", code)
	}
	if n := op.count(); n != before {
		t.Errorf("%d changes were accepted by one voter and a VM with an empty disk", n-before)
	}
	leader.start()
	op.awaitChanges(3)

	emptyDisk.kill()
	if err := os.RemoveAll(tr.dataDir(emptyDiskID)); err != nil {
		t.Fatal(err)
	}
	replacement := tr.newControl(4, 0)
	replacement.start()
	tr.controls = append(tr.controls, replacement)
	tr.mustRun("control", "replace", fmt.Sprint(emptyDiskID), "4", replacement.name, replacement.peerAddr, "--wait=30s")
	other.kill()
	op.awaitChanges(3)
	tr.awaitReady(tr.entries...)
	op.check()
}
