package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"pearmoor/internal/journal/faultydisk"
	"pearmoor/internal/vm"
)

// disturbDisks makes the disk of one VM after the other slow, stall or fill for a while,
// until ctx ends. Faults of other kinds go on beside it, on other VMs with disks as well. It
// draws from a source of its own: the faults of a seed stay those that it always had.
func (w *world) disturbDisks(ctx context.Context, rng *rand.Rand) {
	faults := []faultydisk.Fault{faultydisk.Slow, faultydisk.Stalls, faultydisk.Full}
	for n := 0; vm.Sleep(ctx, time.Duration(200+rng.IntN(1500))*time.Millisecond); n++ {
		if n%len(faults) == 0 {
			rng.Shuffle(len(faults), func(i, k int) { faults[i], faults[k] = faults[k], faults[i] })
		}
		v := w.vms[rng.IntN(disks)]
		w.setDisk(v, faults[n%len(faults)])
		vm.Sleep(ctx, time.Duration(300+rng.IntN(2500))*time.Millisecond)
		w.setDisk(v, faultydisk.Well)
	}
}

func (w *world) setDisk(v *vmProcess, f faultydisk.Fault) {
	w.disturb()
	if err := faultydisk.Set(v.folder(), f); err != nil {
		w.fail("disk of %s: %v", v.name, err)
	}
}

// resetInSeries resets the connections to some VMs and leaves several times in a row, a few
// at a time, until ctx ends: what is opened anew is reset again.
func (w *world) resetInSeries(ctx context.Context, rng *rand.Rand) {
	for vm.Sleep(ctx, time.Duration(500+rng.IntN(3000))*time.Millisecond) {
		for range 2 + rng.IntN(4) {
			w.disturb()
			w.vms[rng.IntN(daemons)].link.reset()
			if l := w.anyLeafOf(rng); l != nil {
				l.link.reset()
			}
			vm.Sleep(ctx, time.Duration(20+rng.IntN(200))*time.Millisecond)
		}
	}
}

func (w *world) anyLeafOf(rng *rand.Rand) *leaf {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.leaves) == 0 {
		return nil
	}
	return w.leaves[rng.IntN(len(w.leaves))]
}
