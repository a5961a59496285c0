package audit

import (
	"os"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"pearmoor/internal/journal"
	"pearmoor/internal/link/wire"
)

const (
	filePrefix   = "audit"
	segmentBytes = 4 << 20 // what a read of one old record costs
	// limitFiles is how many files a bounded trail has at its limit; the oldest one
	// goes as a whole.
	limitFiles = 4
)

// Trail is an append-only list of audit records, ascending by version. Records
// are kept in memory only until the next Flush. Append, Flush and Close are for
// one goroutine; Read and Last may run beside them.
type Trail struct {
	log   *journal.Segments
	limit int64 // bytes; 0: none

	mu       sync.RWMutex
	buffered []*wire.AuditRecord
	last     uint64 // newest version flushed
	files    []file // oldest first, each with the first version in it
}

type file struct {
	number uint64
	first  uint64
}

// Open reads the trail in dir. A nil fs is the machine's own. Above limit bytes the
// oldest records are dropped; 0 keeps them all.
func Open(dir string, fs journal.FS, limit int64) (*Trail, error) {
	if fs == nil {
		fs = journal.OS{}
	}
	t := &Trail{limit: limit}
	var err error
	t.log, err = journal.OpenSegments(fs, dir, filePrefix, func(number uint64, payload []byte) error {
		records, err := decode(payload)
		if err == nil {
			t.note(number, records)
		}
		return err
	})
	if err != nil {
		return nil, err
	}
	return t, nil
}

func decode(payload []byte) ([]*wire.AuditRecord, error) {
	var b wire.TrailBatch
	err := proto.Unmarshal(payload, &b)
	return b.Records, err
}

func (t *Trail) note(number uint64, records []*wire.AuditRecord) {
	if len(records) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := len(t.files); n == 0 || t.files[n-1].number != number {
		t.files = append(t.files, file{number, records[0].Version})
	}
	t.last = records[len(records)-1].Version
}

// Last returns the newest version written or waiting to be; 0 if none.
func (t *Trail) Last() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.newest()
}

func (t *Trail) newest() uint64 {
	if n := len(t.buffered); n > 0 {
		return t.buffered[n-1].Version
	}
	return t.last
}

// Append adds a record, unless one of its version is there already.
func (t *Trail) Append(r *wire.AuditRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Version > t.newest() {
		t.buffered = append(t.buffered, r)
	}
}

// Skip gives up the versions up to that one, which nobody holds any more. It is
// not written: after a restart they are missing again until they are skipped.
func (t *Trail) Skip(version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version > t.newest() && len(t.buffered) == 0 {
		t.last = version
	}
}

// Flush makes the appended records durable. After journal.ErrFull it may be
// called again; any other error ends the process.
func (t *Trail) Flush() error {
	t.mu.RLock()
	records := t.buffered
	t.mu.RUnlock()
	if len(records) == 0 {
		return nil
	}
	if _, size := t.log.Current(); size >= t.fileBytes() {
		if err := t.log.Rotate(); err != nil {
			return err
		}
	}
	payload, err := proto.Marshal(&wire.TrailBatch{Records: records})
	if err != nil {
		return err
	}
	if err := t.log.Append(payload); err != nil {
		return err
	}
	number, _ := t.log.Current()
	t.note(number, records)
	t.mu.Lock()
	t.buffered = nil
	t.mu.Unlock()
	return t.trim()
}

func (t *Trail) fileBytes() int64 {
	if t.limit <= 0 {
		return segmentBytes
	}
	return min(segmentBytes, max(t.limit/limitFiles, 1))
}

// trim drops the oldest files above the limit. Without it a trail on a disk of 64 MB
// fills it after some 300,000 changes of 200 bytes, and then no change is taken any more.
func (t *Trail) trim() error {
	for t.limit > 0 && t.log.Size() > t.limit {
		t.mu.Lock()
		if len(t.files) < 2 {
			t.mu.Unlock()
			return nil
		}
		next := t.files[1]
		t.files = t.files[1:]
		t.mu.Unlock()
		if err := t.log.RemoveBefore(next.number); err != nil {
			return err
		}
		klog.Infof("audit: records before version %d dropped, limit=%d bytes", next.first, t.limit)
	}
	return nil
}

// Read returns up to limit flushed records from version from on, ascending.
// Versions that this disk never held are left out.
func (t *Trail) Read(from uint64, limit int) ([]*wire.AuditRecord, error) {
	var out []*wire.AuditRecord
	for _, f := range t.filesFrom(from) {
		err := t.log.ReadSegment(f.number, func(_ uint64, payload []byte) error {
			records, err := decode(payload)
			if err != nil {
				return err
			}
			for _, r := range records {
				if r.Version >= from && len(out) < limit {
					out = append(out, r)
				}
			}
			return nil
		})
		if errors.Is(err, os.ErrNotExist) {
			continue // dropped in between, as the oldest of a bounded trail
		}
		if err != nil || len(out) >= limit {
			return out, err
		}
	}
	return out, nil
}

// filesFrom returns the files that may hold versions at or above from.
func (t *Trail) filesFrom(from uint64) []file {
	t.mu.RLock()
	defer t.mu.RUnlock()
	i := len(t.files) - 1
	for i > 0 && t.files[i].first > from {
		i--
	}
	return append([]file(nil), t.files[max(i, 0):]...)
}

// Close flushes and closes the trail.
func (t *Trail) Close() error {
	err := t.Flush()
	if cerr := t.log.Close(); err == nil {
		err = cerr
	}
	return err
}
