package policy

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a change that is acknowledged while so few VMs vote that the losses which the
// tier must bear leave no majority.
func TestGrowingGroupAcceptsOnlyWhatSurvivesItsLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lost := rapid.IntRange(0, 4).Draw(t, "lost")
		g := NewGroupGrowth(lost, time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(time.Minute)).Draw(t, "ack time")))
		voters := rapid.IntRange(1, 9).Draw(t, "voters")
		unchanged := time.Duration(rapid.Int64Range(0, int64(g.SettleTime)-1).Draw(t, "unchanged"))
		if survives := voters-lost > voters/2; g.Accepts(voters, unchanged) && !survives {
			t.Fatalf("accepts changes with %d voters, of which %d may be lost", voters, lost)
		}
	})
}

// Guards against a tier with fewer disks than its stated losses ask for that never accepts a change.
func TestGroupThatGrowsNoMoreAcceptsChangesInTime(t *testing.T) {
	const ackTime = 5 * time.Second
	g := NewGroupGrowth(2, ackTime)
	if !g.Accepts(3, ackTime/2) {
		t.Error("no change is accepted although no VM has joined for half of the time to acknowledge it")
	}
	if g.Accepts(4, ackTime/10) {
		t.Error("a change is accepted although a VM has just joined")
	}
}

func TestGroupOfFullSizeAcceptsChangesAtOnce(t *testing.T) {
	for _, lost := range []int{0, 1, 2, 3} {
		if !NewGroupGrowth(lost, time.Second).Accepts(2*lost+1, 0) {
			t.Errorf("%d voters of a tier that may lose %d disks accept no change", 2*lost+1, lost)
		}
	}
}
