package settings

import (
	"cmp"
	"slices"
)

// Effect is one effective value of a query service that a change alters. A new or
// removed service has a single effect, on its leaves: Before is "" for a new service,
// After is "" for a removed one. Service is "/" for the settings of the tier.
type Effect struct {
	Service string `json:"service"`
	Name    string `json:"name"`
	Before  string `json:"before"`
	After   string `json:"after"`
}

// Plan returns the effects of a change from old to new, sorted by query service and, for
// each service, in schema order. Subtrees shared by both trees are skipped.
func Plan(old, new *Tree) []Effect {
	p := planner{old: old, new: new}
	p.compareTier()
	p.compareNodes(old.resolvedRoot, new.resolvedRoot)
	slices.SortStableFunc(p.effects, func(a, b Effect) int { return cmp.Compare(a.Service, b.Service) })
	return p.effects
}

// planner collects the effects of Plan.
type planner struct {
	old, new *Tree
	effects  []Effect
}

func (p *planner) compareTier() {
	for i := range p.new.schema.settings {
		if s := &p.new.schema.settings[i]; s.RootOnly {
			p.addIfChanged(Root, s.Name, p.old.nodesOnPath(nil).valueText(s), p.new.nodesOnPath(nil).valueText(s))
		}
	}
}

// compareNodes compares the nodes at one path in both trees; either may be nil.
func (p *planner) compareNodes(old, new *resolvedNode) {
	if old == new {
		return
	}
	p.compareService(old, new)
	if old != nil {
		newChildren := new.cursor()
		for _, c := range old.children {
			if newChildren.seek(c.node.name) == nil {
				p.compareNodes(c, nil)
			}
		}
	}
	if new != nil {
		oldChildren := old.cursor()
		for _, c := range new.children {
			p.compareNodes(oldChildren.seek(c.node.name), c)
		}
	}
}

func (p *planner) compareService(old, new *resolvedNode) {
	before, after := old.leafListText(), new.leafListText()
	switch {
	case before == "" && after == "":
	case before == "":
		p.addIfChanged(new.eff.Path, nameLeaves, "", after)
	case after == "":
		p.addIfChanged(old.eff.Path, nameLeaves, before, "")
	default:
		p.compareSettings(old.eff, new.eff)
	}
}

func (p *planner) compareSettings(old, new *Effective) {
	if old == new {
		return
	}
	segments, _ := splitPath(new.Path)
	before, after := p.old.nodesOnPath(segments), p.new.nodesOnPath(segments)
	for i := range p.new.schema.settings {
		if s := &p.new.schema.settings[i]; !s.RootOnly {
			p.addIfChanged(new.Path, s.Name, before.valueText(s), after.valueText(s))
		}
	}
}

func (p *planner) addIfChanged(service, name, before, after string) {
	if before != after {
		p.effects = append(p.effects, Effect{Service: service, Name: name, Before: before, After: after})
	}
}

// leafListText returns the leaf list of a query service as text, or "" for any other
// node.
func (r *resolvedNode) leafListText() string {
	if r == nil || !r.isService() {
		return ""
	}
	i, _ := r.node.findAssignment(nameLeaves)
	return r.node.assignments[i].text
}
