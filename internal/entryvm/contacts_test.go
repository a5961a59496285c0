package entryvm

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pearmoor/internal/link/peer"
)

func TestLearnedContactsListsLatestFirst(t *testing.T) {
	Convey("The latest address comes first, each address is listed once, and the oldest are dropped", t, func() {
		c := &learnedContacts{}
		So(c.add([]string{"a", "b"}), ShouldBeTrue)
		So(c.add([]string{"b", "c"}), ShouldBeTrue)
		So(c.add([]string{"c"}), ShouldBeFalse)
		So(c.list(), ShouldResemble, []string{"c", "b", "a"})
		for i := range maxContacts {
			c.add([]string{string(rune('k' + i))})
		}
		So(len(c.list()), ShouldEqual, maxContacts)
		So(c.list(), ShouldNotContain, "a")
	})
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return lis
}

func serve(t *testing.T, v *VM, lis net.Listener) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- peer.ServeTrusted(ctx, lis, v) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// Guards against two control groups in one tier. A tier starts for the first time and one
// of its three seeds starts late. VMs with different sets of founders would create groups
// of their own, each with its own configuration.
func TestFoundersWaitsForEverySeed(t *testing.T) {
	Convey("Given three seeds of which two have a disk and one is not up yet", t, func() {
		first, second, late := listen(t), listen(t), listen(t)
		seeds := []string{first.Addr().String(), second.Addr().String(), late.Addr().String()}
		v := testVM(t, "first", seeds[0], t.TempDir(), seeds...)
		serve(t, v, first)
		serve(t, testVM(t, "second", seeds[1], "", seeds...), second)
		founders := make(chan []string, 1)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		Reset(cancel)
		go func() { founders <- v.founders(ctx) }()

		Convey("founders returns only after the third has answered, and returns those with a disk", func() {
			select {
			case out := <-founders:
				So(out, ShouldBeEmpty) // any result is too early here
				t.Fatal("founders returned before every seed had answered")
			case <-time.After(300 * time.Millisecond):
			}
			serve(t, testVM(t, "late", seeds[2], t.TempDir(), seeds...), late)
			got := <-founders
			So(got, ShouldHaveLength, 2)
			So(got, ShouldContain, seeds[0])
			So(got, ShouldContain, seeds[2])
		})
	})
}
