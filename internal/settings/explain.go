package settings

import "pearmoor/internal/contract"

// SourceDefault is the Source of a default value, which no node sets.
const SourceDefault = "default"

// Explanation describes where the effective value of one setting at a node comes from.
type Explanation struct {
	Name     string `json:"name"`
	Value    string `json:"value"`
	Source   string `json:"stated_at"` // path of the node that sets the value, or "default"
	Version  uint64 `json:"version"`   // version of the change that set it; 0 for a default
	Obsolete bool   `json:"obsolete,omitempty"`
}

// Explain lists the effective value of each setting at a path, with the node that sets
// it and the version of the change that set it. Secret values are shown as fingerprints. Settings and values that this release
// does not know follow at the end, marked obsolete: they have no effect.
func (t *Tree) Explain(path string) ([]Explanation, error) {
	segments, why := splitPath(path)
	if why != "" {
		return nil, contract.Faults{{Field: path, Why: why, Fix: segmentRule}}
	}
	if lookupNode(t.root, segments) == nil {
		return nil, contract.Faults{{Field: displayPath(trimPath(path)), Why: "there is no such node", Fix: "name a node of the tree"}}
	}
	chain := t.nodesOnPath(segments)
	out := make([]Explanation, 0, len(t.schema.settings))
	for i := range t.schema.settings {
		if x, ok := chain.explain(&t.schema.settings[i]); ok {
			out = append(out, x)
		}
	}
	return append(out, chain.obsoleteValues()...), nil
}

// pathNode is one node on the path from the root to another node.
type pathNode struct {
	path string
	node *node
}

// nodePath is the list of nodes from the root to a path, root first.
type nodePath []pathNode

// nodesOnPath returns the nodes from the root to the node at segments, which must exist.
func (t *Tree) nodesOnPath(segments []string) nodePath {
	p := nodePath{{path: Root, node: t.root}}
	for _, name := range segments {
		last := p[len(p)-1]
		p = append(p, pathNode{path: joinPath(last.path, name), node: last.node.child(name)})
	}
	return p
}

// explain returns the explanation of the effective value of s, and false if s has
// neither a value nor a default.
func (p nodePath) explain(s *Setting) (Explanation, bool) {
	for i := len(p) - 1; i >= 0; i-- {
		if !s.Inherits && !s.RootOnly && i < len(p)-1 {
			break
		}
		n := p[i].node
		if j, ok := n.findAssignment(s.Name); ok && n.assignments[j].val != nil {
			return Explanation{Name: s.Name, Value: displayValue(p[i].path, s.Name, n.assignments[j].text), Source: p[i].path, Version: n.assignments[j].version}, true
		}
	}
	return Explanation{Name: s.Name, Value: s.defaultText(), Source: SourceDefault}, s.defaultValue != nil
}

func (s *Setting) defaultText() string {
	if s.defaultValue == nil {
		return ""
	}
	return s.defaultValue.text
}

// obsoleteValues returns the values on the path that this release does not know.
func (p nodePath) obsoleteValues() []Explanation {
	var out []Explanation
	for _, pn := range p {
		for _, v := range pn.node.assignments {
			if v.val == nil {
				out = append(out, Explanation{Name: v.name, Value: displayValue(pn.path, v.name, v.text), Source: pn.path, Version: v.version, Obsolete: true})
			}
		}
	}
	return out
}

// valueText returns the text of the effective value of s, or "" if it has none.
func (p nodePath) valueText(s *Setting) string {
	x, _ := p.explain(s)
	return x.Value
}
