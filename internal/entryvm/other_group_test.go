package entryvm

import (
	"context"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"

	"pearmoor/internal/journal"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/vm"
)

// The VM would serve callers with another group's configuration and announce it as its own.
func TestDaemonFollowsNoGroupButThatOfItsDisk(t *testing.T) {
	t.Parallel()
	founderLis, memberLis, disklessLis := listen(t), listen(t), listen(t)
	seed := founderLis.Addr().String()
	runVM(t, "founder", seed, t.TempDir(), founderLis, seed)
	dir, group := t.TempDir(), vm.NewGroupID()
	if err := journal.WriteIdentity(journal.OS{}, dir, &wire.DiskIdentity{Name: "member", Group: group.Wire()}); err != nil {
		t.Fatal(err)
	}
	member := runVM(t, "member", memberLis.Addr().String(), dir, memberLis, seed)
	diskless := runVM(t, "diskless", disklessLis.Addr().String(), "", disklessLis, seed)
	for end := time.Now().Add(20 * time.Second); diskless.group() == "" && time.Now().Before(end); {
		time.Sleep(50 * time.Millisecond)
	}
	other := diskless.group()
	if other == "" || other == group {
		t.Fatalf("the daemon without a disk follows group=%s", other)
	}
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if got := member.group(); got.Excludes(group) {
			t.Fatalf("the disk is of group=%s, the daemon follows group=%s", group, got)
		}
	}
}

// controlLeader is a leader of a group that records the group named by a release.
type controlLeader struct {
	wire.DRPCControlUnimplementedServer
	group    vm.GroupID
	received chan vm.GroupID
}

// Newest implements wire.DRPCControlServer.
func (c *controlLeader) Newest(context.Context, *wire.NewestRequest) (*wire.NewestReply, error) {
	return &wire.NewestReply{Group: c.group.Wire()}, nil
}

// PutRelease implements wire.DRPCControlServer.
func (c *controlLeader) PutRelease(_ context.Context, req *wire.ReleaseRequest) (*wire.ReleaseReply, error) {
	c.received <- vm.GroupID(req.Group)
	return &wire.ReleaseReply{Held: 1, Changed: true}, nil
}

// Guards against a release that is compared with one group's newest and accepted by another's leader.
func TestReleaseNamesTheGroupOfTheNewest(t *testing.T) {
	t.Parallel()
	lis := listen(t)
	leader := &controlLeader{group: vm.NewGroupID(), received: make(chan vm.GroupID, 1)}
	mux := drpcmux.New()
	if err := wire.DRPCRegisterControl(mux, leader); err != nil {
		t.Fatal(err)
	}
	serve(t, mux, lis)
	v := testVM(t, "entry", "127.0.0.1:1", "", lis.Addr().String())
	if _, _, err := v.putToLeader(t.Context(), 1, nil); err != nil {
		t.Fatal(err)
	}
	if got := <-leader.received; got != leader.group {
		t.Errorf("the release names group=%s, the leader is of group=%s", got, leader.group)
	}
}
