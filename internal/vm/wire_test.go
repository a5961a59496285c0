package vm

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"pearmoor/internal/link/wire"
)

// TestMain fixes the seed of rapid, so that every run gives the same result.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "6", "rapid.checks": "500", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

func drawMembership(t *rapid.T, epoch uint64) *Membership {
	m := &Membership{Epoch: epoch, Members: []Member{}}
	for i := range 8 {
		if rapid.Bool().Draw(t, "present") {
			m.Members = append(m.Members, Member{
				Identity: Identity{Name: fmt.Sprintf("vm-%d", i), Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"), Domain: "hall"},
				Phase:    Phase(rapid.IntRange(0, 3).Draw(t, "phase")),
			})
		}
	}
	return m
}

// A daemon that receives deltas must have the same list as one that receives the whole
// list. Shares are computed from it, so two different lists at one epoch would allocate
// a leaf's slots twice. A delta from another epoch must be rejected.
func TestApplyDeltaYieldsTargetMembership(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawMembership(t, 4), drawMembership(t, 5)
		got, err := ApplyDelta(from, roundTrip(t, MembershipDelta(from, to)))
		if err != nil || !reflect.DeepEqual(got, to) {
			t.Fatalf("got %+v (%v), want %+v", got, err, to)
		}
		full, err := ApplyDelta(from, roundTrip(t, MembershipDelta(nil, to)))
		if err != nil || !reflect.DeepEqual(full, to) {
			t.Fatalf("full delta: got %+v (%v), want %+v", full, err, to)
		}
		if _, err := ApplyDelta(to, MembershipDelta(from, to)); err == nil {
			t.Fatal("a delta from epoch 4 was applied to epoch 5")
		}
	})
}

// roundTrip encodes and decodes a delta.
func roundTrip(t *rapid.T, d *wire.MembershipDelta) *wire.MembershipDelta {
	body, err := proto.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	out := &wire.MembershipDelta{}
	if err := proto.Unmarshal(body, out); err != nil {
		t.Fatal(err)
	}
	return out
}

// The wall clock of a restarted VM may be behind that of its previous run. The new
// incarnation must still exceed the previous one.
func TestNewIncarnationExceedsKnown(t *testing.T) {
	const known = 1 << 63
	if got := NewIncarnation(known); got != known+1 {
		t.Fatalf("got %d after %d", got, uint64(known))
	}
	if a, b := NewIncarnation(0), NewIncarnation(0); a == 0 || b < a {
		t.Fatalf("got %d, then %d", a, b)
	}
}
