package quorum

import (
	"testing"

	"pearmoor/internal/quorum/quorumpb"
)

// FuzzStep passes arbitrary messages to Step. The machine must not panic, and its term
// and commit index must not decrease.
func FuzzStep(f *testing.F) {
	for kind := range quorumpb.Kind_name {
		msg := &Message{
			Kind: quorumpb.Kind(kind), From: 2, FromDisk: 1002, To: 1, ToDisk: 1001, Term: 2, Index: 1, LogTerm: 1,
			Entries: []*Entry{{Index: 2, Term: 2, Data: command(0, 1, 0)}}, Commit: 2, HintIndex: 1, Round: 1, SentTick: 1,
			Snapshot: &Snapshot{Index: 9, Term: 2, Conf: &Conf{Members: []*Member{{Id: 1, Disk: 1001}}, MaxId: 1}}, LastPiece: true,
		}
		b, err := Encode(msg)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b, b)
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		c := newCluster(t, 1, 3)
		c.runTicks(40)
		for _, h := range c.runningHosts() {
			for _, b := range [][]byte{first, second} {
				msg, err := Decode(b)
				if err != nil {
					continue
				}
				term, commit := h.m.hardState.Term, h.m.log.commit
				_ = h.m.Step(msg)
				h.m.Tick()
				for h.m.HasReady() {
					h.m.Ready()
					h.m.Advance()
				}
				if h.m.hardState.Term < term || h.m.log.commit < commit {
					t.Fatalf("term %d to %d, commit %d to %d", term, h.m.hardState.Term, commit, h.m.log.commit)
				}
			}
		}
	})
}
