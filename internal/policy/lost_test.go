package policy

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a daemon that is cut off itself and takes all others for lost.
func TestLostOnlyWhereNoWitnessReachesIt(t *testing.T) {
	Convey("A daemon that does not answer", t, func() {
		unanswered := []string{"a", "b"}
		Convey("is not known to be lost without a witness", func() {
			So(Lost(unanswered, nil), ShouldBeEmpty)
		})
		Convey("is lost when no witness reaches it", func() {
			So(Lost(unanswered, []Witness{{[]string{"b", "a"}}, {[]string{"a"}}}), ShouldResemble, []string{"a"})
		})
		Convey("is not lost when the witnesses reach it", func() {
			So(Lost(unanswered, []Witness{{}}), ShouldBeEmpty)
		})
	})
}
