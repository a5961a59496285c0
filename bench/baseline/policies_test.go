package baseline

import (
	"context"
	"sync"
	"testing"
	"time"
)

// Concurrent attempts share two leaves of two slots each, and some are cancelled while
// they wait. The oracle must not exceed the slots or lose a returned one, since either
// would make comparisons with it meaningless.
func TestOracleDoesNotExceedSlots(t *testing.T) {
	leaves := []*Leaf{{Slots: 2}, {Slots: 2}}
	o := NewOracle()
	target := &Target{Leaves: leaves}
	var mu sync.Mutex
	inFlight := map[*Leaf]int{}
	var wg sync.WaitGroup
	for i := range 400 {
		wg.Go(func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if i%5 == 0 {
				time.AfterFunc(time.Millisecond, cancel)
			}
			l, err := o.Acquire(ctx, target)
			if err != nil {
				return
			}
			mu.Lock()
			inFlight[l]++
			if inFlight[l] > l.Slots {
				t.Errorf("%d attempts in flight at a leaf of %d slots", inFlight[l], l.Slots)
			}
			mu.Unlock()
			time.Sleep(100 * time.Microsecond)
			mu.Lock()
			inFlight[l]--
			mu.Unlock()
			o.Release(l, 0, false)
		})
	}
	wg.Wait()
	for _, l := range leaves {
		if n := o.limiter.inFlight[l]; n != 0 {
			t.Errorf("%d slots are still in use after all attempts ended", n)
		}
	}
}

func TestAdaptiveBacksOffOnRejection(t *testing.T) {
	a := NewAdaptive()
	l := &Leaf{Slots: 2}
	target := &Target{Leaves: []*Leaf{l}}
	attempt := func(refused bool) {
		got, err := a.Acquire(context.Background(), target)
		if err != nil {
			t.Fatal(err)
		}
		a.Release(got, time.Millisecond, refused)
	}
	for range 50 {
		attempt(false)
	}
	before := a.limitOf(l).limit
	attempt(true)
	if after := a.limitOf(l).limit; before <= adaptiveInitialLimit || after >= before {
		t.Fatalf("limit was %v before and %v after a rejection, want it to grow first and then shrink", before, after)
	}
}
