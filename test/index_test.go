package test

import (
	"strings"
	"testing"
	"time"

	"pearmoor/internal/contract"
	"pearmoor/internal/standin"
)

// rollIndexVersion publishes an index version on one leaf after another and then retires
// the old version on each, so that every shard is always held by some leaf.
func (tr *tier) rollIndexVersion(version uint64, shards uint32) {
	tr.t.Helper()
	firstSuffix, secondSuffix := "-a", "-b"
	for _, suffix := range []string{firstSuffix, secondSuffix, "-c"} {
		for _, l := range tr.fleet.Leaves() {
			service := l.Stats(false).Services[0]
			if !strings.HasSuffix(l.Name(), suffix) {
				continue
			}
			i, n := int(suffix[1]-'a'), 2
			if service == ledgerPath {
				n = 3
			}
			l.Publish(contract.LeafIndex{Service: service, Version: version, Shards: shards, HeldShards: standin.HeldShards(i, n, shards)})
		}
		// Longer than a probe interval, so that the homes learn of the new version.
		time.Sleep(400 * time.Millisecond)
	}
	for _, l := range tr.fleet.Leaves() {
		l.Retire(l.Stats(false).Services[0], version-1)
		time.Sleep(20 * time.Millisecond)
	}
}

// TestIndexChangeAndRepartition guards against answers that mix index versions, or lose
// or duplicate documents, during an index change. While callers query three services, the
// index changes leaf by leaf, each time to another number of shards, and the old version
// is retired while queries read it. Every shard is always held by some leaf, so coverage
// must stay full.
func TestIndexChangeAndRepartition(t *testing.T) {
	t.Parallel()
	tr := startTier(t, tierConfig{controls: 1, entries: 3})
	tr.setLatency("", 10*time.Millisecond)
	running := tr.startLoad(steadyLoad())
	for i, shards := range []uint32{5, 2, 4} {
		tr.rollIndexVersion(uint64(i+2), shards)
	}
	await(t, "answers at the last index version", func() bool {
		r := tr.newQuery(deskPath)
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
		return fullCoverage(got.answer)
	})
	r := running.stop(t)
	checkLoadResult(t, tr, r)
	if r.Whole != r.Answered {
		t.Errorf("%d of %d answers without full coverage: %v", r.Answered-r.Whole, r.Answered, r.Missing)
	}
	tr.checkLeafLimits()
}

// TestOneLeafOfEachServiceLost guards against wrong answers and lasting loss of coverage
// when one leaf of each service is lost at once under load and later restarts at the same
// address. Until the loss is detected answers may miss shards and must report them; after
// that the other leaves must answer for all shards.
func TestOneLeafOfEachServiceLost(t *testing.T) {
	t.Parallel()
	tr := startTier(t, tierConfig{controls: 1, entries: 3})
	tr.setLatency("", 10*time.Millisecond)
	cfg := steadyLoad()
	cfg.Rate = 30
	running := tr.startLoad(cfg)
	var stopped, remaining []*standin.Leaf
	for _, l := range tr.fleet.Leaves() {
		if strings.HasSuffix(l.Name(), "-a") {
			stopped = append(stopped, l)
		} else {
			remaining = append(remaining, l)
		}
	}
	awaitReplies(t, stopped, 20)
	for _, l := range stopped {
		if err := l.Down(); err != nil {
			t.Fatal(err)
		}
	}
	awaitReplies(t, remaining, 200)
	tr.awaitFullCoverage()
	for _, l := range stopped {
		if err := l.Up(); err != nil {
			t.Fatal(err)
		}
	}
	awaitReplies(t, stopped, 20)
	checkLoadResult(t, tr, running.stop(t))
	tr.checkLeafLimits()
}

// awaitReplies waits until the leaves have sent n more replies in total.
func awaitReplies(t *testing.T, leaves []*standin.Leaf, n uint64) {
	t.Helper()
	sum := func() (replies uint64) {
		for _, l := range leaves {
			replies += l.Stats(false).Replies
		}
		return replies
	}
	from := sum()
	await(t, "replies from leaves", func() bool { return sum() >= from+n })
}

// TestAllLeavesOfServiceLost guards against a query that fails altogether when all leaves
// of one of its services are lost. The answer must report the shards of that service as
// missing and contain the hits of the others. A charge to a service without leaves must
// not be reported as run.
func TestAllLeavesOfServiceLost(t *testing.T) {
	t.Parallel()
	tr := startTier(t, tierConfig{controls: 1, entries: 2})
	for _, l := range tr.fleet.Leaves() {
		if service := l.Stats(false).Services[0]; service == deskPath+"/search-1" || service == ledgerPath {
			if err := l.Down(); err != nil {
				t.Fatal(err)
			}
		}
	}
	for _, p := range tr.entries {
		r := tr.newQuery(deskPath)
		got := tr.send(p, r)
		if got.answer == nil {
			t.Fatalf("no answer with the hits of the other services: %v", got)
		}
		checkAnswer(t, r, got.answer)
		c := got.answer.Coverage
		if c.Answered != 6 || len(c.Missing) != 3 {
			t.Errorf("%d answered, missing %v; want full coverage of two services and all 3 shards of the lost one missing", c.Answered, c.Missing)
		}
		for _, m := range c.Missing {
			if m.Service != deskPath+"/search-1" {
				t.Errorf("unexpected missing shard: %v", m)
			}
		}
		charge := tr.newCharge(p)
		if got := tr.send(p, charge); got.verdict() == contract.Ran {
			t.Errorf("charge to a service without leaves: %v", got)
		}
	}
}
