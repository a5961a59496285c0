package control

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/journal"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/route"
	"pearmoor/internal/vm"
)

// loadFolder returns the files of a data folder in testdata.
func loadFolder(t *testing.T, name string) *memFS {
	t.Helper()
	dir := filepath.Join("testdata", name)
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	fs := newMemFS()
	for _, e := range entries {
		if fs.files[filepath.Join(simDataDir, e.Name())], err = os.ReadFile(filepath.Join(dir, e.Name())); err != nil {
			t.Fatal(err)
		}
	}
	return fs
}

// runSimulation calls f in virtual time and stops all VMs.
func runSimulation(t *testing.T, f func(t *testing.T, s *simulation)) {
	t.Helper()
	captureLogs(t)
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(1)
		defer s.stop()
		f(t, s)
	})
}

// release returns the release that a leader has.
func (s *simulation) release(t *testing.T) *route.Release {
	t.Helper()
	n := s.leader()
	if n == nil {
		t.Fatal("no VM leads")
	}
	tree, _, err := n.treeAt(0)
	if err == nil {
		err = n.confirmLeadership()
	}
	if err != nil {
		t.Fatal(err)
	}
	r, err := route.FromTree(tree)
	if err != nil || r == nil {
		t.Fatalf("release of the leader: %v, %v", r, err)
	}
	return r
}

func (s *simulation) identity(t *testing.T, addr string) *wire.DiskIdentity {
	t.Helper()
	id, err := journal.ReadIdentity(s.vms[addr].fs, simDataDir)
	if err != nil || id == nil {
		t.Fatalf("identity of %s: %v, %v", addr, id, err)
	}
	return id
}

// VMs restarted one after another would lose the group's data or name it differently.
func TestUpgradeGivesGroupOneIdentity(t *testing.T) {
	for _, count := range []int{3, 4} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			runSimulation(t, func(t *testing.T, s *simulation) {
				before := make(map[string]*wire.DiskIdentity)
				for i := range count {
					addr := simAddr(i + 1)
					s.addVM(addr, nil)
					s.vms[addr].firstStart = false
					s.vms[addr].fs = loadFolder(t, fmt.Sprintf("group-of-%d-without-identity/%d", count, i+1))
					if before[addr] = s.identity(t, addr); len(before[addr].Group) > 0 {
						t.Fatalf("%s has group=%x", addr, before[addr].Group)
					}
				}
				for _, addr := range s.addrs() {
					s.startVM(addr)
					time.Sleep(simRemoveSilentAfter / 4)
				}
				time.Sleep(10 * time.Second)
				if r := s.release(t); r.Number != 7 {
					t.Errorf("the group has release %d", r.Number)
				}
				group := s.leader().GroupID()
				if len(group) != vm.GroupIDSize {
					t.Fatalf("the leader is of group=%s", group)
				}
				for round := range 2 {
					for _, addr := range s.addrs() {
						id := s.identity(t, addr)
						if vm.GroupID(id.Group) != group || id.Id != before[addr].Id || id.Disk != before[addr].Disk {
							t.Errorf("round %d: identity of %s is %v, before %v; group=%s", round, addr, id, before[addr], group)
						}
						if n := s.vms[addr].process.member.Node(); n == nil || n.GroupID() != group {
							t.Errorf("round %d: %s does not run as a member of group=%s", round, addr, group)
						}
					}
					for _, addr := range s.addrs() {
						s.killVM(addr)
						time.Sleep(simRemoveSilentAfter / 4)
						s.startVM(addr)
						time.Sleep(5 * time.Second)
					}
					body, err := json.Marshal(testRelease(uint64(10+round), time.Second))
					if err != nil {
						t.Fatal(err)
					}
					reply, err := (&operatorServer{s.leader()}).PutRelease(context.Background(), &wire.ReleaseRequest{Release: body, Group: group.Wire()})
					if err != nil || !reply.Changed {
						t.Errorf("release %d: %v, %v", 10+round, reply, err)
					}
					if r := s.release(t); r.Number != uint64(10+round) {
						t.Errorf("the group has release %d", r.Number)
					}
				}
			})
		})
	}
}

// foundedDisks returns the disks of a group of three that has release 5.
func foundedDisks(t *testing.T) (disks map[string]*memFS) {
	t.Helper()
	runSimulation(t, func(t *testing.T, s *simulation) {
		s.startFounders(t, 3)
		disks = make(map[string]*memFS)
		for _, addr := range s.addrs() {
			s.killVM(addr)
			disks[addr] = s.vms[addr].fs
		}
	})
	return disks
}

// startFounders starts the VMs of a new group and puts release 5.
func (s *simulation) startFounders(t *testing.T, count int) {
	t.Helper()
	var all []string
	for i := range count {
		all = append(all, simAddr(i+1))
	}
	for _, addr := range all {
		s.addVM(addr, all)
	}
	for _, addr := range all {
		s.startVM(addr)
	}
	time.Sleep(10 * time.Second)
	body, err := json.Marshal(testRelease(5, time.Second))
	if err != nil {
		t.Fatal(err)
	}
	reply, err := (&operatorServer{s.leader()}).PutRelease(context.Background(), &wire.ReleaseRequest{Release: body})
	if err != nil || !reply.Changed {
		t.Fatalf("release 5: %v, %v", reply, err)
	}
	time.Sleep(time.Second)
}

