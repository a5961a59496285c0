package journal

import (
	"errors"
	"io"

	"golang.org/x/sys/unix"
)

var errInjected = errors.New("injected")

// faultFS calls opError for the failAt-th modifying operation, counted from 1, and fails
// the operation if it returns an error.
type faultFS struct {
	OS
	failAt       int
	ops          int
	opError      func(op string) error // returns the error for an operation, or nil
	failAllLater bool                  // later operations call opError too, as after a power failure
}

// countOp counts an operation and returns its injected error.
func (f *faultFS) countOp(op string) error {
	f.ops++
	if f.ops == f.failAt || f.failAllLater && f.failAt > 0 && f.ops > f.failAt {
		return f.opError(op)
	}
	return nil
}

func (f *faultFS) Create(path string) (File, error) {
	if err := f.countOp("create"); err != nil {
		return nil, err
	}
	file, err := f.OS.Create(path)
	return &faultFile{file, f}, err
}

func (f *faultFS) Append(path string, size int64) (File, error) {
	file, err := f.OS.Append(path, size)
	return &faultFile{file, f}, err
}

func (f *faultFS) Rename(from, to string) error {
	if err := f.countOp("rename"); err != nil {
		return err
	}
	return f.OS.Rename(from, to)
}

func (f *faultFS) Remove(path string) error {
	if err := f.countOp("remove"); err != nil {
		return err
	}
	return f.OS.Remove(path)
}

func (f *faultFS) SyncDir(dir string) error {
	if err := f.countOp("syncdir"); err != nil {
		return err
	}
	return f.OS.SyncDir(dir)
}

func (f *faultFS) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

type faultFile struct {
	File
	fs *faultFS
}

// Write writes only half of the bytes when it fails, as on a full disk.
func (f *faultFile) Write(b []byte) (int, error) {
	if err := f.fs.countOp("write"); err != nil {
		n, _ := f.File.Write(b[:len(b)/2])
		return n, err
	}
	return f.File.Write(b)
}

func (f *faultFile) Sync() error {
	if err := f.fs.countOp("sync"); err != nil {
		return err
	}
	return f.File.Sync()
}

func failAnyOp(string) error { return errInjected }

// failForSpace fails the operations that need disk space: write and create.
func failForSpace(op string) error {
	if op == "write" || op == "create" {
		return unix.ENOSPC
	}
	return nil
}
