package policy

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pearmoor/internal/vm"
)

func drawMembers(t *rapid.T) []*vm.Member {
	var out []*vm.Member
	for i := range rapid.IntRange(1, 40).Draw(t, "members") {
		out = append(out, &vm.Member{Identity: vm.Identity{Name: fmt.Sprintf("vm-%d", i)}})
	}
	return out
}

// Guards against daemons that together send more to a cold leaf than it bears, and against a
// cold leaf that no daemon may send to.
func TestColdSharesSumToNoMoreThanTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members, rate := drawMembers(t), rapid.Float64Range(0.1, 300).Draw(t, "rate")
		leaf := rapid.StringMatching("i-[a-z]{4}").Draw(t, "leaf")
		perSecond, senders := 0.0, 0
		for _, m := range members {
			share := NewColdShare(rate, leaf, m.Name, members)
			if share.Requests > 0 {
				senders++
				perSecond += float64(share.Requests) / share.Window.Seconds()
			}
		}
		if senders == 0 || perSecond > rate*(1+1e-9) {
			t.Fatalf("%d senders may send %.2f requests per second, the leaf bears %.2f", senders, perSecond, rate)
		}
		if got := NewColdShare(rate, leaf, "no-member", members); got.Requests != 0 {
			t.Fatalf("a daemon that is no member has the share %+v", got)
		}
	})
}

// Guards against more sends within a window than the share allows, wherever the window begins.
func TestColdSendsStayWithinSlidingWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := ColdShare{Requests: rapid.IntRange(0, 4).Draw(t, "requests"), Window: time.Second}
		var sends ColdSends
		var taken []vm.Instant
		now := vm.Instant(time.Hour)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if sends.Take(share, now) {
				taken = append(taken, now)
			}
		}
		for i := range taken {
			n := 0
			for _, at := range taken[i:] {
				if at.Sub(taken[i]) < share.Window {
					n++
				}
			}
			if n > share.Requests {
				t.Fatalf("%d sends within a second, %d allowed", n, share.Requests)
			}
		}
	})
}
