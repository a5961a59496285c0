package baseline

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
	"pearmoor/internal/standin"
)

// Leaf is a leaf that holds replicas of shards.
type Leaf struct {
	Addr  string
	Slots int
}

// Target is a shard with the leaves that hold it.
type Target struct {
	Service      string
	Shard        uint32
	IndexVersion uint64
	Leaves       []*Leaf
}

// Discover asks the simulated leaves which shards they hold of the services at or
// below path. It returns the shards of the newest index version of each service.
func Discover(ctx context.Context, client *http.Client, statsURL, path string) ([]Target, error) {
	var st standin.FleetStats
	if err := getJSON(ctx, client, strings.TrimSpace(statsURL)+standin.StatsPath, &st); err != nil {
		return nil, err
	}
	shards := map[string]map[uint32][]*Leaf{}
	versions := map[string]uint64{}
	for _, l := range st.Leaves {
		var status contract.LeafStatus
		if err := getJSON(ctx, client, "http://"+l.Addr+contract.LeafStatusPath, &status); err != nil {
			return nil, err
		}
		leaf := &Leaf{Addr: l.Addr, Slots: l.Slots}
		for _, x := range status.Indexes {
			if !atOrBelow(x.Service, path) || x.Version < versions[x.Service] {
				continue
			}
			if x.Version > versions[x.Service] {
				versions[x.Service] = x.Version
				shards[x.Service] = map[uint32][]*Leaf{}
			}
			for _, s := range x.HeldShards {
				shards[x.Service][s] = append(shards[x.Service][s], leaf)
			}
		}
	}
	return sortedTargets(shards, versions), nil
}

func sortedTargets(shards map[string]map[uint32][]*Leaf, versions map[string]uint64) []Target {
	var out []Target
	for service, held := range shards {
		for shard, replicas := range held {
			out = append(out, Target{Service: service, Shard: shard, IndexVersion: versions[service], Leaves: replicas})
		}
	}
	slices.SortFunc(out, func(a, b Target) int {
		if c := strings.Compare(a.Service, b.Service); c != 0 {
			return c
		}
		return int(a.Shard) - int(b.Shard)
	})
	return out
}

func atOrBelow(service, path string) bool {
	path = strings.Trim(path, "/")
	return path == "" || service == path || strings.HasPrefix(service, path+"/")
}

func getJSON(ctx context.Context, client *http.Client, url string, v any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("%s: %s", url, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(v)
}
