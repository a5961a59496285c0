package journal

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/quorum"
)

// Names of the files in the data folder.
const (
	logPrefix      = "log"
	snapshotPrefix = "snapshot-"
	identityFile   = IdentityFile
	lockFile       = "lock"
)

// IdentityFile is the name of the file that holds the identity of the disk.
const IdentityFile = "identity"

// DefaultSegmentBytes is the size from which a new log file is started.
const DefaultSegmentBytes = 16 << 20

// Options holds the parameters of a journal; the zero value is for production.
type Options struct {
	FS           FS    // nil means OS{}
	SegmentBytes int64 // 0 means DefaultSegmentBytes
}

// StoredState is the content of a data folder when it was opened.
type StoredState struct {
	Identity  *wire.DiskIdentity // nil on a new disk
	HardState *quorum.HardState  // nil before the first Save
	Snapshot  *quorum.Snapshot   // nil if there is none
	Entries   []*quorum.Entry
}

// Journal writes to an open data folder. It is not safe for concurrent use.
type Journal struct {
	fs            FS
	dir           string
	segmentBytes  int64
	lock          io.Closer
	log           *Segments
	hardState     *quorum.HardState
	lastIndexes   map[uint64]uint64 // highest entry index by log file
	snapshotIndex uint64            // index of the latest snapshot
	syncErr       *SyncError        // first sync failure; every later write returns it
}

// Open locks and reads a data folder, and creates it if it does not exist.
func Open(dir string, o Options) (*Journal, *StoredState, error) {
	if o.FS == nil {
		o.FS = OS{}
	}
	if o.SegmentBytes == 0 {
		o.SegmentBytes = DefaultSegmentBytes
	}
	if err := o.FS.MkdirAll(dir); err != nil {
		return nil, nil, errors.Wrap(err, "journal: create data folder")
	}
	lock, err := o.FS.Lock(filepath.Join(dir, lockFile))
	if err != nil {
		return nil, nil, errors.Wrap(err, "journal")
	}
	j := &Journal{fs: o.FS, dir: dir, segmentBytes: o.SegmentBytes, lock: lock, lastIndexes: make(map[uint64]uint64)}
	st, err := j.load()
	if err != nil {
		_ = j.Close()
		return nil, nil, err
	}
	return j, st, nil
}

func (j *Journal) load() (*StoredState, error) {
	st := &StoredState{}
	names, err := j.fs.ReadDir(j.dir)
	if err != nil {
		return nil, err
	}
	newest := ""
	for _, name := range names {
		switch {
		case strings.HasSuffix(name, tempSuffix): // left behind by a crash before the rename
			if err := j.fs.Remove(filepath.Join(j.dir, name)); err != nil {
				return nil, err
			}
		case name == identityFile:
			st.Identity = &wire.DiskIdentity{}
			if err := j.readMessage(name, st.Identity); err != nil {
				return nil, err
			}
		case strings.HasPrefix(name, snapshotPrefix):
			newest = name
		}
	}
	if newest != "" {
		st.Snapshot = &quorum.Snapshot{}
		if err := j.readMessage(newest, st.Snapshot); err != nil {
			return nil, err
		}
		j.snapshotIndex = st.Snapshot.Index
	}
	r := replayState{lastIndexes: j.lastIndexes}
	if j.log, err = OpenSegments(j.fs, j.dir, logPrefix, r.applyBatch); err != nil {
		return nil, err
	}
	j.hardState, st.HardState = r.hardState, r.hardState
	if st.Snapshot == nil || r.matchesSnapshot(st.Snapshot) {
		st.Entries = r.entries
		return st, nil
	}
	return st, j.finishReplace(st.Snapshot)
}

// finishReplace completes a replaceWithSnapshot that a crash interrupted: the
// leader's snapshot is already stored and supersedes the log.
func (j *Journal) finishReplace(snap *quorum.Snapshot) error {
	if j.hardState == nil {
		return nil
	}
	return j.append(&wire.JournalBatch{ResetIndex: snap.Index}, nil)
}

func (j *Journal) readMessage(name string, m proto.Message) error {
	b, err := readFramedFile(j.fs, j.dir, name)
	if err != nil {
		return err
	}
	return errors.Wrapf(proto.Unmarshal(b, m), "journal: %s", filepath.Join(j.dir, name))
}

// WriteIdentity stores the identity of a new disk.
func (j *Journal) WriteIdentity(id *wire.DiskIdentity) error {
	return j.recordSyncError(WriteIdentity(j.fs, j.dir, id))
}

// IsLogFile reports whether name is that of a log file, which holds entries and hard
// states.
func IsLogFile(name string) bool { return strings.HasPrefix(name, logPrefix+"-") }

// ReadIdentity returns the identity in a data folder, or nil if there is none.
func ReadIdentity(fs FS, dir string) (*wire.DiskIdentity, error) {
	names, err := fs.ReadDir(dir)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil || !slices.Contains(names, identityFile) {
		return nil, err
	}
	b, err := readFramedFile(fs, dir, identityFile)
	if err != nil {
		return nil, err
	}
	id := &wire.DiskIdentity{}
	return id, errors.Wrapf(proto.Unmarshal(b, id), "journal: %s", filepath.Join(dir, identityFile))
}

