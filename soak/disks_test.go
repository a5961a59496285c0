package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"pearmoor/internal/journal/faultydisk"
	"pearmoor/internal/vm"
)

// injectDiskFaults makes the disk of one random VM at a time slow, stalled or full for a
// while, until ctx is cancelled. Faults of other kinds run concurrently, also on other VMs
// with disks. It uses a separate random source, so that it does not change the order of the
// other faults of a seed.
func (h *harness) injectDiskFaults(ctx context.Context, rng *rand.Rand) {
	faults := []faultydisk.Fault{faultydisk.Slow, faultydisk.Stalled, faultydisk.Full}
	for n := 0; vm.Sleep(ctx, time.Duration(200+rng.IntN(1500))*time.Millisecond); n++ {
		if n%len(faults) == 0 {
			rng.Shuffle(len(faults), func(i, k int) { faults[i], faults[k] = faults[k], faults[i] })
		}
		v := h.vms[rng.IntN(h.disks)]
		h.setDiskFault(v, faults[n%len(faults)])
		vm.Sleep(ctx, time.Duration(300+rng.IntN(2500))*time.Millisecond)
		h.setDiskFault(v, faultydisk.None)
	}
}

func (h *harness) setDiskFault(v *vmProcess, f faultydisk.Fault) {
	h.markDisturbed()
	if err := faultydisk.Set(v.dataDir(), f); err != nil {
		h.fail("disk of %s: %v", v.name, err)
	}
}

// resetRepeatedly resets the connections to random VMs and leaves several times in quick
// succession, until ctx is cancelled, so that reopened connections are reset again.
func (h *harness) resetRepeatedly(ctx context.Context, rng *rand.Rand) {
	for vm.Sleep(ctx, time.Duration(500+rng.IntN(3000))*time.Millisecond) {
		for range 2 + rng.IntN(4) {
			h.markDisturbed()
			h.vms[rng.IntN(len(h.vms))].link.reset()
			if l := h.randomLeaf(rng); l != nil {
				l.link.reset()
			}
			vm.Sleep(ctx, time.Duration(20+rng.IntN(200))*time.Millisecond)
		}
	}
}

func (h *harness) randomLeaf(rng *rand.Rand) *leaf {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.leaves) == 0 {
		return nil
	}
	return h.leaves[rng.IntN(len(h.leaves))]
}
