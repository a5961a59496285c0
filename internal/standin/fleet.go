package standin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"pearmoor/internal/contract"
)

// ServiceSpec describes a query service whose leaves StartFleet starts.
type ServiceSpec struct {
	Path     string
	Leaves   []string // names, in the order of the tree
	Behavior Behavior
	Shards   uint32 // of the first index version; 0 means DefaultShards
}

// FleetConfig describes the leaves of a whole tier.
type FleetConfig struct {
	Services  []ServiceSpec
	Host      string // address to listen on, without port
	Documents int    // of each query service; 0 means DefaultDocuments
	Seed      uint64
}

// FirstVersion is the index version with which all leaves start.
const FirstVersion = 1

// Fleet is a set of running leaves.
type Fleet struct {
	runs     *Runs
	platform *Platform
	leaves   []fleetLeaf
}

// fleetLeaf is a leaf with its position among the leaves of its service.
type fleetLeaf struct {
	*Leaf
	service string
	index   int // 0 to count-1
	count   int
}

// StartFleet starts all leaves. Close or Shutdown stops them.
func StartFleet(cfg FleetConfig) (*Fleet, error) {
	f := &Fleet{runs: NewRuns(DefaultRunMemory), platform: NewPlatform(time.Now)}
	for _, s := range cfg.Services {
		if err := f.startService(cfg, s); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) startService(cfg FleetConfig, s ServiceSpec) error {
	shards := s.Shards
	if shards == 0 {
		shards = DefaultShards(len(s.Leaves))
	}
	for i, name := range s.Leaves {
		l, err := StartLeaf(LeafConfig{
			Name:   name,
			Listen: cfg.Host + ":0",
			Indexes: []contract.LeafIndex{{
				Service: s.Path, Version: FirstVersion, Shards: shards, HeldShards: HeldShards(i, len(s.Leaves), shards),
			}},
			Documents: cfg.Documents,
			Behavior:  s.Behavior,
			Seed:      cfg.Seed ^ xxhash.Sum64String(fmt.Sprintf("%s/%s", s.Path, name)),
			Runs:      f.runs,
		})
		if err != nil {
			return err
		}
		f.leaves = append(f.leaves, fleetLeaf{Leaf: l, service: s.Path, index: i, count: len(s.Leaves)})
	}
	return nil
}

// Leaves returns the leaves in the order of FleetConfig.Services.
func (f *Fleet) Leaves() []*Leaf {
	out := make([]*Leaf, len(f.leaves))
	for i := range f.leaves {
		out[i] = f.leaves[i].Leaf
	}
	return out
}

// Addr returns the address of a leaf of a service, or "" if there is no such leaf.
func (f *Fleet) Addr(service, leaf string) string {
	for i := range f.leaves {
		if f.leaves[i].service == service && f.leaves[i].Name() == leaf {
			return f.leaves[i].Addr()
		}
	}
	return ""
}

// Runs returns the run counter that all leaves share.
func (f *Fleet) Runs() *Runs { return f.runs }

// Platform returns the stand-in for the platform's list of VMs.
func (f *Fleet) Platform() *Platform { return f.platform }

// Close stops all leaves and closes their connections without waiting for requests.
func (f *Fleet) Close() {
	f.each(func(l fleetLeaf) { _ = l.Close() })
}

// Shutdown stops all leaves after the requests in flight, or when ctx ends.
func (f *Fleet) Shutdown(ctx context.Context) {
	f.each(func(l fleetLeaf) { _ = l.Shutdown(ctx) })
}

func (f *Fleet) each(do func(fleetLeaf)) {
	var wg sync.WaitGroup
	for _, l := range f.leaves {
		wg.Go(func() { do(l) })
	}
	wg.Wait()
}

// FleetStats is the reply to GET /stats.
type FleetStats struct {
	Runs   RunStats    `json:"runs"`
	Leaves []LeafStats `json:"leaves"`
}

// Stats returns the counters of all leaves. If takeWindow is set, it also starts a new window
// of in-flight peaks.
func (f *Fleet) Stats(takeWindow bool) FleetStats {
	st := FleetStats{Runs: f.runs.Stats(), Leaves: make([]LeafStats, len(f.leaves))}
	for i, l := range f.leaves {
		st.Leaves[i] = l.Stats(takeWindow)
	}
	return st
}
