package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// removalPause is longer than the group waits before it removes a silent voter.
	removalPause = 3500 * time.Millisecond
	// returnTime is the time in which a VM that the group has removed clears its disk and returns.
	returnTime = 4 * time.Second
)

// A second group acknowledges changes that no VM of the first one has.
func TestRemovedControlVMFoundsNoSecondGroup(t *testing.T) {
	h := newHarness(t, 0, size{vms: 6, disks: 4})
	defer h.close()
	defer h.report(t, 0)
	h.startLeaf(ledger)
	for _, v := range h.vms {
		v.start()
	}
	number, text := h.operators.newConfiguration(h.rng)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if !h.putConfiguration(ctx, h.rng, number, text) || !h.awaitLog(ctx, "promote of member 4") {
		t.Fatal("the control group of four VMs did not start")
	}
	var watch sync.WaitGroup
	defer watch.Wait()
	watchCtx, endWatch := context.WithCancel(ctx)
	defer endWatch()
	watch.Go(func() { h.watchControlGroup(watchCtx) })
	c := &caller{h: h, key: fixedKey(usualOrg), rng: h.rng, client: &http.Client{Transport: &http.Transport{}, Timeout: 4 * time.Second}}
	defer c.client.CloseIdleConnections()

	paused, others := h.vms[3], append(h.vms[:3:3], h.vms[4:]...)
	inTurn := append(others, paused)
	h.exchangeSeeds([]int{3, 4, 5}, true)
	time.Sleep(time.Second)
	paused.signal(syscall.SIGSTOP)
	for end := time.Now().Add(removalPause); time.Now().Before(end); {
		h.putAtEach(h.rng, others)
	}
	paused.signal(syscall.SIGCONT)
	time.Sleep(returnTime)
	h.putAtEach(h.rng, inTurn)
	h.checkAllInForce(c)
	for _, v := range h.vms[h.disks:] {
		v.kill()
		v.start()
		time.Sleep(returnTime)
		h.putAtEach(h.rng, inTurn)
	}
	h.checkAllInForce(c)
	h.checkAllFollow(ctx)
}

// putAtEach sends a new configuration to each of the VMs in turn. A VM may refuse it.
func (h *harness) putAtEach(rng *rand.Rand, vms []*vmProcess) {
	for _, v := range vms {
		number, text := h.operators.newConfiguration(rng)
		client := operatorClient(text)
		h.putConfigurationAt(client, v, number, text)
		client.CloseIdleConnections()
		time.Sleep(50 * time.Millisecond)
	}
}

// awaitLog waits until the log of any VM contains the text. It returns false if ctx ends before.
func (h *harness) awaitLog(ctx context.Context, text string) bool {
	for ctx.Err() == nil {
		if h.countLogLines(text) > 0 {
			return true
		}
		time.Sleep(watchInterval)
	}
	return false
}

// checkAllFollow checks that each process follows the control group within followTime.
func (h *harness) checkAllFollow(ctx context.Context) bool {
	client := &http.Client{Timeout: watchTimeout}
	defer client.CloseIdleConnections()
	deadline, all := time.Now().Add(followTime), true
	for _, v := range h.vms {
		for !follows(h.metrics(client, v)) {
			if time.Now().After(deadline) || ctx.Err() != nil {
				h.fail("%s does not follow the control group %v after the last disruption", v.name, followTime)
				all = false
				break
			}
			time.Sleep(watchInterval)
		}
	}
	return all
}
