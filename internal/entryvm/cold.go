package entryvm

import (
	"sync"

	"pearmoor/internal/discovery"
	"pearmoor/internal/policy"
	"pearmoor/internal/route"
	"pearmoor/internal/vm"
)

// coldSenders caches, for the newest two memberships, the daemons among which the shares of
// cold leaves are divided.
type coldSenders struct {
	mu      sync.Mutex
	entries [2]coldSendersOf
	next    int
}

// coldSendersOf are the roles of the daemons with one membership and one routing table.
type coldSendersOf struct {
	membership *vm.Membership
	table      *route.Table
	roles      roles
}

// in returns the daemons that send to the leaves of a service.
func (c *coldSenders) in(ms *vm.Membership, table *route.Table, service string) []*vm.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.entries {
		if e := &c.entries[i]; e.membership == ms && e.table == table {
			return e.of(service)
		}
	}
	// Only what all daemons agree on may be used: not which daemons this one has heard from.
	var serving []*vm.Member
	for i := range ms.Members {
		if m := &ms.Members[i]; acceptsCallers(m) {
			serving = append(serving, m)
		}
	}
	e := &c.entries[c.next]
	c.next = (c.next + 1) % len(c.entries)
	*e = coldSendersOf{ms, table, computeRoles(serving, requiredMillicores(table))}
	return e.of(service)
}

// of returns the daemons that run gathers for a shard, else those that callers are sent to.
func (e *coldSendersOf) of(service string) []*vm.Member {
	if e.table != nil && e.table.IsShard(service) {
		return e.roles.sufficientCPU
	}
	return e.roles.eligible
}

// coldShare returns what this daemon may send to a leaf while it is cold. While a new
// membership is being settled, it is the smaller one of the shares in both.
func (v *VM) coldShare(l *discovery.Leaf, rate float64) policy.ColdShare {
	view, table := v.client.Current(), v.engine.Table()
	if view.Settled == nil {
		return policy.ColdShare{}
	}
	share := policy.NewColdShare(rate, l.ID, v.conf.Name, v.coldSenders.in(view.Settled, table, l.Service))
	if view.Pending != nil {
		share = share.Min(policy.NewColdShare(rate, l.ID, v.conf.Name, v.coldSenders.in(view.Pending, table, l.Service)))
	}
	return share
}

// holdsShares reports whether no other daemon uses the shares of this one.
func (v *VM) holdsShares() bool { return v.client.Current().HoldsLease(vm.Now()) }

// regionOf returns the region of a failure domain, "" if it is unknown.
func (v *VM) regionOf(domain string) string {
	if region, ok := v.conf.DomainRegions[domain]; ok {
		return region
	}
	if domain == v.conf.Domain {
		return v.conf.Region
	}
	if ms := v.client.Current().Membership(); ms != nil {
		for i := range ms.Members {
			if ms.Members[i].Domain == domain {
				return ms.Members[i].Region
			}
		}
	}
	return ""
}
