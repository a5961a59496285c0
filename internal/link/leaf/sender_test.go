package leaf

import (
	"strconv"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestSendReusesConnection(t *testing.T) {
	Convey("Matching replies are returned, all over one connection", t, func() {
		f := newFakeLeaf(t)
		r := newFixture(t, f.leaf(), 2, ConnConfig{MaxConns: 3})
		for i := range 20 {
			reply, err := r.send(contextWithTimeout(t, testTimeout), t, strconv.Itoa(i))
			So(err, ShouldBeNil)
			So(reply.ID, ShouldEqual, strconv.Itoa(i))
			So(reply.Hits, ShouldHaveLength, 1)
		}
		So(f.runs.Load(), ShouldEqual, 20)
		So(f.connsAccepted.Load(), ShouldEqual, 1)
		So(r.gates.Load(r.leaf.Addr).InFlight, ShouldEqual, 0)
	})
}
