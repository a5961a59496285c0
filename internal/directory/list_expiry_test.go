package directory

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pearmoor/internal/relay"
	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

func newLifetimeTree(t *testing.T, lifetime string) *settings.Tree {
	out, err := settings.New().Apply(1, []settings.Edit{{Path: "/", Name: "address-lifetime", Value: lifetime}})
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// An operator lowers address-lifetime from 30 s to 2 s and immediately shuts a daemon
// down. Callers still use lists of 30 s that name it: if it ended after 2 s, their
// requests would be cut off or meet a closed port.
func TestListExpiryCoversFormerLifetimes(t *testing.T) {
	Convey("A daemon that shuts down waits for lists with former lifetimes", t, func() {
		const second = vm.Instant(time.Second)
		long, short := newLifetimeTree(t, "30s"), newLifetimeTree(t, "2s")
		var h ListExpiry
		h.Observe(&relay.View{ConfigVersion: 1, InForce: 1, Tree: long}, 0)
		So(h.Remaining(0), ShouldEqual, 30*time.Second)

		// Other daemons still hand out lists with the lifetime of version 1.
		older := []relay.VersionedTree{{Number: 1, Tree: long}}
		h.Observe(&relay.View{ConfigVersion: 2, InForce: 1, Tree: short, OlderVersions: older}, 10*second)
		So(h.Remaining(11*second), ShouldEqual, 30*time.Second)

		// From 12 s on no daemon does; the last such list is in use until 42 s.
		h.Observe(&relay.View{ConfigVersion: 2, InForce: 2, Tree: short}, 12*second)
		So(h.Remaining(13*second), ShouldEqual, 29*time.Second)
		So(h.Remaining(41*second), ShouldEqual, 2*time.Second)
		So(h.Remaining(60*second), ShouldEqual, 2*time.Second)
	})
}
