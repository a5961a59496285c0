package settings

import "pearmoor/internal/contract"

// StatedAtDefault stands for the node where no node states the value.
const StatedAtDefault = "default"

// Explained says why one value holds at a node.
type Explained struct {
	Name     string `json:"name"`
	Value    string `json:"value"`
	StatedAt string `json:"stated_at"` // a path, or "default"
	Version  uint64 `json:"version"`   // of the change that set it; 0 for a default
	Obsolete bool   `json:"obsolete,omitempty"`
}

// Explain lists what holds at a path, setting by setting, with the node that
// states each and the version of the change that set it. A stated name or value
// that this release does not know comes last, marked obsolete: it has no effect.
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

// step is one node on the way from the root to a path.
type step struct {
	path string
	node *node
}

// chain is the way from the root to a path, the root first.
type chain []step

func (t *Tree) chain(segments []string) chain {
	c := chain{{path: Root, node: t.root}}
	for _, name := range segments {
		last := c[len(c)-1]
		c = append(c, step{path: joinPath(last.path, name), node: last.node.child(name)})
	}
	return c
}

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

// value returns the text of the value of s that holds; "" when none does.
func (c chain) value(s *Setting) string {
	x, _ := c.explain(s)
	return x.Value
}
