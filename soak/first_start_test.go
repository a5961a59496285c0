package soak

import (
	"context"
	"flag"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"pearmoor/internal/journal"
)

// defaultFirstStartSeeds are the seeds of the short run in CI, one of each fault.
const defaultFirstStartSeeds = "5 6"

var firstStartSeeds = flag.String("first-start-seeds", defaultFirstStartSeeds, "seeds of TestSoakFirstStart, separated by spaces; "+defaultFirstStartSeeds+" if empty")

const (
	// startSpread is the time within which the VMs of a tier start.
	startSpread = 300 * time.Millisecond
	// foundingTime is longer than the VMs need to found the control group and to grow it.
	foundingTime = 1500 * time.Millisecond
	// diskReturnTime is the longest time after which a VM is back with an empty disk.
	diskReturnTime = 3 * time.Second
)

// Guards against a tier that never accepts a configuration, or loses one, because a founder loses
// its disk or all VMs are killed while the control group is founded.
func TestSoakFirstStart(t *testing.T) {
	runSeeds(t, *firstStartSeeds, defaultFirstStartSeeds, runFirstStart)
}

func runFirstStart(t *testing.T, seed uint64) {
	h := newHarness(t, seed, size{vms: 6, disks: 4})
	defer h.close()
	defer h.report(t, seed)
	defer h.logSteps(t, seed)
	for _, s := range allServices() {
		h.startLeaf(s)
	}
	h.startSpread()
	if seed%2 == 0 {
		h.awaitMarkedDisks()
		time.Sleep(h.randomTime(foundingTime))
		for _, v := range h.vms {
			v.kill()
		}
		h.startSpread()
	} else {
		time.Sleep(h.randomTime(foundingTime))
		lost := h.vms[h.rng.IntN(3)]
		lost.kill()
		if err := os.RemoveAll(lost.dataDir()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(h.randomTime(diskReturnTime))
		lost.start()
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTime)
	defer cancel()
	number, text := h.operators.newConfiguration(h.rng)
	if !h.putConfiguration(ctx, h.rng, number, text) {
		h.fail("the first configuration was not acknowledged within %v", startTime)
		return
	}
	time.Sleep(applyDelay)
	client := &http.Client{Timeout: watchTimeout}
	defer client.CloseIdleConnections()
	for _, v := range h.vms {
		if _, ok := h.checkReadBackAt(client, v, number); !ok {
			h.fail("%s returned no configuration", v.name)
		}
	}
	h.checkAllFollow(ctx)
}

// startSpread starts all VMs in random order within startSpread.
func (h *harness) startSpread() {
	var starting sync.WaitGroup
	for _, v := range h.vms {
		delay := h.randomTime(startSpread)
		starting.Go(func() {
			time.Sleep(delay)
			v.start()
		})
	}
	starting.Wait()
}

func (h *harness) randomTime(most time.Duration) time.Duration {
	return time.Duration(h.rng.Int64N(int64(most)))
}

// awaitMarkedDisks waits until the seeds have recorded the first start on their disks.
func (h *harness) awaitMarkedDisks() {
	end := time.Now().Add(startTime)
	for _, i := range h.currentSeeds() {
		v := h.vms[i]
		for !fileExists(filepath.Join(v.dataDir(), journal.IdentityFile)) {
			if time.Now().After(end) {
				h.t.Fatalf("%s has not recorded the first start", v.name)
			}
			time.Sleep(time.Millisecond)
		}
	}
}

func fileExists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}
