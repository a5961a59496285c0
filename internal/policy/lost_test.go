package policy

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a daemon that is cut off from the network and considers all others lost.
func TestLostDaemonsAnswerNoPeer(t *testing.T) {
	Convey("A daemon that does not answer", t, func() {
		unanswered := []string{"a", "b"}
		Convey("is not lost without a report of a peer", func() {
			So(LostDaemons(unanswered, nil), ShouldBeEmpty)
		})
		Convey("is lost when it answers none of the peers", func() {
			So(LostDaemons(unanswered, []PeerReport{{[]string{"b", "a"}}, {[]string{"a"}}}), ShouldResemble, []string{"a"})
		})
		Convey("is not lost when it answers the peers", func() {
			So(LostDaemons(unanswered, []PeerReport{{}}), ShouldBeEmpty)
		})
	})
}
