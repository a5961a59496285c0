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
const describeWait = 100 * time.Millisecond

// groupVersions lists the index versions of the leaf groups of one scope, as known to the
// entry.
type catalog map[unit][]versionState

// versionsOf returns the index versions of groups. For groups that this daemon is a home of
// they are current; for others they are what a home last reported, fetched again if that is
// older than maxAge.
func (e *Engine) known(ctx context.Context, targets []*target, life time.Duration) catalog {
	c := make(catalog, len(targets))
	var ask []*target
	now := e.Clock()
	for _, t := range targets {
		if isHome(t, e.Self) {
			c[t.unit] = states(e.snapshots(t.unit, t.eff))
			continue
		}
		if seen := e.route(t).versions.Load(); seen != nil && now.Sub(seen.at) < life {
			c[t.unit] = seen.states
			continue
		}
		ask = append(ask, t)
	}
	e.describe(ctx, ask, c)
	return c
}

// isHome reports whether self is a home of the leaf group.
func isHome(t *target, self vm.Identity) bool {
	return slices.ContainsFunc(t.placed.Homes, func(m vm.Member) bool { return m.Same(self) })
}

// fetchVersions asks a home of each group for its index versions, with one call per daemon,
// and stores them in versions.
func (e *Engine) describe(ctx context.Context, targets []*target, into catalog) {
	byHome := make(map[string][]*target)
	for _, t := range targets {
		if homes := e.order(t, e.route(t)); len(homes) > 0 {
			byHome[homes[0].PeerAddr] = append(byHome[homes[0].PeerAddr], t)
		}
	}
	if len(byHome) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, describeWait)
	defer cancel()
	var wg sync.WaitGroup
	for addr, ts := range byHome {
		wg.Go(func() { e.describeAt(ctx, addr, ts) })
	}
	wg.Wait()
	for _, t := range targets {
		if seen := e.route(t).versions.Load(); seen != nil {
			into[t.unit] = seen.states
		}
	}
}

// fetchVersionsFrom asks the daemon at addr for the index versions of groups and records them
// in their routes.
func (e *Engine) describeAt(ctx context.Context, addr string, targets []*target) {
	conn, err := e.Conns.Conn(ctx, addr)
	if err != nil {
		return // the query itself tries other homes
	}
	defer conn.Close()
	req := &wire.DescribeRequest{}
	for _, t := range targets {
		req.Groups = append(req.Groups, &wire.LeafGroup{Service: t.service, Group: uint32(t.group)})
	}
	reply, err := wire.NewDRPCHomeClient(conn).Describe(ctx, req)
	if err != nil || len(reply.Groups) != len(targets) {
		return
	}
	now := e.Clock()
	for i, t := range targets {
		if vs := versionsFromWire(reply.Groups[i].Versions); len(vs) > 0 {
			e.route(t).versions.Store(&seenVersions{vs, now})
		}
	}
}

// versionCoverage is the coverage of one index version over the services of a scope.
type versionCoverage struct {
	version uint64
	live    int
	total   int
	lacking int // number of services that don't have the version at all
}

func (v versionCoverage) complete() bool { return v.lacking == 0 && v.live == v.total }

// pickVersion returns the newest version that is complete in every service. If there is
// none, it returns the one with the largest fraction of live shards, and the newest of those
// that tie. It returns 0 when no version is known.
func (c catalog) pick() (version uint64, complete bool) {
	all := c.coverages()
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
func (c catalog) coverages() []versionCoverage {
	merged := c.byService()
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
				cov.live += s.live.len()
				cov.total += int(s.shards)
				continue
			}
			cov.lacking++
			cov.total += newestShards(vs)
		}
		out = append(out, cov)
	}
	return out
}

// byService merges the groups of each service: a shard is live if it is live in any group.
func (c catalog) byService() map[string]map[uint64]versionState {
	out := make(map[string]map[uint64]versionState)
	for u, vs := range c {
		m := out[u.service]
		if m == nil {
			m = make(map[uint64]versionState)
			out[u.service] = m
		}
		for _, v := range vs {
			m[v.version] = join(m[v.version], v)
		}
	}
	return out
}

// mergeVersionStates returns the state of a version over two groups of a service.
func join(a, b versionState) versionState {
	out := versionState{version: b.version, shards: max(a.shards, b.shards)}
	out.live = newShardSet(out.shards)
	copy(out.live, a.live)
	for i := range min(len(b.live), len(out.live)) {
		out.live[i] |= b.live[i]
	}
	return out
}

// newestShardCount returns the number of shards of the newest version, at least 1.
func newestShards(vs map[uint64]versionState) int {
	var newest versionState
	for _, v := range vs {
		if v.version >= newest.version {
			newest = v
		}
	}
	return max(1, int(newest.shards))
}
