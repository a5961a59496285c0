package entryvm

import (
	"testing"
	"time"

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
