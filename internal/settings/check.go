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
type conflictRule struct {
	names    []string // the settings that the rule compares; a fault names the first one set at the node
	violated func(e *Effective, t Tier) bool
	why      string
	fix      string
}

// conflictRules are checked at every node whose effective values changed.
var conflictRules = []conflictRule{
	{
		names:    []string{nameHedgeAfter, nameDeadlineDefault},
		violated: func(e *Effective, _ Tier) bool { return e.HedgeAfter >= e.DeadlineDefault },
		why:      "a hedge would come no earlier than deadline-default",
		fix:      "set hedge-after below deadline-default, or to 0s",
	},
	{
		names:    []string{nameDeadlineDefault, nameDeadlineMax},
		violated: func(e *Effective, _ Tier) bool { return e.DeadlineDefault > e.DeadlineMax },
		why:      "the default deadline is longer than the longest one",
		fix:      "lower deadline-default or raise deadline-max",
	},
	{
		names:    []string{nameConnectCost, nameDeadlineDefault},
		violated: func(e *Effective, _ Tier) bool { return e.ConnectCost >= e.DeadlineDefault },
		why:      "a new connection would outlast deadline-default",
		fix:      "lower connect-cost or raise deadline-default",
	},
	{
		names:    []string{nameHomes, nameLeafSlots},
		violated: func(e *Effective, _ Tier) bool { return e.Homes > e.LeafSlots },
		why:      "a home would be left without a slot of a leaf",
		fix:      "set homes to leaf-slots at most",
	},
	{
		names:    []string{nameLeafConnections, nameLeafSlots},
		violated: func(e *Effective, _ Tier) bool { return e.LeafConnections < e.LeafSlots },
		why:      "a leaf's slots can't all be used over so few connections",
		fix:      "set leaf-connections to leaf-slots at least",
	},
	{
		names:    []string{nameDeadlineMax, nameDaemonLease},
		violated: func(e *Effective, t Tier) bool { return e.DeadlineMax+leaseMargin > t.DaemonLease },
		why:      "a request could outlive the lease of the daemon that runs it",
		fix:      fmt.Sprintf("keep deadline-max %v or more below daemon-lease", leaseMargin),
	},
	{
		names:    []string{nameProbeInterval, nameDaemonLease},
		violated: func(e *Effective, t Tier) bool { return 2*e.ProbeInterval > t.DaemonLease },
		why:      "a home's lease could run out before it has probed its leaves twice",
		fix:      "set probe-interval to half of daemon-lease at most",
	},
	{
		names:    []string{nameDeadlineMax, nameResendWindow},
		violated: func(e *Effective, t Tier) bool { return e.DeadlineMax > t.ResendWindow },
		why:      "a key could be forgotten while its caller still waits for the answer",
		fix:      "raise resend-window to deadline-max at least",
	},
}

// checker collects the faults of the tree that a change would produce.
type checker struct {
	tree            *Tree
	faults          contract.Faults
	changedServices []*Effective // query services whose leaf lists changed
	organisations   []*Effective // organisations that changed
}

// check returns every fault of t at nodes whose effective values differ from those in
// old. A change of a tier setting is a change of the root, so all nodes are checked
// against it.
func (t *Tree) check(old *Tree) contract.Faults {
	c := checker{tree: t}
	c.checkNode(t.resolvedRoot, old.resolvedRoot)
	return slices.Concat(c.faults, checkSharedLeaves(t, c.changedServices), checkOrganisations(t, c.organisations))
}

// checkNode checks r and its descendants. It skips subtrees shared with the old tree.
func (c *checker) checkNode(r, old *resolvedNode) {
	if r == old {
		return
	}
	if old == nil || r.eff != old.eff {
		c.checkRules(r)
		if r.isOrganisation() {
			c.organisations = append(c.organisations, r.eff)
		}
	}
	if r.isService() || len(r.eff.Drained) > 0 {
		c.checkService(r, old)
	}
	oldChildren := old.cursor()
	for _, child := range r.children {
		c.checkNode(child, oldChildren.seek(child.node.name))
	}
}

// checkRules reports a conflict at a node that sets at least one of the conflicting
// settings itself. Nodes that inherit all of them report nothing, so one conflict is
// not repeated for every node below.
func (c *checker) checkRules(r *resolvedNode) {
	for i := range conflictRules {
		rule := &conflictRules[i]
		if !rule.violated(r.eff, c.tree.tier) {
			continue
		}
		if name := firstAssigned(r, rule.names); name != "" {
			c.addFault(r, name, rule.why, rule.fix)
		}
	}
}

// firstAssigned returns the first of names that node r sets itself, or "". At the root
// every conflict involves at least one value set there, because the defaults do not
// conflict with one another.
func firstAssigned(r *resolvedNode, names []string) string {
	for _, name := range names {
		if r.node.hasEffectiveAssignment(name) {
			return name
		}
	}
	return ""
}

// checkService records changed leaf lists and checks the settings leaves and drained.
func (c *checker) checkService(r, old *resolvedNode) {
	if old == nil || !identicalSlices(r.eff.Leaves, old.eff.Leaves) {
		c.changedServices = append(c.changedServices, r.eff)
	}
	if r.isService() && len(r.children) > 0 {
		c.addFault(r, nameLeaves, "a query service has no nodes below it", "unset leaves, or remove the nodes below")
	}
	for _, name := range r.eff.Drained {
		if !slices.ContainsFunc(r.eff.Leaves, func(l Leaf) bool { return l.Name == name }) {
			c.addFault(r, nameDrained, fmt.Sprintf("the query service has no leaf %q", name), "leave it out of drained")
		}
	}
}

func (c *checker) addFault(r *resolvedNode, name, why, fix string) {
	c.faults = append(c.faults, contract.Fault{Field: fieldOf(r.eff.Path, name), Value: c.effectiveText(r, name), Why: why, Fix: fix})
}

// effectiveText returns the text of the effective value of a setting at r, for a fault.
func (c *checker) effectiveText(r *resolvedNode, name string) string {
	s, ok := c.tree.schema.lookup(name)
	if !ok {
		return ""
	}
	segments, _ := splitPath(r.eff.Path)
	return truncateForFault(c.tree.nodesOnPath(segments).valueText(s))
}
