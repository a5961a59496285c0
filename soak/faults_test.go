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

// event is one fault of a run: of what kind, for how long, and where.
type event struct {
	kind  kind
	pause time.Duration
	vm    *vmProcess
	leaf  *leaf
	junk  []byte
	order int64 // a random number, to sort something by
}

// kind plays a fault and returns when it is over.
type kind struct {
	name string
	vms  bool // happens to a VM, on which nothing else may happen meanwhile
	disk bool // only to one with a disk that may be lost or harmed now
	leaf bool // needs a leaf that is well
	once bool // only to the leaves of requests that may run once
	play func(w *world, e *event)
}

// kinds returns every fault there is, some more than once. A run goes through all of
// them in an order of its own before any comes again: drawn one by one, a run of 10 s
// met a leaf that loses the answers of requests that may run once in one of eight.
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

// faults plays random faults for that long. What takes time goes on beside the next.
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

// place finds where a fault can happen now; nil if nowhere.
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

// anyLeaf returns a leaf that is well and not leaving, nil if it found none.
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

// tornWrite ends a process in the middle of a write: behind what it had synced stands
// the beginning of something else.
func tornWrite(w *world, e *event) {
	e.vm.kill()
	entries, err := os.ReadDir(e.vm.folder())
	if err != nil {
		w.fail("data folder of %s: %v", e.vm.name, err)
	}
	newest := ""
	for _, f := range entries {
		if journal.IsLog(f.Name()) {
			newest = f.Name() // they are sorted
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

// reloadSettings writes the settings again with the seeds in another order, and says
// so by a signal or not.
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

// leafCrashes ends a leaf; it stays on the list for a while.
func leafCrashes(w *world, e *event) {
	w.startLeaf(e.leaf.service)
	_ = e.leaf.server.Close()
	time.Sleep(e.pause)
	w.drop(e.leaf)
}

// vmLink harms the links of other daemons to one VM.
func (w *world) vmLink(e *event, s linkState) {
	w.disturb()
	e.vm.link.state.Store(int32(s))
	time.Sleep(e.pause)
	e.vm.link.state.Store(int32(passes))
	e.vm.harm()
	w.disturb()
}

// leafLink harms the links to a leaf. What is held on its way arrives late, also at a
// leaf that has begun to leave meanwhile.
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

// stopPlanned asks the process to stop and waits for its end. Settings may change
// while it drains.
func (v *vmProcess) stopPlanned(reload bool) {
	v.signal(syscall.SIGTERM)
	if reload {
		v.signal(syscall.SIGHUP)
	}
	select {
	case <-v.done:
	case <-time.After(5 * time.Second):
		v.w.fail("%s has not stopped 5 s after it was told to, its grace is 3 s", v.name)
		v.kill()
	}
	v.w.disturb()
}
