package test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"
)

// TestRollingRestartWithStalls guards against refusals of requests that a daemon could
// still serve after it got no CPU time for 20 to 500 ms. Random daemons are paused and
// resumed during a rolling restart.
func TestRollingRestartWithStalls(t *testing.T) {
	seeds := 4
	if v, err := strconv.Atoi(os.Getenv("STALL_SEEDS")); err == nil {
		seeds = v
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rollingRestartWithStalls(t, uint64(seed))
		})
	}
}

func rollingRestartWithStalls(t *testing.T, seed uint64) {
	tr := startTier(t, tierConfig{controls: 1, entries: 4})
	cfg := steadyLoad()
	cfg.NonRepeatableShare, cfg.ResendShare = 0, 0
	running := tr.startLoad(cfg)
	stop := make(chan struct{})
	var stallLoop sync.WaitGroup
	stallLoop.Go(func() {
		rng := rand.New(rand.NewPCG(seed, 1))
		for {
			p := tr.entries[rng.IntN(len(tr.entries))]
			for _, step := range []func(){p.tryPause, p.tryResume} {
				step()
				select {
				case <-stop:
					p.tryResume()
					return
				case <-time.After(20*time.Millisecond + time.Duration(rng.IntN(480))*time.Millisecond):
				}
			}
		}
	})
	for _, p := range tr.entries {
		p.stop()
		p.start()
		tr.awaitReady(p)
	}
	close(stop)
	stallLoop.Wait()
	r := running.stop(t)
	checkLoadResult(t, tr, r)
	if bad := r.Refused + r.InDoubt + r.Failed; bad > 0 {
		t.Errorf("%d of %d requests not answered: %d refused, %d with unknown outcome, %d without a reply; reasons %v, last error %q",
			bad, r.Answered+bad, r.Refused, r.InDoubt, r.Failed, r.Reasons, r.LastError)
	}
	tr.checkLeafLimits()
}
