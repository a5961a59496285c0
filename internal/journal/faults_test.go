package journal

import (
	"errors"
	"io"

	"golang.org/x/sys/unix"
)

var errInjected = errors.New("injected")

// faultFS makes the at-th modifying operation fail, counted from 1.
type faultFS struct {
	OS
	at    int
	ops   int
	fault func(op string) error // what the operation returns
	crash bool                  // every later operation fails too, as after a power cut
}

// next counts one operation and returns its error.
func (f *faultFS) next(op string) error {
	f.ops++
	if f.ops == f.at || f.crash && f.at > 0 && f.ops > f.at {
		return f.fault(op)
	}
	return nil
}

func (f *faultFS) Create(path string) (File, error) {
	if err := f.next("create"); err != nil {
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
	if err := f.next("rename"); err != nil {
		return err
	}
	return f.OS.Rename(from, to)
}

func (f *faultFS) Remove(path string) error {
	if err := f.next("remove"); err != nil {
		return err
	}
	return f.OS.Remove(path)
}

func (f *faultFS) SyncDir(dir string) error {
	if err := f.next("syncdir"); err != nil {
		return err
	}
	return f.OS.SyncDir(dir)
}

func (f *faultFS) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

type faultFile struct {
	File
	fs *faultFS
}

// Write leaves half of the bytes behind when it fails, as a full disk does.
func (f *faultFile) Write(b []byte) (int, error) {
	if err := f.fs.next("write"); err != nil {
		n, _ := f.File.Write(b[:len(b)/2])
		return n, err
	}
	return f.File.Write(b)
}

func (f *faultFile) Sync() error {
	if err := f.fs.next("sync"); err != nil {
		return err
	}
	return f.File.Sync()
}

func alwaysInjected(string) error { return errInjected }

// diskFull fails what needs room; a sync or a remove does not.
func diskFull(op string) error {
	if op == "write" || op == "create" {
		return unix.ENOSPC
	}
	return nil
}
