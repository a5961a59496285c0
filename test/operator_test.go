package test

import (
	"fmt"
	"sync"
	"time"

	"pearmoor/internal/cli"
)

// operatorLog records the accepted changes of one operator.
type operatorLog struct {
	accepted map[string]uint64 // version by change ID
	order    []string
}

// operator makes one change after another and resends each under its change ID until its
// outcome is known.
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
	tr.t.Cleanup(o.shutdown)
	return o
}

func (o *operator) run() {
	for n := 1; ; n++ {
		id := fmt.Sprintf("change-%d", n)
		for !o.attemptChange(id, n) {
			if o.stopRequested() {
				return // the outcome of the last change remains unknown
			}
		}
		if o.stopRequested() {
			return
		}
	}
}

// attemptChange sends a change once and reports whether its outcome is known.
func (o *operator) attemptChange(id string, n int) bool {
	code, out, errOut := o.tr.runCLI("set", deskPath, fmt.Sprintf("--hedge-after=%dms", 20+n%500), "--change-id="+id,
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
	var change struct {
		Version uint64 `json:"version"`
	}
	o.tr.decodeJSON(out, &change)
	o.log.accepted[id] = change.Version
	o.log.order = append(o.log.order, id)
	return true
}

func (o *operator) stopRequested() bool {
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

// awaitChanges waits until n more changes have been accepted.
func (o *operator) awaitChanges(n int) {
	o.tr.t.Helper()
	from, began := o.count(), time.Now()
	await(o.tr.t, "a change to be accepted", func() bool { return o.count() >= from+1 })
	o.tr.t.Logf("next change accepted after %v", time.Since(began).Round(time.Millisecond))
	await(o.tr.t, "further changes to be accepted", func() bool { return o.count() >= from+n })
}

func (o *operator) shutdown() {
	o.mu.Lock()
	select {
	case <-o.stop:
	default:
		close(o.stop)
	}
	o.mu.Unlock()
	o.done.Wait()
}

// check compares the accepted changes with the audit trail: each must be in it exactly
// once, at the version that the operator was told.
func (o *operator) check() {
	t := o.tr.t
	t.Helper()
	o.shutdown()
	if o.err != nil {
		t.Error(o.err)
	}
	var audit struct {
		Records []struct {
			Version  uint64 `json:"version"`
			ChangeID string `json:"change_id"`
		} `json:"records"`
	}
	o.tr.decodeJSON(o.tr.mustRun("audit", "--limit=100000", "--output=json"), &audit)
	versions := map[string]uint64{}
	for _, r := range audit.Records {
		if versions[r.ChangeID] != 0 {
			t.Errorf("change %s is in the audit trail at versions %d and %d", r.ChangeID, versions[r.ChangeID], r.Version)
		}
		versions[r.ChangeID] = r.Version
	}
	for id, version := range o.log.accepted {
		if versions[id] != version {
			t.Errorf("change %s was accepted at version %d; the audit trail has it at %d", id, version, versions[id])
		}
	}
	t.Logf("operator: %d changes accepted", len(o.log.order))
}

// versionChecker queries the entry VMs continuously. It fails the test if one answers at a
// configuration version older than one that was in force everywhere before the query, or
// older than one that it has answered at before.
type versionChecker struct {
	tr   *tier
	stop chan struct{}
	done sync.WaitGroup
}

func (tr *tier) startVersionChecker() *versionChecker {
	w := &versionChecker{tr: tr, stop: make(chan struct{})}
	for _, p := range tr.entries {
		w.done.Go(func() { w.run(p) })
	}
	tr.t.Cleanup(w.shutdown)
	return w
}

func (w *versionChecker) run(p *process) {
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
		r := w.tr.send(p, w.tr.newQuery(ledgerPath))
		if r.answer == nil {
			continue
		}
		version := r.answer.ConfigVersion
		if version < inForce {
			w.tr.t.Errorf("%s answered at configuration version %d after version %d was in force", p.name, version, inForce)
		}
		if version < newest {
			w.tr.t.Errorf("%s went back from configuration version %d to %d", p.name, newest, version)
		}
		newest = version
	}
}

func (w *versionChecker) shutdown() {
	select {
	case <-w.stop:
	default:
		close(w.stop)
	}
	w.done.Wait()
}
