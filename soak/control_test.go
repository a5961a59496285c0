package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"pearmoor/internal/vm"
)

// killControlVMs repeatedly kills the processes of all VMs with a disk at the same time and
// restarts them after up to 1.5 s, until ctx is cancelled. It skips a round if another
// fault is in progress on any of them.
func (h *harness) killControlVMs(ctx context.Context, rng *rand.Rand) {
	for vm.Sleep(ctx, time.Duration(1000+rng.IntN(4000))*time.Millisecond) {
		claimed := h.claimControlVMs()
		if len(claimed) == h.disks {
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

// claimControlVMs claims the VMs with a disk, up to the first that another fault has claimed.
func (h *harness) claimControlVMs() (claimed []*vmProcess) {
	for _, v := range h.vms[:h.disks] {
		if !v.claim() {
			break
		}
		claimed = append(claimed, v)
	}
	return claimed
}
