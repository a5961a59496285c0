package test

import (
	"strings"
	"testing"
	"time"

	"pearmoor/internal/contract"
	"pearmoor/internal/standin"
)

// roll publishes an index version on the leaves one after the other and retires the
// old one on each shortly after, so that at no moment a shard is without a holder.
func (tr *tier) roll(version uint64, shards uint32) {
	tr.t.Helper()
	first, second := "-a", "-b"
	for _, suffix := range []string{first, second, "-c"} {
		for _, l := range tr.fleet.Leaves() {
			service := l.Stats(false).Services[0]
			if !strings.HasSuffix(l.Name(), suffix) {
				continue
			}
			i, n := int(suffix[1]-'a'), 2
			if service == ledger {
				n = 3
			}
			l.Publish(contract.LeafIndex{Service: service, Version: version, Shards: shards, Held: standin.Layout(i, n, shards)})
		}
		// Longer than a probe interval: the homes see the new version everywhere it is.
		time.Sleep(400 * time.Millisecond)
	}
	for _, l := range tr.fleet.Leaves() {
		l.Retire(l.Stats(false).Services[0], version-1)
		time.Sleep(20 * time.Millisecond)
	}
}

// TestIndexChangeAndRepartition: while callers query a desk of three services, its
// index changes leaf by leaf, each time with another number of shards, and the old
// version goes away under the queries that read it. Every answer is of one version
// in all its hits; no document of a shard said to have answered is lost, none is
// there twice. Every shard has a holder at all times, so coverage stays full.
func TestIndexChangeAndRepartition(t *testing.T) {
	t.Parallel()
	tr := startTier(t, shape{controls: 1, entries: 3})
	tr.slow("", 10*time.Millisecond)
	tf := tr.startTraffic(steady())
	for i, shards := range []uint32{5, 2, 4} {
		tr.roll(uint64(i+2), shards)
	}
	await(t, "answers of the last version", func() bool {
		r := tr.query(desk)
		got := tr.send(tr.entries[0], r)
		if got.answer == nil {
			return false
		}
		checkAnswer(t, r, got.answer)
		for _, v := range got.answer.IndexVersions {
			if v != 4 {
				return false
			}
		}
		return whole(got.answer)
	})
	r := tf.stop(t)
	checkTrue(t, tr, r)
	if r.Whole != r.Answered {
		t.Errorf("%d of %d answers were not whole: %v", r.Answered-r.Whole, r.Answered, r.Missing)
	}
	tr.checkSlots()
}

// TestReplicaLost: one leaf of each service is lost at once under load, and comes
// back cold at the same address. Answers during the moment until it is noticed may
// miss shards, said truly; then the other replicas answer for all shards.
func TestReplicaLost(t *testing.T) {
	t.Parallel()
	tr := startTier(t, shape{controls: 1, entries: 3})
	tr.slow("", 10*time.Millisecond)
	cfg := steady()
	cfg.Rate = 30
	tf := tr.startTraffic(cfg)
	var lost, left []*standin.Leaf
	for _, l := range tr.fleet.Leaves() {
		if strings.HasSuffix(l.Name(), "-a") {
			lost = append(lost, l)
		} else {
			left = append(left, l)
		}
	}
	awaitReplies(t, lost, 20)
	for _, l := range lost {
		if err := l.Down(); err != nil {
			t.Fatal(err)
		}
	}
	awaitReplies(t, left, 200)
	tr.awaitWhole()
	for _, l := range lost {
		if err := l.Up(); err != nil {
			t.Fatal(err)
		}
	}
	awaitReplies(t, lost, 20)
	checkTrue(t, tr, tf.stop(t))
	tr.checkSlots()
}

// awaitReplies waits until leaves have sent n more replies together.
func awaitReplies(t *testing.T, leaves []*standin.Leaf, n uint64) {
	t.Helper()
	sum := func() (replies uint64) {
		for _, l := range leaves {
			replies += l.Stats(false).Replies
		}
		return replies
	}
	from := sum()
	await(t, "replies of leaves", func() bool { return sum() >= from+n })
}

// TestAllReplicasLost: both leaves of one service are gone. The answer names the
// service's shards as missing and gives the others' hits; it comes before the
// deadline. A charge to a ledger whose leaves are all gone is not_run, truly.
func TestAllReplicasLost(t *testing.T) {
	t.Parallel()
	tr := startTier(t, shape{controls: 1, entries: 2})
	for _, l := range tr.fleet.Leaves() {
		if service := l.Stats(false).Services[0]; service == desk+"/search-1" || service == ledger {
			if err := l.Down(); err != nil {
				t.Fatal(err)
			}
		}
	}
	for _, p := range tr.entries {
		r := tr.query(desk)
		got := tr.send(p, r)
		if got.answer == nil {
			t.Fatalf("the other services' hits are not given: %v", got)
		}
		checkAnswer(t, r, got.answer)
		c := got.answer.Coverage
		if c.Answered != 6 || len(c.Missing) != 3 {
			t.Errorf("%d answered, missing %v; want two services whole and all 3 shards of the lost one missing", c.Answered, c.Missing)
		}
		for _, m := range c.Missing {
			if m.Service != desk+"/search-1" {
				t.Errorf("missing %v", m)
			}
		}
		charge := tr.charge(p)
		if got := tr.send(p, charge); got.verdict() == contract.Ran {
			t.Errorf("a charge to leaves that are gone: %v", got)
		}
	}
}
