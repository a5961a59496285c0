package journal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/quorum"
)

// saveCall holds the arguments of a call of Save.
type saveCall struct {
	snapshot  *quorum.Snapshot
	hardState *quorum.HardState
	entries   []*quorum.Entry
}

func makeEntries(term uint64, from, to uint64) []*quorum.Entry {
	var es []*quorum.Entry
	for i := from; i <= to; i++ {
		es = append(es, &quorum.Entry{Index: i, Term: term, Data: fmt.Appendf(nil, "entry %d of term %d", i, term)})
	}
	return es
}

func makeHardState(term, vote uint64) *quorum.HardState {
	return &quorum.HardState{Term: term, Vote: vote, Disk: 9}
}

// testSaves returns saves with appends, an overwritten suffix, votes, and a snapshot from
// a leader that replaces the log.
func testSaves() []saveCall {
	return []saveCall{
		{hardState: makeHardState(1, 1)},
		{entries: makeEntries(1, 1, 4)},
		{hardState: makeHardState(2, 3), entries: makeEntries(2, 3, 5)},
		{entries: makeEntries(2, 6, 6)},
		{snapshot: &quorum.Snapshot{Index: 20, Term: 3, Data: []byte("state")}, hardState: makeHardState(3, 0)},
		{entries: makeEntries(3, 21, 23)},
		{hardState: makeHardState(4, 2)},
		{hardState: makeHardState(5, 2), entries: makeEntries(5, 22, 24)},
	}
}

// stateAfter returns the state that Open must return after the given saves.
func stateAfter(saves []saveCall) *StoredState {
	st := &StoredState{}
	for _, s := range saves {
		if s.hardState != nil {
			st.HardState = s.hardState
		}
		if s.snapshot != nil {
			st.Snapshot, st.Entries = s.snapshot, nil
		}
		for _, e := range s.entries {
			for len(st.Entries) > 0 && st.Entries[len(st.Entries)-1].Index >= e.Index {
				st.Entries = st.Entries[:len(st.Entries)-1]
			}
			st.Entries = append(st.Entries, e)
		}
	}
	return st
}

// diffStates describes the first difference between got and want, or returns "".
func diffStates(got, want *StoredState) string {
	if !proto.Equal(got.HardState, want.HardState) {
		return fmt.Sprintf("hard state %v, want %v", got.HardState, want.HardState)
	}
	if !proto.Equal(got.Snapshot, want.Snapshot) {
		return fmt.Sprintf("snapshot %v, want %v", got.Snapshot, want.Snapshot)
	}
	if len(got.Entries) != len(want.Entries) {
		return fmt.Sprintf("%d entries, want %d", len(got.Entries), len(want.Entries))
	}
	for i := range got.Entries {
		if !proto.Equal(got.Entries[i], want.Entries[i]) {
			return fmt.Sprintf("entry %v, want %v", got.Entries[i], want.Entries[i])
		}
	}
	return ""
}

func writeSaves(t *testing.T, dir string, o Options, saves []saveCall) {
	t.Helper()
	j, _, err := Open(dir, o)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = j.Close() }()
	for _, s := range saves {
		if err := j.Save(s.snapshot, s.hardState, s.entries, true); err != nil {
			t.Fatal(err)
		}
	}
}

func readState(t *testing.T, dir string) *StoredState {
	t.Helper()
	j, st, err := Open(dir, Options{})
	if err != nil {
		t.Fatal(err)
	}
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	return st
}

// A crash can leave any part of the frame that was being written. That frame was not
// acknowledged and may be missing, but everything synced before it must be read back, and
// later saves must work.
func TestTruncationAtAnyByteKeepsCompleteSaves(t *testing.T) {
	Convey("A log truncated at any byte reads back as the complete saves", t, func() {
		saves := testSaves()
		dir := t.TempDir()
		var sizes []int64 // of the newest log file after each save
		for n := range saves {
			writeSaves(t, dir, Options{}, saves[n:n+1])
			sizes = append(sizes, newestLogFile(t, dir).Size())
		}
		const first = 5 // the first 5 saves end with the snapshot, which removes the older files
		data, err := os.ReadFile(filepath.Join(dir, newestLogFile(t, dir).Name()))
		So(err, ShouldBeNil)
		for cut := int64(len(data)); cut >= sizes[first-1]; cut-- {
			complete := first
			for complete < len(saves) && sizes[complete] <= cut {
				complete++
			}
			dirCopy := copyDir(t, dir)
			path := filepath.Join(dirCopy, newestLogFile(t, dir).Name())
			if err := os.WriteFile(path, data[:cut], 0o600); err != nil {
				t.Fatal(err)
			}
			if why := diffStates(readState(t, dirCopy), stateAfter(saves[:complete])); why != "" {
				t.Fatalf("truncated at byte %d: %s", cut, why)
			}
			extra := saveCall{hardState: makeHardState(9, 1), entries: makeEntries(9, 21, 21)}
			writeSaves(t, dirCopy, Options{}, []saveCall{extra})
			if why := diffStates(readState(t, dirCopy), stateAfter(append(saves[:complete:complete], extra))); why != "" {
				t.Fatalf("truncated at byte %d, after another save: %s", cut, why)
			}
		}
	})
}

