package settings

import "pearmoor/internal/contract"

// SourceDefault is the Source of a default value, which no node sets.
const StatedAtDefault = "default"

// Explanation describes where the effective value of one setting at a node comes from.
type Explained struct {
	Name     string `json:"name"`
	Value    string `json:"value"`
	StatedAt string `json:"stated_at"` // path of the node that sets the value, or "default"
	Version  uint64 `json:"version"`   // version of the change that set it; 0 for a default
	Obsolete bool   `json:"obsolete,omitempty"`
}

// Explain lists the effective value of each setting at a path, with the node that sets
// it and the version of the change that set it. Settings and values that this release
// does not know follow at the end, marked obsolete: they have no effect.
func (t *Tree) Explain(path string) ([]Explained, error) {
	segments, why := splitPath(path)
	if why != "" {
		return nil, contract.Faults{{Field: path, Why: why, Fix: segmentRule}}
	}
	if lookupNode(t.root, segments) == nil {
		return nil, contract.Faults{{Field: showPath(trimPath(path)), Why: "there is no such node", Fix: "name a node of the tree"}}
	}
	chain := t.chain(segments)
	out := make([]Explained, 0, len(t.schema.settings))
	for i := range t.schema.settings {
		if x, ok := chain.explain(&t.schema.settings[i]); ok {
			out = append(out, x)
		}
	}
	return append(out, chain.obsolete()...), nil
}

// pathNode is one node on the path from the root to another node.
type step struct {
	path string
	node *node
}

// nodePath is the list of nodes from the root to a path, root first.
type chain []step

// nodesOnPath returns the nodes from the root to the node at segments, which must exist.
func (t *Tree) chain(segments []string) chain {
	c := chain{{path: Root, node: t.root}}
	for _, name := range segments {
		last := c[len(c)-1]
		c = append(c, step{path: joinPath(last.path, name), node: last.node.child(name)})
	}
	return c
}

// explain returns the explanation of the effective value of s, and false if s has
// neither a value nor a default.
func (c chain) explain(s *Setting) (Explained, bool) {
	for i := len(c) - 1; i >= 0; i-- {
		if !s.Inherits && !s.RootOnly && i < len(c)-1 {
			break
		}
		n := c[i].node
		if j, ok := n.findStated(s.Name); ok && n.stated[j].val != nil {
			return Explained{Name: s.Name, Value: n.stated[j].text, StatedAt: c[i].path, Version: n.stated[j].version}, true
		}
	}
	return Explained{Name: s.Name, Value: s.defaultText(), StatedAt: StatedAtDefault}, s.def != nil
}

func (s *Setting) defaultText() string {
	if s.def == nil {
		return ""
	}
	return s.def.text
}

// obsoleteValues returns the values on the path that this release does not know.
func (c chain) obsolete() []Explained {
	var out []Explained
	for _, st := range c {
		for _, v := range st.node.stated {
			if v.val == nil {
				out = append(out, Explained{Name: v.name, Value: v.text, StatedAt: st.path, Version: v.version, Obsolete: true})
			}
		}
	}
	return out
}

// valueText returns the text of the effective value of s, or "" if it has none.
func (c chain) value(s *Setting) string {
	x, _ := c.explain(s)
	return x.Value
}
