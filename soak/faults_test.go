package soak

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"pearmoor/internal/journal"
	"pearmoor/platform/standin"
)

// faultEvent is one fault of a run: its kind, its duration and the VM or leaf.
type faultEvent struct {
	kind     faultKind
	duration time.Duration
	vm       *vmProcess
	leaf     *leaf
	garbage  []byte
	subseed  int64 // seed for the fault's own random choices
}

// faultKind describes a kind of fault.
type faultKind struct {
	name      string
	needsVM   bool                            // affects a VM, which is claimed for the duration
	needsDisk bool                            // affects only a VM with a disk, and only while the group tolerates its loss
	control   bool                            // affects only a VM with a disk
	long      bool                            // the VM is absent until the group removes it; one at a time
	needsLeaf bool                            // affects a healthy leaf
	onceOnly  bool                            // affects only leaves that serve at-most-once requests
	inject    func(h *harness, e *faultEvent) // injects the fault and returns when it is over
}

// faultKinds returns all kinds of faults, some more than once. A run goes through all of
// them in random order before any is repeated. With independent draws, only one run of 10 s
// in eight had a leaf that lost the answers of at-most-once requests.
func faultKinds() []faultKind {
	out := []faultKind{
		{name: "kill", needsVM: true, inject: func(h *harness, e *faultEvent) { e.vm.kill(); time.Sleep(e.duration / 3); e.vm.start() }},
		{name: "kill, back at once", needsVM: true, inject: func(h *harness, e *faultEvent) { e.vm.kill(); e.vm.start() }},
		{name: "pause", needsVM: true, inject: func(h *harness, e *faultEvent) { h.pause(e.vm, e.duration) }},
		{name: "pause, outdated afterwards", needsVM: true, inject: func(h *harness, e *faultEvent) { h.pause(e.vm, applyDelay+e.duration) }},
		{name: "stop", needsVM: true, inject: func(h *harness, e *faultEvent) { e.vm.stopGracefully(false); e.vm.start() }},
		{name: "stop with a reload", needsVM: true, inject: func(h *harness, e *faultEvent) { e.vm.stopGracefully(true); e.vm.start() }},
		{name: "disk lost", needsVM: true, needsDisk: true, inject: func(h *harness, e *faultEvent) { e.vm.kill(); _ = os.RemoveAll(e.vm.dataDir()); e.vm.start() }},
		{name: "torn write", needsVM: true, needsDisk: true, inject: injectTornWrite},
		{name: "settings change", needsVM: true, inject: reloadSettings},
		{name: "list fails", inject: failList},
		{name: "leaf leaves", needsLeaf: true, inject: drainLeaf},
		{name: "leaf crashes", needsLeaf: true, inject: crashLeaf},
	}
	for s := linkDelayed; s < linkStateCount; s++ {
		out = append(out,
			faultKind{name: "link to a VM", needsVM: true, inject: func(h *harness, e *faultEvent) { h.disturbVMLink(e, s) }},
			faultKind{name: "link to a leaf", needsLeaf: true, inject: func(h *harness, e *faultEvent) { h.disturbLeafLink(e, s) }})
	}
	out = append(out,
		faultKind{name: "link to a VM reset", needsVM: true, inject: func(h *harness, e *faultEvent) { h.markDisturbed(); e.vm.link.reset() }},
		faultKind{name: "link to a leaf reset", needsLeaf: true, inject: func(h *harness, e *faultEvent) { e.leaf.link.reset() }})
	for m := slow; m < leafModeCount; m++ {
		behave := func(h *harness, e *faultEvent) {
			e.leaf.mode.Store(int32(m))
			time.Sleep(e.duration)
			e.leaf.mode.Store(int32(healthy))
		}
		out = append(out, faultKind{name: "leaf misbehaves", needsLeaf: true, inject: behave},
			faultKind{name: "leaf of single runs misbehaves", needsLeaf: true, onceOnly: true, inject: behave})
	}
	return out
}

// injectFaults injects random faults for the duration d. Faults overlap.
func (h *harness) injectFaults(d time.Duration) {
	var wg sync.WaitGroup
	var pending []faultKind
	for deadline := time.Now().Add(d); time.Now().Before(deadline); {
		if len(pending) == 0 {
			pending = h.kinds()
			h.rng.Shuffle(len(pending), func(i, k int) { pending[i], pending[k] = pending[k], pending[i] })
		}
		if e := h.prepare(pending[0]); e != nil {
			pending = pending[1:]
			wg.Go(func() {
				e.kind.inject(h, e)
				if e.kind.long {
					h.absence.Unlock()
				}
				if e.vm != nil {
					e.vm.release()
				}
			})
		} else {
			pending = append(pending[1:], pending[0])
		}
		time.Sleep(time.Duration(20+h.rng.IntN(480)) * time.Millisecond)
	}
	wg.Wait()
}

