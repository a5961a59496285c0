package standin

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"pearmoor/internal/contract"
)

// DefaultDocuments is the number of documents of each query service.
const DefaultDocuments = 32

// Origin is the data of every hit: enough to tell whether the whole answer is
// one index version with no document lost or doubled.
type Origin struct {
	Version   uint64 `json:"version"`
	Shards    uint32 `json:"shards"`            // size of that version's partition map
	Documents int    `json:"documents"`         // of the query service, over all its shards
	RunKey    string `json:"run_key,omitempty"` // from the body of the request that was answered
}

// DocumentID names the n-th document of a query service.
func DocumentID(service string, n int) string {
	return service + "#" + strconv.Itoa(n)
}

// ShardOf returns the one shard that holds the n-th document at a version with
// the given number of shards.
func ShardOf(service string, version uint64, shards uint32, n int) uint32 {
	if shards == 0 {
		return 0
	}
	sum := xxhash.Sum64String(fmt.Sprintf("%s\x00%d\x00%d", service, version, n))
	return uint32(sum % uint64(shards))
}

// Hits returns the hits of one shard: all its documents.
func Hits(service string, shard uint32, origin Origin) []contract.Hit {
	data, err := json.Marshal(origin)
	if err != nil {
		panic(err) // a struct of numbers always marshals
	}
	hits := []contract.Hit{}
	for n := range origin.Documents {
		if ShardOf(service, origin.Version, origin.Shards, n) != shard {
			continue
		}
		id := DocumentID(service, n)
		hits = append(hits, contract.Hit{ID: id, Score: score(id), Data: data})
	}
	return hits
}

func score(id string) float64 {
	const buckets = 1 << 20
	return float64(xxhash.Sum64String(id)%buckets) / buckets
}

// Layout returns the shards that leaf number i of n holds. Up to two leaves are
// whole replicas; of more, shard s lies on leaves s and s+1, modulo n.
func Layout(i, n int, shards uint32) []uint32 {
	held := []uint32{}
	for s := range shards {
		first := int(s) % n
		second := (first + 1) % n
		if n <= 2 || i == first || i == second {
			held = append(held, s)
		}
	}
	return held
}

// DefaultShards is the size of the partition map of a service with n leaves.
func DefaultShards(n int) uint32 {
	const replicated = 2
	if n <= replicated {
		return replicated
	}
	return uint32(n)
}
