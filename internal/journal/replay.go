package journal

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/quorum"
)

// replayState rebuilds the hard state and the entries from the batches of the log.
type replayState struct {
	hardState   *quorum.HardState
	entries     []*quorum.Entry
	resetIndex  uint64            // index of the last snapshot that replaced the log
	lastIndexes map[uint64]uint64 // highest entry index by log file
}

func (r *replayState) applyBatch(segment uint64, payload []byte) error {
	var b wire.JournalBatch
	if err := proto.Unmarshal(payload, &b); err != nil {
		return err
	}
	if b.ResetIndex != 0 {
		r.resetIndex, r.entries = b.ResetIndex, nil
	}
	if len(b.HardState) > 0 {
		r.hardState = &quorum.HardState{}
		if err := proto.Unmarshal(b.HardState, r.hardState); err != nil {
			return err
		}
	}
	for i, data := range b.Entries {
		e := &quorum.Entry{}
		if err := proto.Unmarshal(data, e); err != nil {
			return err
		}
		if i == 0 {
			r.truncateFrom(e.Index)
		}
		if n := len(r.entries); n > 0 && e.Index != r.entries[n-1].Index+1 {
			return errors.Newf("entry %d follows entry %d, not consecutive", e.Index, r.entries[n-1].Index)
		}
		r.entries = append(r.entries, e)
		r.lastIndexes[segment] = max(r.lastIndexes[segment], e.Index)
	}
	return nil
}

// truncateFrom drops the entries at and above index.
func (r *replayState) truncateFrom(index uint64) {
	if len(r.entries) == 0 {
		return
	}
	first := r.entries[0].Index
	if index <= first {
		r.entries = nil
		return
	}
	if keep := index - first; keep < uint64(len(r.entries)) {
		r.entries = r.entries[:keep]
	}
}

// matchesSnapshot reports whether the entries belong to the snapshot: the log was
// reset to it, or holds the entry with the index and term of the snapshot.
func (r *replayState) matchesSnapshot(snap *quorum.Snapshot) bool {
	if r.resetIndex == snap.Index {
		return true
	}
	for _, e := range r.entries {
		if e.Index == snap.Index {
			return e.Term == snap.Term
		}
	}
	return false
}
