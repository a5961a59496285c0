// Package faultydisk is a file system that is slow, stands still or is full while a file
// beside the data folder says so. Only a build for tests uses it: nothing outside a process
// can feign such a disk without rights over the machine.
package faultydisk

import (
	"os"
	"strings"
	"syscall"
	"time"

	"pearmoor/internal/journal"
)

// Fault is what is wrong with the disk.
type Fault string

// The faults.
const (
	Well   Fault = ""
	Slow   Fault = "slow"   // each sync takes slowSync
	Stalls Fault = "stalls" // nothing is written or synced until it is over
	Full   Fault = "full"   // every write is refused
)

const (
	slowSync = 150 * time.Millisecond
	pollEach = 5 * time.Millisecond
)

// FS is the machine's file system with the faults that its file states.
type FS struct {
	journal.OS
	file string
}

// New returns the file system of a data folder.
func New(dir string) FS { return FS{file: faultFile(dir)} }

func faultFile(dir string) string { return dir + ".fault" }

// Set states what is wrong with the disk of a data folder from now on.
func Set(dir string, f Fault) error {
	fresh := faultFile(dir) + ".new"
	if err := os.WriteFile(fresh, []byte(f), 0o600); err != nil {
		return err
	}
	return os.Rename(fresh, faultFile(dir))
}

func (fs FS) fault() Fault {
	text, err := os.ReadFile(fs.file)
	if err != nil {
		return Well // nobody has stated one
	}
	return Fault(strings.TrimSpace(string(text)))
}

// wait returns when the disk takes something, or ENOSPC.
func (fs FS) wait() error {
	for fs.fault() == Stalls {
		time.Sleep(pollEach)
	}
	if fs.fault() == Full {
		return syscall.ENOSPC
	}
	return nil
}

func (fs FS) sync() {
	_ = fs.wait() // a full disk still syncs what it holds
	if fs.fault() == Slow {
		time.Sleep(slowSync)
	}
}

// Create implements journal.FS.
func (fs FS) Create(path string) (journal.File, error) {
	if err := fs.wait(); err != nil {
		return nil, err
	}
	f, err := fs.OS.Create(path)
	return file{f, fs}, err
}

// Append implements journal.FS.
func (fs FS) Append(path string, size int64) (journal.File, error) {
	f, err := fs.OS.Append(path, size)
	return file{f, fs}, err
}

// SyncDir implements journal.FS.
func (fs FS) SyncDir(dir string) error {
	fs.sync()
	return fs.OS.SyncDir(dir)
}

// Free implements journal.FS.
func (fs FS) Free(dir string) (uint64, error) {
	if fs.fault() == Full {
		return 0, nil
	}
	return fs.OS.Free(dir)
}

type file struct {
	journal.File
	fs FS
}

// Write implements io.Writer.
func (f file) Write(b []byte) (int, error) {
	if err := f.fs.wait(); err != nil {
		return 0, err
	}
	return f.File.Write(b)
}

// Sync implements journal.File.
func (f file) Sync() error {
	f.fs.sync()
	return f.File.Sync()
}
