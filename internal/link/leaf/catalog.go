package leaf

import (
	"cmp"
	"slices"

	"pearmoor/internal/contract"
	"pearmoor/internal/settings"
)

// Snapshot is one index version of a query service with its partition map.
type Snapshot struct {
	Version uint64
	Shards  uint32            // size of the version's partition map
	Holders [][]settings.Leaf // by shard: the live leaves that hold it and take new work
}

// Complete reports whether every shard has a live holder.
func (s *Snapshot) Complete() bool {
	for _, h := range s.Holders {
		if len(h) == 0 {
			return false
		}
	}
	return true
}

// report is what is known of one leaf when the catalog is built.
type report struct {
	leaf   settings.Leaf
	status *contract.LeafStatus
	live   bool // recently heard of and taking new work
}

// snapshots lists a service's index versions, newest first. A version that only
// leaves out of reach hold is still listed, so that coverage stays true.
func snapshots(service string, reports []report) []Snapshot {
	shards := agreedShards(service, reports)
	list := make([]Snapshot, 0, len(shards))
	for version, n := range shards {
		list = append(list, Snapshot{Version: version, Shards: n, Holders: make([][]settings.Leaf, n)})
	}
	slices.SortFunc(list, func(a, b Snapshot) int { return cmp.Compare(b.Version, a.Version) })
	for i := range reports {
		if reports[i].live {
			addHolder(list, service, &reports[i])
		}
	}
	return list
}

func addHolder(list []Snapshot, service string, r *report) {
	for _, ix := range r.status.Indexes {
		if ix.Service != service {
			continue
		}
		for i := range list {
			s := &list[i]
			if s.Version != ix.Version || s.Shards != ix.Shards {
				continue
			}
			for _, shard := range ix.Held {
				if !slices.Contains(s.Holders[shard], r.leaf) {
					s.Holders[shard] = append(s.Holders[shard], r.leaf)
				}
			}
		}
	}
}

// agreedShards returns the size of each version's partition map: the one most
// leaves state, the larger of equals. A leaf that states another is not asked
// for that version: its shards are not those that coverage counts.
func agreedShards(service string, reports []report) map[uint64]uint32 {
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
		known, ok := best[c.version]
		mine, other := votes[c], votes[claim{c.version, known}]
		if !ok || mine > other || mine == other && c.shards > known {
			best[c.version] = c.shards
		}
	}
	return best
}
