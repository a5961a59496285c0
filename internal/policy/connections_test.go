package policy

import (
	"testing"

	"pgregory.net/rapid"
)

// Daemons near a leaf send most of what it gets, and so need most of its connections.
func TestConnectionsFollowTheSends(t *testing.T) {
	for _, c := range []struct {
		most int
		s    Sharing
		want int
	}{
		{28, Sharing{Daemons: 11, Near: 4, Local: true}, 2},
		{28, Sharing{Daemons: 11, Near: 4, Local: true, Delegated: true}, 4},
		{28, Sharing{Daemons: 11, Near: 4, Delegated: true}, 1},
		{28, Sharing{Daemons: 11, Near: 0, Delegated: true}, 2},
		{28, Sharing{Daemons: 4, Near: 4, Local: true, Delegated: true}, 6},
		{66, Sharing{Daemons: 6, Near: 2, Local: true, Delegated: true}, 23},
		{66, Sharing{Daemons: 6, Near: 2, Delegated: true}, 3},
		{0, Sharing{Daemons: 6}, UnstatedConnections},
		{10, Sharing{Daemons: 100, Near: 30, Delegated: true}, LeastConnections},
	} {
		if got := Connections(c.most, c.s); got != c.want {
			t.Errorf("%d connections, %+v: %d each, want %d", c.most, c.s, got, c.want)
		}
	}
}

// A leaf resets the connections beyond its limit, with whatever is on them: the shares
// of all daemons stay within it, unless the least that each needs is more.
func TestConnectionsStayWithinTheLeafsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(1, 2000).Draw(t, "most")
		daemons := rapid.IntRange(1, 300).Draw(t, "daemons")
		near := rapid.IntRange(0, daemons).Draw(t, "near")
		s := Sharing{Daemons: daemons, Near: near, Delegated: rapid.Bool().Draw(t, "delegated")}
		far := Connections(most, s)
		s.Local = true
		local := Connections(most, s)
		if sum := local*near + far*(daemons-near); sum > max(most, LeastConnections*daemons) {
			t.Fatalf("%d and %d each of %+v: %d of %d", local, far, s, sum, most)
		}
		if local < 1 || far < 1 {
			t.Fatalf("%d and %d each", local, far)
		}
	})
}
