package journal

import (
	"fmt"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

// Segments is an append-only log of frames in several files. Only ReadSegment is safe
// for concurrent use.
type Segments struct {
	fs       FS
	dir      string
	prefix   string
	segments []segment // oldest first
	file     File      // the newest segment, open for appending; nil until there is one
	lastSeq  uint64    // sequence number of the last frame
	failed   error     // first write or sync failure; every later write returns it
}

type segment struct {
	number uint64
	size   int64
}

// VisitFunc is called for each frame that OpenSegments or ReadSegment reads, oldest
// first.
type VisitFunc func(segment uint64, payload []byte) error

// OpenSegments reads the files in dir whose names start with prefix, truncates a
// damaged tail, and opens the last file for appending.
func OpenSegments(fs FS, dir, prefix string, visit VisitFunc) (*Segments, error) {
	s := &Segments{fs: fs, dir: dir, prefix: prefix}
	names, err := fs.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	for _, name := range names { // ReadDir sorts by name, and numbers have a fixed width
		if n, ok := s.parseName(name); ok {
			s.segments = append(s.segments, segment{number: n})
		}
	}
	for i := range s.segments {
		if err := s.loadSegment(i, visit); err != nil {
			return nil, err
		}
	}
	if len(s.segments) == 0 {
		return s, nil
	}
	return s, s.openLast()
}

func (s *Segments) fileName(number uint64) string { return fmt.Sprintf("%s-%016x", s.prefix, number) }

func (s *Segments) path(number uint64) string { return filepath.Join(s.dir, s.fileName(number)) }

func (s *Segments) parseName(name string) (number uint64, ok bool) {
	hex, found := strings.CutPrefix(name, s.prefix+"-")
	if !found || len(hex) != 16 {
		return 0, false
	}
	_, err := fmt.Sscanf(hex, "%016x", &number)
	return number, err == nil
}

// loadSegment reads segment i. In the last segment, a damaged tail is the remainder of
// a frame that was not synced before a crash. It was never acknowledged, and
// openLast truncates it. A valid frame after the damage proves that the damaged frame
// had been synced.
func (s *Segments) loadSegment(i int, visit VisitFunc) error {
	seg := &s.segments[i]
	path := s.path(seg.number)
	b, err := s.fs.ReadFile(path)
	if err != nil {
		return err
	}
	off := 0
	for off < len(b) {
		seq, payload, size, ok := readFrame(b[off:])
		if ok && s.lastSeq != 0 && seq != s.lastSeq+1 {
			return &CorruptError{path, int64(off), fmt.Sprintf("frame %d follows frame %d", seq, s.lastSeq)}
		}
		if !ok {
			if i < len(s.segments)-1 {
				return &CorruptError{path, int64(off), "a later file exists, so this frame had been synced"}
			}
			if at, found := findFrameAfter(b[off:], s.lastSeq); found {
				return &CorruptError{path, int64(off), fmt.Sprintf("a valid frame follows at offset %d, so this one had been synced", off+at)}
			}
			break
		}
		if err := visit(seg.number, payload); err != nil {
			return errors.Wrapf(err, "journal: %s, offset %d", path, off)
		}
		s.lastSeq = seq
		off += size
	}
	seg.size = int64(off)
	return nil
}

func (s *Segments) openLast() error {
	last := s.segments[len(s.segments)-1]
	path := s.path(last.number)
	f, err := s.fs.Append(path, last.size)
	if err != nil {
		return err
	}
	s.file = f
	if err := f.Sync(); err != nil { // makes the truncation durable
		return &SyncError{path, err}
	}
	return nil
}

// Append writes one frame and syncs it.
func (s *Segments) Append(payload []byte) error {
	if s.failed != nil {
		return s.failed
	}
	if len(payload) > maxFrameSize {
		return errors.Newf("journal: frame of %d bytes is larger than %d", len(payload), maxFrameSize)
	}
	if s.file == nil {
		if err := s.Rotate(); err != nil {
			return err
		}
	}
	cur := &s.segments[len(s.segments)-1]
	frame := appendFrame(nil, s.lastSeq+1, payload)
	if _, err := s.file.Write(frame); err != nil {
		return s.rollBackWrite(cur, err)
	}
	if err := s.file.Sync(); err != nil {
		return s.setFailed(cur.number, err)
	}
	cur.size += int64(len(frame))
	s.lastSeq++
	return nil
}

// rollBackWrite handles a failed write. If the disk is full, it truncates the file to
// its size before the write, which was not synced. Other errors are permanent.
func (s *Segments) rollBackWrite(cur *segment, cause error) error {
	if !isNoSpace(cause) {
		return s.setFailed(cur.number, cause)
	}
	if err := s.file.Truncate(cur.size); err != nil {
		return s.setFailed(cur.number, err)
	}
	return ErrFull
}

func (s *Segments) setFailed(number uint64, cause error) error {
	s.failed = &SyncError{s.path(number), cause}
	return s.failed
}

// Rotate starts a new file. Existing files are not changed.
func (s *Segments) Rotate() error {
	if s.failed != nil {
		return s.failed
	}
	number := uint64(1)
	if n := len(s.segments); n > 0 {
		number = s.segments[n-1].number + 1
	}
	f, err := s.fs.Create(s.path(number))
	if err != nil {
		if isNoSpace(err) {
			return ErrFull
		}
		return s.setFailed(number, err)
	}
	if err := s.fs.SyncDir(s.dir); err != nil {
		return s.setFailed(number, err)
	}
	if s.file != nil {
		if err := s.file.Close(); err != nil {
			return s.setFailed(number-1, err)
		}
	}
	s.file = f
	s.segments = append(s.segments, segment{number: number})
	return nil
}

// RemoveBefore deletes the files with a smaller number, except the newest file.
func (s *Segments) RemoveBefore(number uint64) error {
	for len(s.segments) > 1 && s.segments[0].number < number {
		if err := s.fs.Remove(s.path(s.segments[0].number)); err != nil {
			return err
		}
		s.segments = s.segments[1:]
	}
	return nil
}

// Current returns the number and the size in bytes of the newest file, or zeros if
// there is none.
func (s *Segments) Current() (number uint64, size int64) {
	if len(s.segments) == 0 {
		return 0, 0
	}
	last := s.segments[len(s.segments)-1]
	return last.number, last.size
}

// Size returns the total size of all files in bytes.
func (s *Segments) Size() int64 {
	var sum int64
	for _, seg := range s.segments {
		sum += seg.size
	}
	return sum
}

// ReadSegment visits the complete frames of a file. It may run concurrently with
// Append; a frame that is not completely written is skipped.
func (s *Segments) ReadSegment(number uint64, visit VisitFunc) error {
	b, err := s.fs.ReadFile(s.path(number))
	if err != nil {
		return err
	}
	for len(b) > 0 {
		_, payload, size, ok := readFrame(b)
		if !ok {
			return nil
		}
		if err := visit(number, payload); err != nil {
			return err
		}
		b = b[size:]
	}
	return nil
}

// Close closes the newest file.
func (s *Segments) Close() error {
	if s.file == nil {
		return nil
	}
	f := s.file
	s.file = nil
	return f.Close()
}