// WriteIdentity stores the identity of the disk in a data folder that no journal has
// open.
func WriteIdentity(fs FS, dir string, id *wire.DiskIdentity) error {
	b, err := proto.Marshal(id)
	if err != nil {
		return err
	}
	return writeFramedFile(fs, dir, identityFile, b)
}

// recordSyncError stores the first SyncError, which all later writes return, and
// returns err.
func (j *Journal) recordSyncError(err error) error {
	var failed *SyncError
	if j.syncErr == nil && errors.As(err, &failed) {
		j.syncErr = failed
	}
	return err
}

// Save makes the changes of a quorum.Ready durable. If sync is false and there are no
// entries, nothing is written: only the commit index has changed, which need not be
// durable and is written with the next frame. Save may be retried after ErrFull.
func (j *Journal) Save(snap *quorum.Snapshot, hardState *quorum.HardState, entries []*quorum.Entry, sync bool) error {
	if j.syncErr != nil {
		return j.syncErr
	}
	if hardState != nil {
		j.hardState = hardState
	}
	if snap != nil {
		return j.recordSyncError(j.replaceWithSnapshot(snap, entries))
	}
	if !sync && len(entries) == 0 {
		return nil
	}
	return j.recordSyncError(j.appendEntries(entries))
}

// appendEntries writes a batch to the newest log file, or to a new one if that has
// reached segmentBytes.
func (j *Journal) appendEntries(entries []*quorum.Entry) error {
	if _, size := j.log.Current(); size >= j.segmentBytes {
		if err := j.log.Rotate(); err != nil {
			return err
		}
	}
	return j.append(&wire.JournalBatch{}, entries)
}

// append writes a batch. Every batch includes the hard state, so that older log
// files can be removed.
func (j *Journal) append(b *wire.JournalBatch, entries []*quorum.Entry) error {
	var err error
	if b.HardState, err = proto.Marshal(j.hardState); err != nil {
		return err
	}
	for _, e := range entries {
		data, err := proto.Marshal(e)
		if err != nil {
			return err
		}
		b.Entries = append(b.Entries, data)
	}
	payload, err := proto.Marshal(b)
	if err != nil {
		return err
	}
	if err := j.log.Append(payload); err != nil {
		return err
	}
	if n := len(entries); n > 0 {
		number, _ := j.log.Current()
		j.lastIndexes[number] = max(j.lastIndexes[number], entries[n-1].Index)
	}
	return nil
}

// replaceWithSnapshot stores a snapshot from the leader. It makes three records
// durable, one after the other: the hard state, so that the disk never holds a
// snapshot of a term above its own; the snapshot; and a batch that discards all
// earlier log entries. After a crash between the second and third, load writes the
// third.
func (j *Journal) replaceWithSnapshot(snap *quorum.Snapshot, entries []*quorum.Entry) error {
	if err := j.appendEntries(nil); err != nil {
		return err
	}
	if err := j.writeSnapshot(snap); err != nil {
		return err
	}
	if err := j.log.Rotate(); err != nil {
		return err
	}
	if err := j.append(&wire.JournalBatch{ResetIndex: snap.Index}, entries); err != nil {
		return err
	}
	number, _ := j.log.Current()
	return j.removeLogs(number)
}

// SaveSnapshot stores a snapshot of the state that this VM has applied.
func (j *Journal) SaveSnapshot(snap *quorum.Snapshot) error {
	if j.syncErr != nil {
		return j.syncErr
	}
	return j.recordSyncError(j.writeSnapshot(snap))
}

func (j *Journal) writeSnapshot(snap *quorum.Snapshot) error {
	b, err := proto.Marshal(snap)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%s%016x", snapshotPrefix, snap.Index)
	if err := writeFramedFile(j.fs, j.dir, name, b); err != nil {
		return err
	}
	j.snapshotIndex = snap.Index
	return j.removeSnapshots(name)
}

func (j *Journal) removeSnapshots(except string) error {
	names, err := j.fs.ReadDir(j.dir)
	if err != nil {
		return err
	}
	for _, name := range names {
		if !strings.HasPrefix(name, snapshotPrefix) || name == except {
			continue
		}
		if err := j.fs.Remove(filepath.Join(j.dir, name)); err != nil {
			return err
		}
	}
	return nil
}

// RemoveLogsBelow deletes the oldest log files that hold neither an entry at or above
// index nor the entry at the snapshot's index. The latter is needed at the next start
// to check that log and snapshot belong together.
func (j *Journal) RemoveLogsBelow(index uint64) error {
	index = min(index, j.snapshotIndex)
	current, _ := j.log.Current()
	firstKept := uint64(0)
	for _, seg := range j.log.segments {
		firstKept = seg.number
		if seg.number == current || j.lastIndexes[seg.number] >= index {
			break
		}
	}
	return j.removeLogs(firstKept)
}

func (j *Journal) removeLogs(before uint64) error {
	if err := j.log.RemoveBefore(before); err != nil {
		return err
	}
	for number := range j.lastIndexes {
		if number < before {
			delete(j.lastIndexes, number)
		}
	}
	return nil
}

// Size returns the total size of the log files in bytes.
func (j *Journal) Size() int64 { return j.log.Size() }

// Free returns the available bytes on the disk.
func (j *Journal) Free() (uint64, error) { return j.fs.Free(j.dir) }

// Close closes the log and unlocks the data folder.
func (j *Journal) Close() error {
	var err error
	if j.log != nil {
		err = j.log.Close()
	}
	return errors.CombineErrors(err, j.lock.Close())
}
