package leaf

import (
	"flag"
	"os"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"pearmoor/internal/contract"
	"pearmoor/internal/settings"
)

// TestMain fixes rapid's seed, so that runs are reproducible, and fails if a test leaks a
// goroutine.
func TestMain(m *testing.M) {
	if os.Getenv(benchLeafEnv) != "" {
		runBenchLeaf()
		return
	}
	flag.Set("rapid.seed", "20261202")
	flag.Set("rapid.nofailfile", "true")
	goleak.VerifyTestMain(m, goleak.Cleanup(os.Exit))
}

func newReport(name string, live bool, indexes ...contract.LeafIndex) leafReport {
	st := &contract.LeafStatus{State: contract.LeafServing, Indexes: indexes}
	return leafReport{leaf: settings.Leaf{Name: name, Addr: name}, status: st, live: live}
}

func newIndex(version uint64, shards uint32, held ...uint32) contract.LeafIndex {
	return contract.LeafIndex{Service: "/s", Version: version, Shards: shards, HeldShards: held}
}

func leafNames(leaves []settings.Leaf) (out []string) {
	for _, l := range leaves {
		out = append(out, l.Name)
	}
	return out
}

// During the rollout of version 8, which splits two shards into four, a query that is pinned to
// version 7 must use version 7's partition map, whatever other versions the leaves hold.
func TestSnapshotsDuringRollout(t *testing.T) {
	Convey("Two leaves hold both versions, one only the old, and one is not live", t, func() {
		list := snapshots("/s", []leafReport{
			newReport("a", true, newIndex(7, 2, 0, 1), newIndex(8, 4, 0, 1)),
			newReport("b", true, newIndex(8, 4, 2, 3), newIndex(7, 2, 1)),
			newReport("c", true, newIndex(7, 2, 0)),
			newReport("d", false, newIndex(8, 4, 0, 1, 2, 3)),
		})
		So(list, ShouldHaveLength, 2)
		So(list[0].Version, ShouldEqual, 8)
		So(list[0].Complete(), ShouldBeTrue)
		So(leafNames(list[0].LeavesByShard[0]), ShouldResemble, []string{"a"})
		So(leafNames(list[0].LeavesByShard[3]), ShouldResemble, []string{"b"})
		So(list[1].Shards, ShouldEqual, 2)
		So(leafNames(list[1].LeavesByShard[0]), ShouldResemble, []string{"a", "c"})
	})
	Convey("A version that only leaves that are not live hold is listed without leaves", t, func() {
		list := snapshots("/s", []leafReport{newReport("d", false, newIndex(8, 2, 0, 1))})
		So(list, ShouldHaveLength, 1)
		So(list[0].Shards, ShouldEqual, 2)
		So(list[0].Complete(), ShouldBeFalse)
	})
}

// Whatever the leaves report, the catalog has one entry per version, newest first. The leaves
// of a shard are live, distinct, and report the shard count of the entry.
func TestSnapshotProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reports []leafReport
		for i := range rapid.IntRange(0, 6).Draw(t, "leaves") {
			var ixs []contract.LeafIndex
			for range rapid.IntRange(0, 4).Draw(t, "indexes") {
				shards := rapid.Uint32Range(1, 5).Draw(t, "shards")
				held := rapid.SliceOf(rapid.Uint32Range(0, shards-1)).Draw(t, "held")
				ixs = append(ixs, newIndex(rapid.Uint64Range(1, 3).Draw(t, "version"), shards, held...))
			}
			reports = append(reports, newReport(string(rune('a'+i)), rapid.Bool().Draw(t, "live"), ixs...))
		}
		list := snapshots("/s", reports)
		for i, s := range list {
			if i > 0 && list[i-1].Version <= s.Version {
				t.Fatal("snapshots are not sorted by version, newest first")
			}
			if len(s.LeavesByShard) != int(s.Shards) {
				t.Fatal("the number of leaf lists differs from the shard count")
			}
			for shard, holders := range s.LeavesByShard {
				for j, l := range holders {
					if slices.Contains(holders[:j], l) {
						t.Fatal("a leaf is listed twice for a shard")
					}
					r := reports[l.Name[0]-'a']
					if !r.live || !holdsShard(r, s.Version, s.Shards, uint32(shard)) {
						t.Fatalf("%s does not hold shard %d of version %d", l.Name, shard, s.Version)
					}
				}
			}
		}
		again := snapshots("/s", reports)
		if !slices.EqualFunc(list, again, func(a, b Snapshot) bool { return a.Version == b.Version && a.Shards == b.Shards }) {
			t.Fatal("the same reports gave a different catalog")
		}
	})
}

func holdsShard(r leafReport, version uint64, shards, shard uint32) bool {
	return slices.ContainsFunc(r.status.Indexes, func(ix contract.LeafIndex) bool {
		return ix.Version == version && ix.Shards == shards && slices.Contains(ix.HeldShards, shard)
	})
}
