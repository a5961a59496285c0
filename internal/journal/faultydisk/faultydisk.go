// Package faultydisk implements a journal.FS that injects disk faults: slow syncs, stalled
// writes, or a full disk. The fault is read from a file next to the data folder. Only test
// builds use it, because simulating such a disk from outside the process needs privileges on
// the machine.
package faultydisk

import (
	"os"
	"strings"
	"syscall"
	"time"

	"pearmoor/internal/journal"
)

// Fault is a simulated disk fault.
type Fault string

// The faults.
const (
	None    Fault = ""
	Slow    Fault = "slow"   // each sync is delayed by slowSyncDelay
	Stalled Fault = "stalls" // writes and syncs block until the fault is changed
	Full    Fault = "full"   // writes fail with ENOSPC
)

const (
	slowSyncDelay = 150 * time.Millisecond
	pollInterval  = 5 * time.Millisecond
)

// FS is the operating system's file system with the fault stated in the file at
// faultPath.
type FS struct {
	journal.OS
	faultPath string
}

// New returns the file system for the data folder dir.
func New(dir string) FS { return FS{faultPath: faultPath(dir)} }

func faultPath(dir string) string { return dir + ".fault" }

// Set replaces the current fault of the data folder dir.
func Set(dir string, f Fault) error {
	temp := faultPath(dir) + ".new"
	if err := os.WriteFile(temp, []byte(f), 0o600); err != nil {
		return err
	}
	return os.Rename(temp, faultPath(dir))
}

func (fs FS) currentFault() Fault {
	text, err := os.ReadFile(fs.faultPath)
	if err != nil {
		return None // no fault was set
	}
	return Fault(strings.TrimSpace(string(text)))
}

// waitWritable blocks while the disk is stalled. It returns ENOSPC if the disk is full.
func (fs FS) waitWritable() error {
	for fs.currentFault() == Stalled {
		time.Sleep(pollInterval)
	}
	if fs.currentFault() == Full {
		return syscall.ENOSPC
	}
	return nil
}

func (fs FS) sync() {
	_ = fs.waitWritable() // a full disk can still sync
	if fs.currentFault() == Slow {
		time.Sleep(slowSyncDelay)
	}
}

// Create implements journal.FS.
func (fs FS) Create(path string) (journal.File, error) {
	if err := fs.waitWritable(); err != nil {
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
	if fs.currentFault() == Full {
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
	if err := f.fs.waitWritable(); err != nil {
		return 0, err
	}
	return f.File.Write(b)
}

// Sync implements journal.File.
func (f file) Sync() error {
	f.fs.sync()
	return f.File.Sync()
}
