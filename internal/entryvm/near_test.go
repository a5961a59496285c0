package entryvm

import (
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"pearmoor/internal/vm"
)

func peerMember(name, domain string, millicores uint32) *vm.Member {
	m := member(name, domain, millicores)
	m.PeerAddr = name + ":70"
	return &m
}

// Parts of a gather are asked for at daemons near their leaves. Taken in turn, a small VM
// beside a large one gets as many of them, is through with them 2.7 times as late, and the
// gather waits for it.
func TestPartsAreAskedForWhereTheyCostLeast(t *testing.T) {
	Convey("Given a large VM and a small one in another failure domain", t, func() {
		v := testVM(t, "self", "self:70", "")
		takers := []*vm.Member{
			peerMember("self", "hall-1", 192), peerMember("small-1", "hall-1", 192),
			peerMember("small-2", "hall-2", 192), peerMember("large-2", "hall-2", 512),
		}
		n := newNearDaemons(v)
		now := vm.Monotonic()

		Convey("the small one is asked while the large one is busy", func() {
			So(n.choose(takers, "hall-2", now), ShouldEqual, "large-2:70")
			So(n.choose(takers, "hall-2", now), ShouldEqual, "large-2:70")
			So(n.choose(takers, "hall-2", now), ShouldEqual, "small-2:70")
		})
		Convey("and when it has failed, until it has rested", func() {
			So(n.choose(takers, "hall-2", now), ShouldEqual, "large-2:70")
			n.Ended("large-2:70", errors.New("frozen"))
			So(n.choose(takers, "hall-2", now), ShouldEqual, "small-2:70")
			So(n.choose(takers, "hall-2", now.Add(2*restFirst)), ShouldEqual, "large-2:70")
		})
		Convey("a daemon does not ask itself", func() {
			So(n.choose(takers[:1], "hall-1", now), ShouldEqual, "")
			So(n.choose(takers[:2], "hall-1", now), ShouldEqual, "small-1:70")
		})
	})
}
