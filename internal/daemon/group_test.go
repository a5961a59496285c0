package daemon

import (
	"strings"
	"testing"
	"time"

	"pearmoor/internal/journal"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/vm"
)

// Guards against a daemon that serves by the settings of another group than its control VM's.
func TestDaemonFollowsOnlyTheGroupOfItsDisk(t *testing.T) {
	t.Parallel()
	conf := validConfig()
	conf.Name, conf.ServeCallers, conf.ControlID, conf.Bootstrap, conf.DataDir = "control-1", false, 1, true, t.TempDir()
	other, _ := startDaemon(t, conf)
	group := vm.NewGroupID()
	conf = validConfig()
	conf.Name, conf.ControlID, conf.DataDir = "entry-2", 2, t.TempDir()
	writeIdentity(t, conf.DataDir, &wire.DiskIdentity{Disk: 7, Id: 2, Name: "entry-2", Group: group.Wire()})
	conf.ControlAddrs = []string{other.self.PeerAddr}
	d, _ := startDaemon(t, conf)
	waitFor(t, "the other group leads", other.control.IsLeader)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if got := d.client.Current().Group; got != group {
			t.Fatalf("the disk is of group=%s, the daemon follows group=%s", group, got)
		}
	}
}

// Guards against a second group that is founded on the disk of an existing one.
func TestBootstrapOnTheDiskOfAGroupIsRefused(t *testing.T) {
	t.Parallel()
	group := vm.NewGroupID()
	conf := validConfig()
	conf.Name, conf.ServeCallers, conf.ControlID, conf.Bootstrap, conf.DataDir = "control-1", false, 1, true, t.TempDir()
	writeIdentity(t, conf.DataDir, &wire.DiskIdentity{Disk: 7, Id: 1, Name: "control-1", Group: group.Wire()})
	if _, err := New(conf); err == nil || !strings.Contains(err.Error(), group.String()) {
		t.Errorf("got error %v, want one that names group %s", err, group)
	}
	id, err := journal.ReadIdentity(journal.OS{}, conf.DataDir)
	if err != nil || vm.GroupID(id.GetGroup()) != group {
		t.Errorf("the identity is %v, %v", id, err)
	}
}

func writeIdentity(t *testing.T, dir string, id *wire.DiskIdentity) {
	t.Helper()
	if err := journal.WriteIdentity(journal.OS{}, dir, id); err != nil {
		t.Fatal(err)
	}
}
