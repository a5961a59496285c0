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
type event struct {
	kind  kind
	pause time.Duration
	vm    *vmProcess
	leaf  *leaf
	junk  []byte
	order int64 // seed for the fault's own random choices
}

// faultKind describes a kind of fault.
type kind struct {
	name string
	vms  bool                     // affects a VM, which is claimed for the duration
	disk bool                     // affects only a VM with a disk, and only while the group tolerates its loss
	leaf bool                     // affects a healthy leaf
	once bool                     // affects only leaves that serve at-most-once requests
	play func(w *world, e *event) // injects the fault and returns when it is over
}

// faultKinds returns all kinds of faults, some more than once. A run goes through all of
// them in random order before any is repeated. With independent draws, only one run of 10 s
// in eight had a leaf that lost the answers of at-most-once requests.
func kinds() []kind {
	out := []kind{
		{name: "kill", vms: true, play: func(w *world, e *event) { e.vm.kill(); time.Sleep(e.pause / 3); e.vm.start() }},
		{name: "kill, back at once", vms: true, play: func(w *world, e *event) { e.vm.kill(); e.vm.start() }},
		{name: "pause", vms: true, play: func(w *world, e *event) { w.pause(e.vm, e.pause) }},
		{name: "stop", vms: true, play: func(w *world, e *event) { e.vm.stopPlanned(false); e.vm.start() }},
		{name: "stop with a reload", vms: true, play: func(w *world, e *event) { e.vm.stopPlanned(true); e.vm.start() }},
		{name: "disk lost", vms: true, disk: true, play: func(w *world, e *event) { e.vm.kill(); _ = os.RemoveAll(e.vm.folder()); e.vm.start() }},
		{name: "torn write", vms: true, disk: true, play: tornWrite},
		{name: "settings change", vms: true, play: reloadSettings},
		{name: "list fails", play: listFails},
		{name: "leaf leaves", leaf: true, play: leafLeaves},
		{name: "leaf crashes", leaf: true, play: leafCrashes},
	}
	for s := delays; s < linkStates; s++ {
		out = append(out,
			kind{name: "link to a VM", vms: true, play: func(w *world, e *event) { w.vmLink(e, s) }},
			kind{name: "link to a leaf", leaf: true, play: func(w *world, e *event) { w.leafLink(e, s) }})
	}
	out = append(out,
		kind{name: "link to a VM reset", vms: true, play: func(w *world, e *event) { w.disturb(); e.vm.link.reset() }},
		kind{name: "link to a leaf reset", leaf: true, play: func(w *world, e *event) { e.leaf.link.reset() }})
	for m := slow; m < modes; m++ {
		behave := func(w *world, e *event) {
			e.leaf.mode.Store(int32(m))
			time.Sleep(e.pause)
			e.leaf.mode.Store(int32(well))
		}
		out = append(out, kind{name: "leaf misbehaves", leaf: true, play: behave},
			kind{name: "leaf of single runs misbehaves", leaf: true, once: true, play: behave})
	}
	return out
}

// injectFaults injects random faults for the duration d. Faults overlap.
func (w *world) faults(d time.Duration) {
	var wg sync.WaitGroup
	var deck []kind
	for end := time.Now().Add(d); time.Now().Before(end); {
		if len(deck) == 0 {
			deck = kinds()
			w.rng.Shuffle(len(deck), func(i, k int) { deck[i], deck[k] = deck[k], deck[i] })
		}
		if e := w.place(deck[0]); e != nil {
			deck = deck[1:]
			wg.Go(func() {
				e.kind.play(w, e)
				if e.vm != nil {
					e.vm.release()
				}
			})
		} else {
			deck = append(deck[1:], deck[0])
		}
		time.Sleep(time.Duration(20+w.rng.IntN(480)) * time.Millisecond)
	}
	wg.Wait()
}

// prepare draws the parameters of a fault and selects its VM or leaf. It returns nil if the
// fault is not possible now.
func (w *world) place(k kind) *event {
	e := &event{kind: k, pause: time.Duration(200+w.rng.IntN(2500)) * time.Millisecond, order: w.rng.Int64(), junk: make([]byte, 1+w.rng.IntN(40))}
	for i := range e.junk {
		e.junk[i] = byte(w.rng.IntN(256))
	}
	if k.leaf {
		if e.leaf = w.anyLeaf(k.once); e.leaf == nil {
			return nil
		}
	}
	if !k.vms {
		return e
	}
	among := daemons
	if k.disk {
		among = disks
	}
	v := w.vms[w.rng.IntN(among)]
	if !v.claim() {
		return nil
	}
	if k.disk && !w.mayLoseDisk() {
		v.release()
		return nil
	}
	e.vm = v
	return e
}

