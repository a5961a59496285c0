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

// Origin is the data of every hit. It allows the reader to check that an answer comes from
// one index version and that no document is lost or duplicated.
type Origin struct {
	Version   uint64 `json:"version"`
	Shards    uint32 `json:"shards"`            // size of that version's partition map
	Documents int    `json:"documents"`         // of the query service, over all its shards
	RunKey    string `json:"run_key,omitempty"` // from the body of the answered request
}

// DocumentID returns the id of the n-th document of a query service.
func DocumentID(service string, n int) string {
	return service + "#" + strconv.Itoa(n)
}

// ShardOf returns the shard that holds the n-th document in an index version with the
// given number of shards.
func ShardOf(service string, version uint64, shards uint32, n int) uint32 {
	if shards == 0 {
		return 0
	}
	sum := xxhash.Sum64String(fmt.Sprintf("%s\x00%d\x00%d", service, version, n))
	return uint32(sum % uint64(shards))
}

// Hits returns a hit for every document of one shard.
func Hits(service string, shard uint32, origin Origin) []contract.Hit {
	data, err := json.Marshal(origin)
	if err != nil {
		panic(err) // a struct of numbers and strings can always be encoded
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

// HeldShards returns the shards that leaf i of n holds. If n is at most 2, every leaf holds
// all shards; otherwise leaves s and s+1, modulo n, hold shard s.
func HeldShards(i, n int, shards uint32) []uint32 {
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

// DefaultShards returns the number of shards of a service with n leaves.
func DefaultShards(n int) uint32 {
	const replicas = 2
	if n <= replicas {
		return replicas
	}
	return uint32(n)
}
