package settings

import (
	"fmt"
	"slices"
	"time"

	"pearmoor/internal/contract"
)

// leaseMargin bounds the part of a daemon's lease that has elapsed when a request
// arrives. It is longer than the interval between lease confirmations.
const leaseMargin = 2 * time.Second

// conflictRule rejects a combination of settings that are each within their range.
type rule struct {
	names  []string // the settings that the rule compares; a fault names the first one set at the node
	broken func(e *Effective, t Tier) bool
	why    string
	fix    string
}

// conflictRules are checked at every node whose effective values changed.
var rules = []rule{
	{
		names:  []string{nameHedgeAfter, nameDeadlineDefault},
		broken: func(e *Effective, _ Tier) bool { return e.HedgeAfter >= e.DeadlineDefault },
		why:    "a hedge would come no earlier than deadline-default",
		fix:    "set hedge-after below deadline-default, or to 0s",
	},
	{
		names:  []string{nameDeadlineDefault, nameDeadlineMax},
		broken: func(e *Effective, _ Tier) bool { return e.DeadlineDefault > e.DeadlineMax },
		why:    "the default deadline is longer than the longest one",
		fix:    "lower deadline-default or raise deadline-max",
	},
	{
		names:  []string{nameConnectCost, nameDeadlineDefault},
		broken: func(e *Effective, _ Tier) bool { return e.ConnectCost >= e.DeadlineDefault },
		why:    "a new connection would outlast deadline-default",
		fix:    "lower connect-cost or raise deadline-default",
	},
	{
		names:  []string{nameHomes, nameLeafSlots},
		broken: func(e *Effective, _ Tier) bool { return e.Homes > e.LeafSlots },
		why:    "a home would be left without a slot of a leaf",
		fix:    "set homes to leaf-slots at most",
	},
	{
		names:  []string{nameLeafConnections, nameLeafSlots},
		broken: func(e *Effective, _ Tier) bool { return e.LeafConnections < e.LeafSlots },
		why:    "a leaf's slots can't all be used over so few connections",
		fix:    "set leaf-connections to leaf-slots at least",
	},
	{
		names:  []string{nameDeadlineMax, nameDaemonLease},
		broken: func(e *Effective, t Tier) bool { return e.DeadlineMax+leaseMargin > t.DaemonLease },
		why:    "a request could outlive the lease of the daemon that runs it",
		fix:    fmt.Sprintf("keep deadline-max %v or more below daemon-lease", leaseMargin),
	},
	{
		names:  []string{nameProbeInterval, nameDaemonLease},
		broken: func(e *Effective, t Tier) bool { return 2*e.ProbeInterval > t.DaemonLease },
		why:    "a home's lease could run out before it has probed its leaves twice",
		fix:    "set probe-interval to half of daemon-lease at most",
	},
	{
		names:  []string{nameDeadlineMax, nameResendWindow},
		broken: func(e *Effective, t Tier) bool { return e.DeadlineMax > t.ResendWindow },
		why:    "a key could be forgotten while its caller still waits for the answer",
		fix:    "raise resend-window to deadline-max at least",
	},
}

// checker collects the faults of the tree that a change would produce.
type checker struct {
	tree   *Tree
	faults contract.Faults
	moved  []*Effective // query services whose leaf lists changed
}

// check returns every fault of t at nodes whose effective values differ from those in
// old. A change of a tier setting is a change of the root, so all nodes are checked
// against it.
func (t *Tree) check(old *Tree) contract.Faults {
	c := checker{tree: t}
	c.walk(t.top, old.top)
	return append(c.faults, sharedLeaves(t, c.moved)...)
}

// checkNode checks r and its descendants. It skips subtrees shared with the old tree.
func (c *checker) walk(r, old *resolved) {
	if r == old {
		return
	}
	if old == nil || r.eff != old.eff {
		c.rules(r)
	}
	if r.isService() || len(r.eff.Drained) > 0 {
		c.service(r, old)
	}
	older := old.cursor()
	for _, child := range r.children {
		c.walk(child, older.seek(child.decl.name))
	}
}

// checkRules reports a conflict at a node that sets at least one of the conflicting
// settings itself. Nodes that inherit all of them report nothing, so one conflict is
// not repeated for every node below.
func (c *checker) rules(r *resolved) {
	for i := range rules {
		ru := &rules[i]
		if !ru.broken(r.eff, c.tree.tier) {
			continue
		}
		if name := stating(r, ru.names); name != "" {
			c.add(r, name, ru.why, ru.fix)
		}
	}
}

// firstAssigned returns the first of names that node r sets itself, or "". At the root
// every conflict involves at least one value set there, because the defaults do not
// conflict with one another.
func stating(r *resolved, names []string) string {
	for _, name := range names {
		if r.decl.holds(name) {
			return name
		}
	}
	return ""
}

// checkService records changed leaf lists and checks the settings leaves and drained.
func (c *checker) service(r, old *resolved) {
	if old == nil || !sameSlice(r.eff.Leaves, old.eff.Leaves) {
		c.moved = append(c.moved, r.eff)
	}
	if r.isService() && len(r.children) > 0 {
		c.add(r, nameLeaves, "a query service has no nodes below it", "unset leaves, or remove the nodes below")
	}
	for _, name := range r.eff.Drained {
		if !slices.ContainsFunc(r.eff.Leaves, func(l Leaf) bool { return l.Name == name }) {
			c.add(r, nameDrained, fmt.Sprintf("the query service has no leaf %q", name), "leave it out of drained")
		}
	}
}

func (c *checker) add(r *resolved, name, why, fix string) {
	c.faults = append(c.faults, contract.Fault{Field: fieldOf(r.eff.Path, name), Value: c.show(r, name), Why: why, Fix: fix})
}

// effectiveText returns the text of the effective value of a setting at r, for a fault.
func (c *checker) show(r *resolved, name string) string {
	s, ok := c.tree.schema.lookup(name)
	if !ok {
		return ""
	}
	segments, _ := splitPath(r.eff.Path)
	return short(c.tree.chain(segments).value(s))
}