// randomHealthyLeaf returns a random leaf that is healthy and not leaving, nil if there is
// none. If once is set, only leaves that serve at-most-once requests are considered.
func (w *world) anyLeaf(once bool) *leaf {
	w.mu.Lock()
	defer w.mu.Unlock()
	var fit []*leaf
	for _, l := range w.leaves {
		if l.state() == standin.Ready && mode(l.mode.Load()) == well && (!once || l.service == ledger) {
			fit = append(fit, l)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	return fit[w.rng.IntN(len(fit))]
}

// injectTornWrite simulates a crash in the middle of a write: it kills the process and appends
// random bytes to its newest log file.
func tornWrite(w *world, e *event) {
	e.vm.kill()
	entries, err := os.ReadDir(e.vm.folder())
	if err != nil {
		w.fail("data folder of %s: %v", e.vm.name, err)
	}
	newest := ""
	for _, f := range entries {
		if journal.IsLog(f.Name()) {
			newest = f.Name() // ReadDir sorts by name
		}
	}
	if newest != "" {
		file, err := os.OpenFile(filepath.Join(e.vm.folder(), newest), os.O_APPEND|os.O_WRONLY, 0)
		if err == nil {
			_, err = file.Write(e.junk)
			_ = file.Close()
		}
		if err != nil {
			w.fail("torn write on %s: %v", e.vm.name, err)
		}
	}
	e.vm.start()
}

// reloadSettings writes the settings file with the seeds in another order, with or without
// a SIGHUP.
func reloadSettings(w *world, e *event) {
	rng := rand.New(rand.NewPCG(uint64(e.order), 1))
	e.vm.writeSettings(rng.Perm(disks))
	if rng.IntN(2) == 0 {
		e.vm.signal(syscall.SIGHUP)
	}
}

func listFails(w *world, e *event) {
	w.disturb()
	w.listFails.Store(true)
	time.Sleep(e.pause)
	w.listFails.Store(false)
	w.disturb()
}

func leafLeaves(w *world, e *event) {
	e.leaf.drain()
	w.startLeaf(e.leaf.service)
	time.Sleep(drainTime + 2*time.Second)
	w.drop(e.leaf)
}

// crashLeaf stops a leaf. The leaf stays on the list for the duration of the fault.
func leafCrashes(w *world, e *event) {
	w.startLeaf(e.leaf.service)
	_ = e.leaf.server.Close()
	time.Sleep(e.pause)
	w.drop(e.leaf)
}

// disturbVMLink disturbs the link from other daemons to a VM.
func (w *world) vmLink(e *event, s linkState) {
	w.disturb()
	e.vm.link.state.Store(int32(s))
	time.Sleep(e.pause)
	e.vm.link.state.Store(int32(passes))
	e.vm.harm()
	w.disturb()
}

// disturbLeafLink disturbs the link to a leaf. Data that the link holds arrives late, even
// if the leaf has started to leave in the meantime.
func (w *world) leafLink(e *event, s linkState) {
	w.disturb()
	e.leaf.link.state.Store(int32(s))
	time.Sleep(e.pause)
	e.leaf.link.state.Store(int32(passes))
	w.disturb()
}

func (w *world) pause(v *vmProcess, d time.Duration) {
	w.disturb()
	v.signal(syscall.SIGSTOP)
	time.Sleep(d)
	v.signal(syscall.SIGCONT)
	w.disturb()
}

// stopGracefully sends SIGTERM and waits for the process to exit. With reload it also sends
// SIGHUP while the process drains.
func (v *vmProcess) stopPlanned(reload bool) {
	v.signal(syscall.SIGTERM)
	if reload {
		v.signal(syscall.SIGHUP)
	}
	select {
	case <-v.done:
	case <-time.After(5 * time.Second):
		v.w.fail("%s did not exit within 5 s of SIGTERM; its grace period is 3 s", v.name)
		v.kill()
	}
	v.w.disturb()
}