// startOnDisk starts a VM of a group whose disk has been changed by f, and returns the error
// that ended it, if any. The other VMs of the group run.
func startOnDisk(t *testing.T, f func(fs *memFS), check func(t *testing.T, s *simulation, addr string, before *memFS)) (err error) {
	t.Helper()
	disks := foundedDisks(t)
	addr := simAddr(2)
	f(disks[addr])
	before := disks[addr].fork()
	runSimulation(t, func(t *testing.T, s *simulation) {
		for a, fs := range disks {
			s.addVM(a, []string{a})
			s.vms[a].fs, s.vms[a].firstStart = fs, true
		}
		for _, a := range s.addrs() {
			s.startVM(a)
		}
		time.Sleep(20 * time.Second)
		if r := s.release(t); r.Number != 5 {
			t.Errorf("the group has release %d", r.Number)
		}
		check(t, s, addr, before)
		s.mu.Lock()
		defer s.mu.Unlock()
		err = errors.Join(s.err...)
	})
	return err
}

func requireUnchanged(t *testing.T, s *simulation, addr string, before *memFS) {
	t.Helper()
	if after := s.vms[addr].fs.fork(); !reflect.DeepEqual(before.files, after.files) {
		t.Errorf("the data folder of %s was changed", addr)
	}
}

func requireError(t *testing.T, err error, parts ...string) {
	t.Helper()
	for _, part := range parts {
		if err == nil || !strings.Contains(err.Error(), part) {
			t.Errorf("error %v does not name %q", err, part)
		}
	}
}

// A disk whose log was written in another group would vote with that group's log.
func TestDiskOfAnotherGroupThanItsLogIsRefused(t *testing.T) {
	other := vm.NewGroupID()
	err := startOnDisk(t, func(fs *memFS) {
		id, err := journal.ReadIdentity(fs, simDataDir)
		if err != nil {
			t.Fatal(err)
		}
		id.Group = other.Wire()
		if err := journal.WriteIdentity(fs, simDataDir, id); err != nil {
			t.Fatal(err)
		}
	}, requireUnchanged)
	requireError(t, err, "group", other.String())
}

// A VM with a damaged identity would take another member ID and forget its votes.
func TestDamagedIdentityIsRefused(t *testing.T) {
	path := filepath.Join(simDataDir, journal.IdentityFile)
	for name, damage := range map[string]func(b []byte) []byte{
		"flipped bit": func(b []byte) []byte { b[len(b)-1] ^= 1; return b },
		"cut short":   func(b []byte) []byte { return b[:len(b)/2] },
		"empty":       func([]byte) []byte { return nil },
	} {
		t.Run(name, func(t *testing.T) {
			err := startOnDisk(t, func(fs *memFS) { fs.files[path] = damage(fs.files[path]) }, requireUnchanged)
			requireError(t, err, path)
		})
	}
}

// The VM would found a second group or clear its disk.
func TestFirstStartOnDiskWithGroupKeepsIt(t *testing.T) {
	err := startOnDisk(t, func(*memFS) {}, func(t *testing.T, s *simulation, addr string, before *memFS) {
		group := s.leader().GroupID()
		for _, a := range s.addrs() {
			if n := s.vms[a].process.member.Node(); n == nil || n.GroupID() != group || n.cfg.ID > 3 {
				t.Errorf("the VM at %s runs %v, not a member of group=%s", a, n, group)
			}
		}
	})
	if err != nil {
		t.Error(err)
	}
}

// The VM would found a second group.
func TestFirstStartWithoutLogJoinsTheGroupOfTheDisk(t *testing.T) {
	var group vm.GroupID
	err := startOnDisk(t, func(fs *memFS) {
		id, err := journal.ReadIdentity(fs, simDataDir)
		if err != nil {
			t.Fatal(err)
		}
		group = vm.GroupID(id.Group)
		for name := range fs.files {
			if filepath.Base(name) != journal.IdentityFile {
				delete(fs.files, name)
			}
		}
		if err := journal.WriteIdentity(fs, simDataDir, &wire.DiskIdentity{Group: id.Group}); err != nil {
			t.Fatal(err)
		}
	}, func(t *testing.T, s *simulation, addr string, _ *memFS) {
		if n := s.vms[addr].process.member.Node(); n != nil {
			t.Errorf("without contacts the VM runs as member %d of group=%s", n.cfg.ID, n.GroupID())
		}
		s.setSeeds(addr, []string{simAddr(1)})
		time.Sleep(10 * time.Second)
		if n := s.vms[addr].process.member.Node(); n == nil || n.GroupID() != group || n.cfg.ID <= 3 {
			t.Errorf("the VM has not joined its group: %v", n)
		}
	})
	if err != nil {
		t.Error(err)
	}
}
