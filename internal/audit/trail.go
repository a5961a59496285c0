package audit

import (
	"os"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"pearmoor/internal/journal"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/settings"
)

const (
	filePrefix   = "audit"
	segmentBytes = 4 << 20 // a read of one record reads a whole segment
	// filesAtLimit is the number of segment files of a trail that has reached its size
	// limit. The oldest one is removed as a whole.
	filesAtLimit = 4
)

// Trail is an append-only list of audit records in ascending order of version. Appended
// records are buffered in memory until the next Flush. Append, Flush and Close must be
// called from one goroutine; Read and Last may be called concurrently.
type Trail struct {
	log   *journal.Segments
	limit int64 // maximum size in bytes; 0: unlimited

	mu          sync.RWMutex
	buffered    []*wire.AuditRecord
	lastFlushed uint64    // newest flushed version
	segments    []segment // oldest first
}

// segment is a segment file and the first version in it.
type segment struct {
	number       uint64
	firstVersion uint64
}

// Open opens the trail in dir. A nil fs means the file system of the operating system.
// When the trail exceeds limit bytes, its oldest records are dropped; 0 keeps them all.
func Open(dir string, fs journal.FS, limit int64) (*Trail, error) {
	if fs == nil {
		fs = journal.OS{}
	}
	t := &Trail{limit: limit}
	var err error
	t.log, err = journal.OpenSegments(fs, dir, filePrefix, func(number uint64, payload []byte) error {
		records, err := decode(payload)
		if err == nil {
			t.recordFlushed(number, records)
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

// recordFlushed updates the list of segments and the newest version after records were
// written to, or read from, the segment with that number.
func (t *Trail) recordFlushed(number uint64, records []*wire.AuditRecord) {
	if len(records) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := len(t.segments); n == 0 || t.segments[n-1].number != number {
		t.segments = append(t.segments, segment{number, records[0].Version})
	}
	t.lastFlushed = records[len(records)-1].Version
}

// Last returns the newest version, flushed or buffered; 0 if there is none.
func (t *Trail) Last() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.newestVersion()
}

// newestVersion is Last for a caller that holds t.mu.
func (t *Trail) newestVersion() uint64 {
	if n := len(t.buffered); n > 0 {
		return t.buffered[n-1].Version
	}
	return t.lastFlushed
}

// Append buffers a record, with fingerprints in place of secret values. It ignores a record
// whose version is not newer than Last.
func (t *Trail) Append(r *wire.AuditRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Version > t.newestVersion() {
		t.buffered = append(t.buffered, settings.RedactRecord(r))
	}
}

// SkipTo marks the versions up to and including version as lost, because no control VM
// has them any more. The mark is not stored and must be set again after a restart.
func (t *Trail) SkipTo(version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version > t.newestVersion() && len(t.buffered) == 0 {
		t.lastFlushed = version
	}
}

// Flush makes the appended records durable. It may be retried after journal.ErrFull; any
// other error is fatal for the process.
func (t *Trail) Flush() error {
	t.mu.RLock()
	records := t.buffered
	t.mu.RUnlock()
	if len(records) == 0 {
		return nil
	}
	if _, size := t.log.Current(); size >= t.maxSegmentBytes() {
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
	t.recordFlushed(number, records)
	t.mu.Lock()
	t.buffered = nil
	t.mu.Unlock()
	return t.dropOldest()
}

func (t *Trail) maxSegmentBytes() int64 {
	if t.limit <= 0 {
		return segmentBytes
	}
	return min(segmentBytes, max(t.limit/filesAtLimit, 1))
}

// dropOldest removes the oldest segments while the trail exceeds its limit. An unlimited
// trail fills a disk of 64 MB after about 300,000 changes of 200 bytes, and then no
// further change is accepted.
func (t *Trail) dropOldest() error {
	for t.limit > 0 && t.log.Size() > t.limit {
		t.mu.Lock()
		if len(t.segments) < 2 {
			t.mu.Unlock()
			return nil
		}
		next := t.segments[1]
		t.segments = t.segments[1:]
		t.mu.Unlock()
		if err := t.log.RemoveBefore(next.number); err != nil {
			return err
		}
		klog.Infof("audit: records before version %d dropped, limit=%d bytes", next.firstVersion, t.limit)
	}
	return nil
}

// Read returns up to limit flushed records in ascending order, starting at version from.
// Versions that are not in the trail are omitted.
func (t *Trail) Read(from uint64, limit int) ([]*wire.AuditRecord, error) {
	var out []*wire.AuditRecord
	for _, f := range t.segmentsFrom(from) {
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
			continue // dropOldest removed it after segmentsFrom returned
		}
		if err != nil || len(out) >= limit {
			return out, err
		}
	}
	return out, nil
}

// segmentsFrom returns the segments that may have versions at or above from.
func (t *Trail) segmentsFrom(from uint64) []segment {
	t.mu.RLock()
	defer t.mu.RUnlock()
	i := len(t.segments) - 1
	for i > 0 && t.segments[i].firstVersion > from {
		i--
	}
	return append([]segment(nil), t.segments[max(i, 0):]...)
}

// Close flushes and closes the trail.
func (t *Trail) Close() error {
	err := t.Flush()
	if cerr := t.log.Close(); err == nil {
		err = cerr
	}
	return err
}