// A bit flip in a synced frame must not be mistaken for a torn tail: the acknowledged
// votes and entries after it would be dropped silently.
func TestCorruptionBeforeTailIsReported(t *testing.T) {
	Convey("A flipped bit in any byte before the last frame is reported with its file and offset", t, func() {
		saves := testSaves()[:4]
		dir := t.TempDir()
		var ends []int64
		for n := range saves {
			writeSaves(t, dir, Options{}, saves[n:n+1])
			ends = append(ends, newestLogFile(t, dir).Size())
		}
		name := newestLogFile(t, dir).Name()
		data, err := os.ReadFile(filepath.Join(dir, name))
		So(err, ShouldBeNil)
		start, frame := int64(0), 0
		for i := int64(0); i < ends[len(ends)-2]; i++ {
			if i >= ends[frame] {
				start, frame = ends[frame], frame+1
			}
			dirCopy := copyDir(t, dir)
			damaged := append([]byte(nil), data...)
			damaged[i] ^= 0x40
			if err := os.WriteFile(filepath.Join(dirCopy, name), damaged, 0o600); err != nil {
				t.Fatal(err)
			}
			_, _, err := Open(dirCopy, Options{})
			var corrupt *CorruptError
			if !errors.As(err, &corrupt) || corrupt.Offset != start || filepath.Base(corrupt.File) != name {
				t.Fatalf("bit flipped in byte %d: %v, want CorruptError at offset %d", i, err, start)
			}
		}
	})

	Convey("A damaged snapshot is reported", t, func() {
		dir := t.TempDir()
		writeSaves(t, dir, Options{}, testSaves())
		path := filepath.Join(dir, fmt.Sprintf("%s%016x", snapshotPrefix, 20))
		data, err := os.ReadFile(path)
		So(err, ShouldBeNil)
		data[len(data)-1] ^= 1
		So(os.WriteFile(path, data, 0o600), ShouldBeNil)
		_, _, err = Open(dir, Options{})
		var corrupt *CorruptError
		So(errors.As(err, &corrupt), ShouldBeTrue)
		So(corrupt.File, ShouldEqual, path)
	})
}

// The power fails at any operation of any save. After the restart, earlier saves must be
// complete, and the interrupted one complete or absent. The exception is the hard state
// that comes with a leader's snapshot, which is stored before the snapshot: a term without
// a vote or an entry acknowledges nothing.
func TestSaveIsAtomicOnCrashAtAnyOperation(t *testing.T) {
	Convey("After a crash at any operation, each save is complete or absent", t, func() {
		saves := testSaves()
		for failAt := 1; ; failAt++ {
			dir := t.TempDir()
			fs := &faultFS{failAt: failAt, opError: failAnyOp, failAllLater: true}
			completed := saveUntilError(dir, Options{FS: fs, SegmentBytes: 64}, saves)
			if completed == len(saves) && fs.ops < failAt {
				So(failAt, ShouldBeGreaterThan, 20)
				return
			}
			got := readState(t, dir)
			before, after := stateAfter(saves[:completed]), stateAfter(saves[:min(completed+1, len(saves))])
			diffBefore, diffAfter := diffStates(got, before), diffStates(got, after)
			if completed < len(saves) && saves[completed].snapshot != nil && diffBefore != "" {
				before.HardState = saves[completed].hardState
				diffBefore = diffStates(got, before)
			}
			if diffBefore != "" && diffAfter != "" {
				t.Fatalf("operation %d, in save %d: neither the state before (%s) nor after (%s)", failAt, completed, diffBefore, diffAfter)
			}
			next := got.Snapshot.GetIndex() + 1
			if n := len(got.Entries); n > 0 {
				next = got.Entries[n-1].Index + 1
			}
			extra := saveCall{hardState: makeHardState(9, 1), entries: makeEntries(9, next, next)}
			writeSaves(t, dir, Options{}, []saveCall{extra})
			got.HardState, got.Entries = extra.hardState, append(got.Entries, extra.entries...)
			if why := diffStates(readState(t, dir), got); why != "" {
				t.Fatalf("operation %d, in save %d, after another save: %s", failAt, completed, why)
			}
		}
	})
}

// saveUntilError runs the saves until one fails and returns the number that succeeded.
func saveUntilError(dir string, o Options, saves []saveCall) int {
	j, _, err := Open(dir, o)
	if err != nil {
		return 0
	}
	defer func() { _ = j.Close() }()
	for n, s := range saves {
		if j.Save(s.snapshot, s.hardState, s.entries, true) != nil {
			return n
		}
	}
	return len(saves)
}

