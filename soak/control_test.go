package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"pearmoor/internal/vm"
)

// loseControl ends the processes of all VMs with a disk together, for a while, until ctx
// ends. It waits for moments at which no other fault is played on any of them.
func (w *world) loseControl(ctx context.Context, rng *rand.Rand) {
	for vm.Sleep(ctx, time.Duration(1000+rng.IntN(4000))*time.Millisecond) {
		claimed := w.claimControl()
		if len(claimed) == disks {
			for _, v := range claimed {
				v.kill()
			}
			time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
			for _, v := range claimed {
				v.start()
			}
		}
		for _, v := range claimed {
			v.release()
		}
	}
}

// claimControl claims the VMs with a disk, up to the first that another fault has.
func (w *world) claimControl() (claimed []*vmProcess) {
	for _, v := range w.vms[:disks] {
		if !v.claim() {
			break
		}
		claimed = append(claimed, v)
	}
	return claimed
}
