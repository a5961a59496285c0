package entryvm

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
	"pearmoor/internal/evacuation"
)

const (
	// inForceTime is how soon an acknowledged order must be in force on every VM.
	inForceTime = time.Second
	loadThreads = 4
)

func (c *crashTier) evacuate(v *crashVM, domain string, start bool) {
	c.t.Helper()
	eventually(c.t, "an evacuation order is acknowledged", func() bool {
		return v.Evacuate(c.t.Context(), domain, start) == nil
	})
}

// runsIn returns how many requests the leaves of a failure domain have received.
func (f *fleet) runsIn(domain string) int64 {
	n := int64(0)
	for _, l := range f.leaves {
		if l.domain == domain {
			n += l.requests.Load()
		}
	}
	return n
}

// load sends requests to all VMs until the test or stop ends.
func (c *crashTier) load() (stop func()) {
	ctx, cancel := context.WithCancel(c.t.Context())
	done := make(chan struct{}, loadThreads)
	var n atomic.Int64
	vms := slices.Clone(c.vms)
	for range loadThreads {
		go func() {
			defer func() { done <- struct{}{} }()
			for ctx.Err() == nil {
				path := gatherPath
				if n.Add(1)%3 == 0 {
					path = singlePath
				}
				c.ask(vms[int(n.Load())%len(vms)], path+"load")
			}
		}()
	}
	return func() {
		cancel()
		for range loadThreads {
			<-done
		}
	}
}

// Guards against requests that reach an evacuated failure domain, whichever VM took the order
// and whichever VM the caller asks, and against an evacuation that cannot be ended.
func TestEvacuationIsInForceOnEveryVM(t *testing.T) {
	t.Parallel()
	tier := startCrashTier(t)
	small := tier.vms[len(tier.vms)-1]
	defer tier.load()()
	tier.evacuate(small, "hall-0", true)
	time.Sleep(inForceTime)
	before := tier.fleet.runsIn("hall-0")
	time.Sleep(inForceTime)
	if n := tier.fleet.runsIn("hall-0") - before; n > 0 {
		t.Errorf("%d requests reached the evacuated domain", n)
	}
	for _, v := range tier.vms {
		if status, body := tier.ask(v, gatherPath+"x"); status != http.StatusOK {
			t.Errorf("%s: status %d, %q", v.conf.Name, status, body)
		}
	}
	tier.evacuate(tier.vms[0], "hall-0", false)
	eventually(t, "the domain receives requests again", func() bool { return tier.fleet.runsIn("hall-0") > before })
}

// Guards against an acknowledged evacuation that is lost when every VM restarts and one disk
// is gone.
func TestEvacuationOutlivesRestartOfEveryVM(t *testing.T) {
	t.Parallel()
	tier := startCrashTier(t)
	tier.evacuate(tier.vms[1], "hall-1", true)
	tier.restartOn(map[string]string{tier.vms[0].conf.Name: t.TempDir()})
	eventually(t, "every VM knows the evacuation", func() bool {
		for _, v := range tier.vms {
			if view := v.client.Current(); view.Tree == nil || !evacuation.FromTree(view.Tree)["hall-1"].Evacuated {
				return false
			}
		}
		return true
	})
	tier.waitReady()
	before := tier.fleet.runsIn("hall-1")
	for _, v := range tier.vms {
		tier.ask(v, gatherPath+"x")
	}
	if n := tier.fleet.runsIn("hall-1") - before; n > 0 {
		t.Errorf("%d requests reached the evacuated domain", n)
	}
}

// Guards against an order that its VM carries out after its operator has given up: a later
// order, acknowledged through another VM, would be undone.
func TestDelayedEvacuationOrderHasNoEffect(t *testing.T) {
	t.Parallel()
	tier := startCrashTier(t)
	late, other := tier.vms[len(tier.vms)-1], tier.vms[0]
	seen := late.client.Current()
	tier.evacuate(other, "hall-0", true)
	tier.evacuate(other, "hall-0", false)
	reply, err := late.sendEvacuation(t.Context(), newEvacuationRequest("hall-0", true, seen))
	if err != nil || !reply.Outdated {
		t.Errorf("a delayed order: got %v, %v, want it refused as outdated", reply, err)
	}
	left, cancel := context.WithCancel(t.Context())
	cancel()
	if err := late.Evacuate(left, "hall-0", true); err == nil {
		t.Error("an order whose operator has left was acknowledged")
	}
	time.Sleep(inForceTime)
	for _, v := range tier.vms {
		if evacuation.FromTree(v.client.Current().Tree)["hall-0"].Evacuated {
			t.Errorf("%s: the domain is evacuated again", v.conf.Name)
		}
	}
}

func TestEvacuationOfUnknownDomainIsInvalid(t *testing.T) {
	t.Parallel()
	tier := startCrashTier(t)
	tier.vms[0].conf.DomainRegions = map[string]string{"hall-0": "valley", "hall-1": "valley"}
	var faults contract.Faults
	if err := tier.vms[0].Evacuate(t.Context(), "no-such-hall", true); !errors.As(err, &faults) {
		t.Errorf("got %v, want a fault", err)
	}
}

// Guards against a proper order that is refused for good by a VM that does not know all failure
// domains: its settings name none, and no leaf of the domain is listed.
func TestEvacuationOfDomainWithoutLeavesIsAcknowledged(t *testing.T) {
	t.Parallel()
	tier := startCrashTier(t)
	tier.evacuate(tier.vms[0], "hall-without-leaves", true)
	if err := tier.vms[1].Evacuate(t.Context(), "hall-without-leaves", false); err != nil && !errors.Is(err, errOutdatedOrder) {
		t.Error(err)
	}
}