// A sync fails once and would succeed the second time, although the data is lost from the
// page cache. After a retry, the group would count an entry that this disk does not hold,
// so every later save must fail.
func TestFailedSyncIsNeverRetried(t *testing.T) {
	Convey("After any failed sync of the log each later save fails with the same error", t, func() {
		failed := 0
		for failAt := 1; failAt < 40; failAt++ {
			fs := &faultFS{failAt: failAt, opError: func(op string) error {
				if op == "sync" {
					return errInjected
				}
				return nil
			}}
			j, _, err := Open(t.TempDir(), Options{FS: fs, SegmentBytes: 64})
			So(err, ShouldBeNil)
			for _, s := range testSaves() {
				if err = j.Save(s.snapshot, s.hardState, s.entries, true); err != nil {
					break
				}
			}
			if err == nil {
				continue
			}
			failed++
			var syncErr *SyncError
			So(errors.As(err, &syncErr), ShouldBeTrue)
			for range 3 {
				So(errors.As(j.Save(nil, makeHardState(9, 9), makeEntries(9, 90, 90), true), &syncErr), ShouldBeTrue)
			}
			So(j.Close(), ShouldBeNil)
		}
		So(failed, ShouldBeGreaterThan, 5)
	})
}

// The disk is full during a save and then has space again. The failed save must leave
// nothing behind, and a retry must succeed.
func TestSaveCanBeRetriedAfterFullDisk(t *testing.T) {
	Convey("A save retried after ErrFull has the same result as a save without the error", t, func() {
		saves := testSaves()
		refused := 0
		for failAt := 1; failAt < 60; failAt++ {
			dir := t.TempDir()
			fs := &faultFS{failAt: failAt, opError: failForSpace}
			j, _, err := Open(dir, Options{FS: fs, SegmentBytes: 64})
			So(err, ShouldBeNil)
			for _, s := range saves {
				err := j.Save(s.snapshot, s.hardState, s.entries, true)
				if errors.Is(err, ErrFull) {
					refused++
					err = j.Save(s.snapshot, s.hardState, s.entries, true)
				}
				So(err, ShouldBeNil)
			}
			So(j.Close(), ShouldBeNil)
			So(diffStates(readState(t, dir), stateAfter(saves)), ShouldBeEmpty)
		}
		So(refused, ShouldBeGreaterThan, 10)
	})
}

func TestCompaction(t *testing.T) {
	Convey("Given a log of many files", t, func() {
		dir := t.TempDir()
		j, _, err := Open(dir, Options{SegmentBytes: 256})
		So(err, ShouldBeNil)
		So(j.WriteIdentity(&wire.DiskIdentity{Disk: 9, Id: 1}), ShouldBeNil)
		for i := uint64(1); i <= 100; i++ {
			So(j.Save(nil, makeHardState(1, 1), makeEntries(1, i, i), true), ShouldBeNil)
		}
		before := j.Size()

		Convey("RemoveLogsBelow after a snapshot removes older files, and the rest reads back", func() {
			snap := &quorum.Snapshot{Index: 90, Term: 1, Data: []byte("s")}
			So(j.SaveSnapshot(snap), ShouldBeNil)
			So(j.RemoveLogsBelow(90), ShouldBeNil)
			So(j.Size(), ShouldBeLessThan, before/2)
			So(j.Close(), ShouldBeNil)
			st := readState(t, dir)
			So(proto.Equal(st.Snapshot, snap), ShouldBeTrue)
			So(st.Entries[0].Index, ShouldBeLessThanOrEqualTo, 91)
			So(st.Entries[len(st.Entries)-1].Index, ShouldEqual, 100)
			So(st.Identity.Disk, ShouldEqual, 9)
		})

		Convey("a second Open of the folder fails", func() {
			_, _, err := Open(dir, Options{})
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, "in use")
			So(j.Close(), ShouldBeNil)
		})
	})
}

// newestLogFile returns the newest log file.
func newestLogFile(t *testing.T, dir string) os.FileInfo {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(dir, logPrefix+"-*"))
	if err != nil || len(names) == 0 {
		t.Fatalf("no log file: %v", err)
	}
	info, err := os.Stat(names[len(names)-1])
	if err != nil {
		t.Fatal(err)
	}
	return info
}

func copyDir(t *testing.T, dir string) string {
	t.Helper()
	to := t.TempDir()
	if err := os.CopyFS(to, os.DirFS(dir)); err != nil {
		t.Fatal(err)
	}
	return to
}

func FuzzReadFrame(f *testing.F) {
	f.Add(appendFrame(nil, 1, []byte("payload")))
	f.Add([]byte{0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		seq, payload, size, ok := readFrame(b)
		if !ok {
			return
		}
		if again := appendFrame(nil, seq, payload); len(again) != size || string(again) != string(b[:size]) {
			t.Fatalf("encoding the decoded frame again gives different bytes")
		}
	})
}
