package quorum

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"pearmoor/internal/quorum/quorumpb"
)

func entryContent(e *Entry) string { return fmt.Sprintf("%d %v %x", e.Term, e.Kind, e.Data) }

// checkLeader checks election safety and, when a term's leader is first seen, leader
// completeness.
func (c *cluster) checkLeader(h *host) {
	if h.m == nil || h.m.role != Leader {
		return
	}
	term := h.m.hardState.Term
	if disk, ok := c.leaders[term]; ok {
		if disk != h.disk {
			c.t.Fatalf("election safety: term %d is led by disks %d and %d", term, disk, h.disk)
		}
		return
	}
	c.leaders[term] = h.disk
	for index, t := range c.committedTerms {
		if index >= h.m.log.firstIndex && !h.m.log.matchTerm(index, t) {
			c.t.Fatalf("leader completeness: leader %d of term %d lacks committed entry %d: %s", h.id, term, index, c)
		}
	}
}

// checkConfs checks that a machine uses the latest configuration in its log.
func (c *cluster) checkConfs(h *host) {
	want := confHistory{{h.m.snapshot.Index, confOrEmpty(h.m.snapshot)}}.appendFrom(h.m.log.slice(h.m.snapshot.Index+1, h.m.log.lastIndex(), maxInt)).latest()
	if got := h.m.confs.latest(); !proto.Equal(got.conf, want.conf) {
		c.t.Fatalf("member %d uses the configuration of entry %d, the latest in its log is %d", h.id, got.index, want.index)
	}
}

// checkEntries checks log matching: in all logs, an index and term identify the same
// entry with the same term of its predecessor. By induction, the logs are the same below.
func (c *cluster) checkEntries(h *host, es []*Entry) {
	for _, e := range es {
		prev, ok := h.m.log.term(e.Index - 1)
		if !ok {
			continue // already replaced or compacted
		}
		description := fmt.Sprintf("%s after term %d", entryContent(e), prev)
		id := entryID{e.Index, e.Term}
		if previous, ok := c.entries[id]; ok && previous != description {
			c.t.Fatalf("log matching: entry %d of term %d is %q and %q", e.Index, e.Term, previous, description)
		}
		c.entries[id] = description
	}
}

// apply checks state machine safety, that all members apply the same entry at an index,
// and applies the entry.
func (c *cluster) apply(h *host, e *Entry) {
	if e.Index != h.state.applied+1 {
		c.t.Fatalf("member %d applies entry %d after entry %d", h.id, e.Index, h.state.applied)
	}
	if previous, ok := c.committed[e.Index]; ok && previous != entryContent(e) {
		c.t.Fatalf("state machine safety: index %d is %q and %q", e.Index, previous, entryContent(e))
	}
	c.committed[e.Index], c.committedTerms[e.Index] = entryContent(e), e.Term
	c.newestCommitted = max(c.newestCommitted, e.Index)
	if e.Kind == quorumpb.EntryKind_CONF && e.Index > c.committedConfIndex {
		c.committedConfIndex, c.committedConf = e.Index, h.m.confs.at(e.Index)
	}
	swapped := h.state.apply(e)
	c.checkStateHash(h)
	if c.onApply != nil {
		c.onApply(h, e, swapped)
	}
}

// checkStateHash checks that all members have the same state at an index, also when it
// comes from a snapshot.
func (c *cluster) checkStateHash(h *host) {
	if previous, ok := c.stateHashes[h.state.applied]; ok && previous != h.state.hash {
		c.t.Fatalf("state machine safety: states differ at index %d", h.state.applied)
	}
	c.stateHashes[h.state.applied] = h.state.hash
}

// finishRead checks that the index of a read covers everything that was committed when
// the read was requested.
func (c *cluster) finishRead(h *host, r ReadState) {
	if _, ok := c.reads[r.Token]; ok {
		c.t.Fatalf("read %d finished twice", r.Token)
	}
	c.reads[r.Token] = &r
	if !r.LeadershipLost && r.Index < c.commitAtRead[r.Token] {
		c.t.Fatalf("linearizable read: got index %d, but %d was committed before the request", r.Index, c.commitAtRead[r.Token])
	}
	if c.onRead != nil {
		c.onRead(h, r)
	}
}
