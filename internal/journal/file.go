package journal

import (
	"path/filepath"

	"github.com/cockroachdb/errors"
)

const tempSuffix = ".tmp"

// writeFramedFile atomically replaces dir/name by a file with one frame: after a
// crash the file is either the old or the new one.
func writeFramedFile(fs FS, dir, name string, payload []byte) error {
	path := filepath.Join(dir, name)
	temp := path + tempSuffix
	f, err := fs.Create(temp)
	if err != nil {
		return toDiskError(err, path)
	}
	if _, err := f.Write(appendFrame(nil, 1, payload)); err != nil {
		_ = f.Close()
		_ = fs.Remove(temp)
		return toDiskError(err, path)
	}
	if err := errors.CombineErrors(f.Sync(), f.Close()); err != nil {
		return &SyncError{path, err}
	}
	if err := fs.Rename(temp, path); err != nil {
		return toDiskError(err, path)
	}
	if err := fs.SyncDir(dir); err != nil {
		return &SyncError{path, err}
	}
	return nil
}

func toDiskError(err error, path string) error {
	if isNoSpace(err) {
		return ErrFull
	}
	return &SyncError{path, err}
}

// readFramedFile returns the payload of a file that writeFramedFile wrote.
func readFramedFile(fs FS, dir, name string) ([]byte, error) {
	path := filepath.Join(dir, name)
	b, err := fs.ReadFile(path)
	if err != nil {
		return nil, err
	}
	_, payload, size, ok := readFrame(b)
	if !ok || size != len(b) {
		return nil, &CorruptError{path, 0, "length or checksum is wrong"}
	}
	return payload, nil
}
