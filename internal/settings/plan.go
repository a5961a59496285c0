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
	p.tier()
	p.node(old.top, new.top)
	slices.SortStableFunc(p.effects, func(a, b Effect) int { return cmp.Compare(a.Service, b.Service) })
	return p.effects
}

// planner collects the effects of Plan.
type planner struct {
	old, new *Tree
	effects  []Effect
}

func (p *planner) tier() {
	for i := range p.new.schema.settings {
		if s := &p.new.schema.settings[i]; s.RootOnly {
			p.compare(Root, s.Name, p.old.chain(nil).value(s), p.new.chain(nil).value(s))
		}
	}
}

// compareNodes compares the nodes at one path in both trees; either may be nil.
func (p *planner) node(old, new *resolved) {
	if old == new {
		return
	}
	p.service(old, new)
	if old != nil {
		newer := new.cursor()
		for _, c := range old.children {
			if newer.seek(c.decl.name) == nil {
				p.node(c, nil)
			}
		}
	}
	if new != nil {
		older := old.cursor()
		for _, c := range new.children {
			p.node(older.seek(c.decl.name), c)
		}
	}
}

func (p *planner) service(old, new *resolved) {
	was, is := old.leafText(), new.leafText()
	switch {
	case was == "" && is == "":
	case was == "":
		p.compare(new.eff.Path, nameLeaves, "", is)
	case is == "":
		p.compare(old.eff.Path, nameLeaves, was, "")
	default:
		p.settings(old.eff, new.eff)
	}
}

func (p *planner) settings(old, new *Effective) {
	if old == new {
		return
	}
	segments, _ := splitPath(new.Path)
	was, is := p.old.chain(segments), p.new.chain(segments)
	for i := range p.new.schema.settings {
		if s := &p.new.schema.settings[i]; !s.RootOnly {
			p.compare(new.Path, s.Name, was.value(s), is.value(s))
		}
	}
}

func (p *planner) compare(service, name, before, after string) {
	if before != after {
		p.effects = append(p.effects, Effect{Service: service, Name: name, Before: before, After: after})
	}
}

// leafListText returns the leaf list of a query service as text, or "" for any other
// node.
func (r *resolved) leafText() string {
	if r == nil || !r.isService() {
		return ""
	}
	i, _ := r.decl.findStated(nameLeaves)
	return r.decl.stated[i].text
}