// prepare draws the parameters of a fault and selects its VM or leaf. It returns nil if the
// fault is not possible now.
func (h *harness) prepare(k faultKind) *faultEvent {
	e := &faultEvent{kind: k, duration: time.Duration(200+h.rng.IntN(2500)) * time.Millisecond, subseed: h.rng.Int64(), garbage: make([]byte, 1+h.rng.IntN(40))}
	for i := range e.garbage {
		e.garbage[i] = byte(h.rng.IntN(256))
	}
	if k.needsLeaf {
		if e.leaf = h.randomHealthyLeaf(k.onceOnly); e.leaf == nil {
			return nil
		}
	}
	if !k.needsVM {
		return e
	}
	candidates := len(h.vms)
	if k.needsDisk || k.control {
		candidates = h.disks
	}
	v := h.vms[h.rng.IntN(candidates)]
	if !v.claim() {
		return nil
	}
	if k.needsDisk && !h.canLoseDisk() {
		v.release()
		return nil
	}
	if k.long && !h.absence.TryLock() {
		v.release()
		return nil
	}
	e.vm = v
	return e
}

// randomHealthyLeaf returns a random leaf that is healthy and not leaving, nil if there is
// none. If once is set, only leaves that serve at-most-once requests are considered.
func (h *harness) randomHealthyLeaf(once bool) *leaf {
	h.mu.Lock()
	defer h.mu.Unlock()
	var fit []*leaf
	for _, l := range h.leaves {
		if l.listState() == standin.Ready && leafMode(l.mode.Load()) == healthy && (!once || l.service == ledger) {
			fit = append(fit, l)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	return fit[h.rng.IntN(len(fit))]
}

// injectTornWrite simulates a crash in the middle of a write: it kills the process and appends
// random bytes to its newest log file.
func injectTornWrite(h *harness, e *faultEvent) {
	e.vm.kill()
	entries, err := os.ReadDir(e.vm.dataDir())
	if err != nil {
		h.fail("data folder of %s: %v", e.vm.name, err)
	}
	newest := ""
	for _, f := range entries {
		if journal.IsLogFile(f.Name()) {
			newest = f.Name() // ReadDir sorts by name
		}
	}
	if newest != "" {
		file, err := os.OpenFile(filepath.Join(e.vm.dataDir(), newest), os.O_APPEND|os.O_WRONLY, 0)
		if err == nil {
			_, err = file.Write(e.garbage)
			_ = file.Close()
		}
		if err != nil {
			h.fail("torn write on %s: %v", e.vm.name, err)
		}
	}
	e.vm.start()
}

// reloadSettings writes the settings file with the seeds in another order, with or without
// a SIGHUP.
func reloadSettings(h *harness, e *faultEvent) {
	rng := rand.New(rand.NewPCG(uint64(e.subseed), 1))
	e.vm.writeSettings(rng.Perm(h.disks))
	if rng.IntN(2) == 0 {
		e.vm.signal(syscall.SIGHUP)
	}
}

func failList(h *harness, e *faultEvent) {
	h.markDisturbed()
	h.listFailing.Store(true)
	time.Sleep(e.duration)
	h.listFailing.Store(false)
	h.markDisturbed()
}

func drainLeaf(h *harness, e *faultEvent) {
	e.leaf.startLeaving()
	h.startLeaf(e.leaf.service)
	time.Sleep(leafDrainTime + 2*time.Second)
	h.removeLeaf(e.leaf)
}

// crashLeaf stops a leaf. The leaf stays on the list for the duration of the fault.
func crashLeaf(h *harness, e *faultEvent) {
	h.startLeaf(e.leaf.service)
	_ = e.leaf.server.Close()
	time.Sleep(e.duration)
	h.removeLeaf(e.leaf)
}

// disturbVMLink disturbs the link from other daemons to a VM.
func (h *harness) disturbVMLink(e *faultEvent, s linkState) {
	h.markDisturbed()
	e.vm.link.state.Store(int32(s))
	time.Sleep(e.duration)
	e.vm.link.state.Store(int32(linkOpen))
	e.vm.markDisrupted()
	h.markDisturbed()
}

// disturbLeafLink disturbs the link to a leaf. Data that the link holds arrives late, even
// if the leaf has started to leave in the meantime.
func (h *harness) disturbLeafLink(e *faultEvent, s linkState) {
	h.markDisturbed()
	e.leaf.disturbLink(time.Now().Add(time.Hour))
	e.leaf.link.state.Store(int32(s))
	time.Sleep(e.duration)
	e.leaf.link.state.Store(int32(linkOpen))
	e.leaf.disturbLink(time.Now().Add(proxyPoll))
	h.markDisturbed()
}

func (h *harness) pause(v *vmProcess, d time.Duration) {
	h.markDisturbed()
	v.signal(syscall.SIGSTOP)
	time.Sleep(d)
	v.signal(syscall.SIGCONT)
	h.markDisturbed()
}

// stopGracefully sends SIGTERM and waits for the process to exit. With reload it also sends
// SIGHUP while the process drains.
func (v *vmProcess) stopGracefully(reload bool) {
	v.signal(syscall.SIGTERM)
	if reload {
		v.signal(syscall.SIGHUP)
	}
	select {
	case <-v.exited:
	case <-time.After(5 * time.Second):
		v.h.fail("%s did not exit within 5 s of SIGTERM; its grace period is 3 s", v.name)
		v.kill()
	}
	v.h.markDisturbed()
}
