package entryvm

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"pearmoor/internal/journal"
	"pearmoor/internal/relay"
)

const (
	// partGracePeriod is the GracePeriod of the VMs in these tests.
	partGracePeriod = 3 * time.Second
	// unreadyTime is how soon a VM must not be ready after one of its parts has failed.
	unreadyTime = 500 * time.Millisecond
)

// failingDisk is the operating system's file system until fail is set; then syncs fail. A sync
// does not wait for the machine's disk, which other processes may keep busy for seconds.
type failingDisk struct {
	journal.OS
	fail atomic.Bool
}

func (d *failingDisk) Create(path string) (journal.File, error) {
	f, err := d.OS.Create(path)
	return failingFile{f, d}, err
}

func (d *failingDisk) Append(path string, size int64) (journal.File, error) {
	f, err := d.OS.Append(path, size)
	return failingFile{f, d}, err
}

type failingFile struct {
	journal.File
	disk *failingDisk
}

func (f failingFile) Sync() error {
	if f.disk.fail.Load() {
		return unix.EIO
	}
	return nil
}

func (d *failingDisk) SyncDir(string) error { return nil }

// partFailure is the failure of a part of a VM.
type partFailure struct {
	name   string
	pick   func(*crashVM) bool // selects the VM
	unlist time.Duration       // within which no address list may name the VM
	fail   func(*crashTier, *crashVM)
	is     func(error) bool
}

// Guards against a VM of which a part has failed and the rest goes on serving callers with the
// configuration that it had.
func TestVMEndsWhenAPartFails(t *testing.T) {
	t.Parallel()
	for _, c := range []partFailure{
		{"control member", func(v *crashVM) bool { return v.controlNode() != nil && !v.isLeader() }, partGracePeriod / 2, failDisk, isSyncError},
		{"peers", isSmall, partGracePeriod / 2, func(_ *crashTier, v *crashVM) { _ = v.listeners.Peers.Close() }, isClosed},
		{"callers", isSmall, partGracePeriod / 2, func(_ *crashTier, v *crashVM) { _ = v.listeners.Callers.Close() }, isClosed},
		{"relay client", isSmall, partGracePeriod / 2, func(tier *crashTier, v *crashVM) {
			eventually(tier.t, "the VM is a member", v.isMember)
			later := tier.start(v.conf.Name, 0, "", tier.listen())
			eventually(tier.t, "the later run is a member", later.isMember)
		}, func(err error) bool { return errors.HasType(err, (*relay.SupersededError)(nil)) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.check(t)
		})
	}
}

// Guards against a VM that is still handed out to callers when it ends, because the group had to
// elect another leader when its control member failed.
func TestVMIsUnlistedWhenItsLeadingControlMemberFails(t *testing.T) {
	t.Parallel()
	partFailure{"leader", func(v *crashVM) bool { return v.isLeader() }, partGracePeriod / 2, failDisk, isSyncError}.check(t)
}

func (c partFailure) check(t *testing.T) {
	t.Helper()
	tier := startCrashTierWith(t, func(conf *Config) { conf.FS = &failingDisk{} })
	v := tier.vms[slices.IndexFunc(tier.vms, c.pick)]
	v.conf.GracePeriod = partGracePeriod
	v.mayFail = true
	defer v.shutdownServer()
	answered := make(chan int, 1)
	go func() {
		status, _ := tier.ask(v, singlePath+slowSuffix)
		answered <- status
	}()
	time.Sleep(slowTime / 4)
	c.fail(tier, v)
	select {
	case <-v.parts.Failed():
	case <-time.After(partGracePeriod):
		t.Fatal("no part has failed")
	}
	failed := time.Now()
	tier.checkUnready(v)
	if status := <-answered; status != http.StatusOK {
		t.Errorf("a request in flight got status %d, want 200", status)
	}
	tier.checkUnlisted(v, failed.Add(c.unlist))
	select {
	case <-v.ended:
		if !c.is(v.err) {
			t.Errorf("Run returned %v", v.err)
		}
	case <-time.After(time.Until(failed.Add(partGracePeriod))):
		t.Errorf("Run has not returned within the grace period of %v", partGracePeriod)
	}
	if status, _ := tier.ask(v, singlePath+"late"); status != 0 {
		t.Errorf("a request after the grace period got status %d, want none", status)
	}
}

// isMember reports whether the membership that v knows of has this run of v.
func (v *crashVM) isMember() bool {
	ms := v.client.Current().Membership()
	if ms == nil {
		return false
	}
	m, ok := ms.Find(v.conf.Name)
	return ok && m.SameIncarnation(v.client.Self())
}

// shutdownServer closes the callers' server, so that Run returns even where it should have
// returned before.
func (v *crashVM) shutdownServer() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = v.server.Shutdown(ctx)
}

func failDisk(tier *crashTier, v *crashVM) {
	v.conf.FS.(*failingDisk).fail.Store(true)
	tier.put(tier.vms[len(tier.vms)-1], releaseWithAddedRoute())
}

func isSmall(v *crashVM) bool { return v.conf.DataDir == "" }

func isSyncError(err error) bool { return errors.HasType(err, (*journal.SyncError)(nil)) }

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }

func (c *crashTier) checkUnready(v *crashVM) {
	c.t.Helper()
	for end := time.Now().Add(unreadyTime); v.Ready(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Errorf("ready %v after a part has failed", unreadyTime)
			return
		}
	}
}

// checkUnlisted checks that from end at the latest no VM sends callers to v.
func (c *crashTier) checkUnlisted(v *crashVM, end time.Time) {
	c.t.Helper()
	var naming []string
	for ; ; time.Sleep(20 * time.Millisecond) {
		naming = nil
		for _, other := range c.vms {
			addrs, _ := other.Addresses("", v.conf.Region, v.conf.Domain)
			if slices.Contains(addrs, v.conf.CallerAddr) {
				naming = append(naming, other.conf.Name)
			}
		}
		if len(naming) == 0 {
			return
		}
		if time.Now().After(end) {
			c.t.Errorf("the address lists of %v still name the VM", naming)
			return
		}
	}
}
