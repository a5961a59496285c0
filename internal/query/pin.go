package query

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/vm"
)

// describeTimeout bounds how long a query waits for homes to list their index versions.
const describeTimeout = 100 * time.Millisecond

// groupVersions lists the index versions of the leaf groups of one scope, as known to the
// entry.
type groupVersions map[leafGroup][]versionState

// versionsOf returns the index versions of groups. For groups that this daemon is a home of
// they are current; for others they are what a home last reported, fetched again if that is
// older than maxAge.
func (e *Engine) versionsOf(ctx context.Context, groups []*placedGroup, maxAge time.Duration) groupVersions {
	result := make(groupVersions, len(groups))
	var stale []*placedGroup
	now := e.Clock()
	for _, g := range groups {
		if isHome(g, e.Self) {
			result[g.leafGroup] = versionStates(e.snapshots(g.leafGroup, g.eff))
			continue
		}
		if seen := e.routeFor(g).versions.Load(); seen != nil && now.Sub(seen.reportedAt) < maxAge {
			result[g.leafGroup] = seen.states
			continue
		}
		stale = append(stale, g)
	}
	e.fetchVersions(ctx, stale, result)
	return result
}

// isHome reports whether self is a home of the leaf group.
func isHome(g *placedGroup, self vm.Identity) bool {
	return slices.ContainsFunc(g.placement.Homes, func(m vm.Member) bool { return m.SameIncarnation(self) })
}

// fetchVersions asks a home of each group for its index versions, with one call per daemon,
// and stores them in versions.
func (e *Engine) fetchVersions(ctx context.Context, groups []*placedGroup, versions groupVersions) {
	byHome := make(map[string][]*placedGroup)
	for _, g := range groups {
		if homes := e.orderHomes(g, e.routeFor(g)); len(homes) > 0 {
			byHome[homes[0].PeerAddr] = append(byHome[homes[0].PeerAddr], g)
		}
	}
	if len(byHome) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, describeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for addr, homeGroups := range byHome {
		wg.Go(func() { e.fetchVersionsFrom(ctx, addr, homeGroups) })
	}
	wg.Wait()
	for _, g := range groups {
		if seen := e.routeFor(g).versions.Load(); seen != nil {
			versions[g.leafGroup] = seen.states
		}
	}
}

// fetchVersionsFrom asks the daemon at addr for the index versions of groups and records them
// in their routes.
func (e *Engine) fetchVersionsFrom(ctx context.Context, addr string, groups []*placedGroup) {
	conn, err := e.Conns.Conn(ctx, addr)
	if err != nil {
		return // the query itself tries other homes
	}
	defer conn.Close()
	req := &wire.DescribeRequest{}
	for _, g := range groups {
		req.Groups = append(req.Groups, &wire.LeafGroup{Service: g.service, Group: uint32(g.group)})
	}
	reply, err := wire.NewDRPCHomeClient(conn).Describe(ctx, req)
	if err != nil || len(reply.Groups) != len(groups) {
		return
	}
	now := e.Clock()
	for i, g := range groups {
		if vs := versionsFromWire(reply.Groups[i].Versions); len(vs) > 0 {
			e.routeFor(g).versions.Store(&reportedVersions{vs, now})
		}
	}
}

// versionCoverage is the coverage of one index version over the services of a scope.
type versionCoverage struct {
	version         uint64
	live            int
	total           int
	servicesWithout int // number of services that don't have the version at all
}

func (v versionCoverage) complete() bool { return v.servicesWithout == 0 && v.live == v.total }

// pickVersion returns the newest version that is complete in every service. If there is
// none, it returns the one with the largest fraction of live shards, and the newest of those
// that tie. It returns 0 when no version is known.
func (gv groupVersions) pickVersion() (version uint64, complete bool) {
	all := gv.coverages()
	if len(all) == 0 {
		return 0, false
	}
	best := slices.MaxFunc(all, func(a, b versionCoverage) int {
		if a.complete() != b.complete() {
			if a.complete() {
				return 1
			}
			return -1
		}
		if !a.complete() {
			if d := cmp.Compare(a.live*b.total, b.live*a.total); d != 0 {
				return d
			}
		}
		return cmp.Compare(a.version, b.version)
	})
	return best.version, best.complete()
}

// coverages returns the coverage of every version that any service has. A service without a
// version counts with the number of shards of its newest version, so that the weight of a
// service is proportional to its size.
func (gv groupVersions) coverages() []versionCoverage {
	merged := gv.byService()
	versions := make(map[uint64]bool)
	for _, vs := range merged {
		for v := range vs {
			versions[v] = true
		}
	}
	out := make([]versionCoverage, 0, len(versions))
	for v := range versions {
		cov := versionCoverage{version: v}
		for _, vs := range merged {
			if s, ok := vs[v]; ok {
				cov.live += s.liveShards.len()
				cov.total += int(s.shards)
				continue
			}
			cov.servicesWithout++
			cov.total += newestShardCount(vs)
		}
		out = append(out, cov)
	}
	return out
}

// byService merges the groups of each service: a shard is live if it is live in any group.
func (gv groupVersions) byService() map[string]map[uint64]versionState {
	out := make(map[string]map[uint64]versionState)
	for g, vs := range gv {
		m := out[g.service]
		if m == nil {
			m = make(map[uint64]versionState)
			out[g.service] = m
		}
		for _, v := range vs {
			m[v.version] = mergeVersionStates(m[v.version], v)
		}
	}
	return out
}

// mergeVersionStates returns the state of a version over two groups of a service.
func mergeVersionStates(a, b versionState) versionState {
	out := versionState{version: b.version, shards: max(a.shards, b.shards)}
	out.liveShards = newShardSet(out.shards)
	copy(out.liveShards, a.liveShards)
	for i := range min(len(b.liveShards), len(out.liveShards)) {
		out.liveShards[i] |= b.liveShards[i]
	}
	return out
}

// newestShardCount returns the number of shards of the newest version, at least 1.
func newestShardCount(vs map[uint64]versionState) int {
	var newest versionState
	for _, v := range vs {
		if v.version >= newest.version {
			newest = v
		}
	}
	return max(1, int(newest.shards))
}
