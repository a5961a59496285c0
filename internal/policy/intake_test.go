package policy

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

const (
	smallMachine   = 184 << 20
	ordinaryBytes  = 4 << 10
	mostLegalBytes = 1 << 20 // a head of 16 KiB in the shortest lines, and a body
)

// Guards against a single request inside the limits that is refused in calm.
func TestLegalRequestIsHeldInCalm(t *testing.T) {
	for _, memory := range []int64{64 << 20, smallMachine, 284 << 20, 0} {
		if l := NewIntakeLimits(memory, 4100); !l.MayHold(0, mostLegalBytes, 0, CallerShare) {
			t.Errorf("refused on a machine with %d MB", memory>>20)
		}
	}
}

// Guards against clients that together hold more than the limit, or so much that ordinary requests
// are refused.
func TestGreedyClientsLeaveRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewIntakeLimits(smallMachine, 4100)
		held := make([]int64, rapid.IntRange(1, l.Connections).Draw(t, "clients"))
		step := rapid.Int64Range(1<<10, 1<<20).Draw(t, "step")
		total := int64(0)
		for grown := true; grown; {
			grown = false
			for i := range held {
				n := step
				for n > 64 && !l.MayHold(held[i], n, total, CallerShare) {
					n /= 2
				}
				if n > 64 {
					held[i], total, grown = held[i]+n, total+n, true
				}
			}
		}
		if total > l.Bytes {
			t.Fatalf("%d bytes held, the limit is %d", total, l.Bytes)
		}
		slices.Sort(held)
		for closed := 0; !l.MayHold(0, ordinaryBytes, total, CallerShare); closed++ {
			largest := held[len(held)-1]
			if !MayDisplace(ordinaryBytes, largest) {
				t.Fatalf("an ordinary request is refused while %d clients hold %d of %d bytes", len(held), total, l.Bytes)
			}
			held, total = held[:len(held)-1], total-largest
		}
	})
}

func TestIntakeLimitsOfAnyMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory := rapid.Int64Range(1<<20, 1<<40).Draw(t, "memory")
		descriptors := rapid.IntRange(64, 1<<20).Draw(t, "descriptors")
		l := NewIntakeLimits(memory, descriptors)
		if l.Bytes <= 0 || l.Bytes > memory/2 || l.Connections <= 0 || l.Connections > descriptors/2 {
			t.Fatalf("%+v for %d bytes and %d descriptors", l, memory, descriptors)
		}
	})
}
