package leaf

import (
	"cmp"
	"slices"

	"pearmoor/internal/contract"
	"pearmoor/internal/settings"
)

// Snapshot is one index version of a query service and the leaves that serve its shards.
type Snapshot struct {
	Version       uint64
	Shards        uint32            // number of shards in the version's partition map
	LeavesByShard [][]settings.Leaf // indexed by shard: the live leaves that hold it
}

// Complete reports whether every shard is held by at least one live leaf.
func (s *Snapshot) Complete() bool {
	for _, h := range s.LeavesByShard {
		if len(h) == 0 {
			return false
		}
	}
	return true
}

// leafReport is the state of one leaf from which the catalog is built.
type leafReport struct {
	leaf   settings.Leaf
	status *contract.LeafStatus
	live   bool // responded recently and is not draining
}

// snapshots returns a service's index versions, newest first. A version that is held
// only by leaves that are not live is included, so that its shards count as missing in the
// coverage of a query.
func snapshots(service string, reports []leafReport) []Snapshot {
	shards := majorityShardCounts(service, reports)
	list := make([]Snapshot, 0, len(shards))
	for version, n := range shards {
		list = append(list, Snapshot{Version: version, Shards: n, LeavesByShard: make([][]settings.Leaf, n)})
	}
	slices.SortFunc(list, func(a, b Snapshot) int { return cmp.Compare(b.Version, a.Version) })
	for i := range reports {
		if reports[i].live {
			addLeaf(list, service, &reports[i])
		}
	}
	return list
}

// addLeaf adds a leaf to the snapshots of the index versions that it holds.
func addLeaf(list []Snapshot, service string, r *leafReport) {
	for _, ix := range r.status.Indexes {
		if ix.Service != service {
			continue
		}
		for i := range list {
			s := &list[i]
			if s.Version != ix.Version || s.Shards != ix.Shards {
				continue
			}
			for _, shard := range ix.HeldShards {
				if !slices.Contains(s.LeavesByShard[shard], r.leaf) {
					s.LeavesByShard[shard] = append(s.LeavesByShard[shard], r.leaf)
				}
			}
		}
	}
}

// majorityShardCounts returns the shard count of each index version: the one that most
// leaves report, and the larger one on a tie. A leaf that reports a different count is not
// used for that version, because its shards do not match those that coverage is computed
// over.
func majorityShardCounts(service string, reports []leafReport) map[uint64]uint32 {
	type claim struct {
		version uint64
		shards  uint32
	}
	votes := make(map[claim]int)
	for i := range reports {
		for _, ix := range reports[i].status.Indexes {
			if ix.Service == service {
				votes[claim{ix.Version, ix.Shards}]++
			}
		}
	}
	best := make(map[uint64]uint32)
	for c := range votes {
		current, ok := best[c.version]
		candidateVotes, currentVotes := votes[c], votes[claim{c.version, current}]
		if !ok || candidateVotes > currentVotes || candidateVotes == currentVotes && c.shards > current {
			best[c.version] = c.shards
		}
	}
	return best
}
