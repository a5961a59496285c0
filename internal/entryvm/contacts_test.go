package entryvm

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/vm"
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

func serve(t *testing.T, h drpc.Handler, lis net.Listener) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- peer.ServeTrusted(ctx, lis, h) }()
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
		go func() { founders <- v.founders(ctx, seeds) }()

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

// groupFollower is a daemon with a disk that follows a control group from a time on.
type groupFollower struct {
	group vm.GroupID
	since time.Time
}

// Exchange implements wire.DRPCContactsServer.
func (f groupFollower) Exchange(context.Context, *wire.ContactsRequest) (*wire.ContactsReply, error) {
	if time.Now().Before(f.since) {
		return &wire.ContactsReply{Disk: true}, nil
	}
	return &wire.ContactsReply{Disk: true, Group: f.group.Wire()}, nil
}

// Reach implements wire.DRPCContactsServer.
func (groupFollower) Reach(context.Context, *wire.ReachRequest) (*wire.ReachReply, error) {
	return &wire.ReachReply{}, nil
}

// Guards against a second control group: a VM that is started again with the settings of the
// first start, on an empty disk, founds a group beside the tier's.
func TestFoundersIsEmptyWhereASeedFollowsAGroup(t *testing.T) {
	Convey("Given two seeds with a disk, of which one follows a control group", t, func() {
		first, second := listen(t), listen(t)
		seeds := []string{first.Addr().String(), second.Addr().String()}
		v := testVM(t, "first", seeds[0], t.TempDir(), seeds...)
		serve(t, v, first)
		mux := drpcmux.New()
		So(wire.DRPCRegisterContacts(mux, groupFollower{group: vm.NewGroupID()}), ShouldBeNil)
		serve(t, mux, second)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		Reset(cancel)

		Convey("founders returns none", func() {
			So(v.founders(ctx, seeds), ShouldBeEmpty)
			So(ctx.Err(), ShouldBeNil)
		})
	})
}

// Guards against a VM that waits for a lost seed although the tier has founded its group.
func TestFoundersAsksASeedAgain(t *testing.T) {
	t.Parallel()
	self, first, lost := listen(t), listen(t), listen(t)
	seeds := []string{first.Addr().String(), lost.Addr().String()}
	_ = lost.Close()
	v := testVM(t, "self", self.Addr().String(), t.TempDir(), seeds...)
	serve(t, v, self)
	mux := drpcmux.New()
	if err := wire.DRPCRegisterContacts(mux, groupFollower{vm.NewGroupID(), time.Now().Add(300 * time.Millisecond)}); err != nil {
		t.Fatal(err)
	}
	serve(t, mux, first)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if founders := v.founders(ctx, seeds); len(founders) > 0 || ctx.Err() != nil {
		t.Errorf("founders %v, %v", founders, ctx.Err())
	}
}
