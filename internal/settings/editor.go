package settings

import (
	"slices"

	"pearmoor/internal/contract"
)

// editor builds the nodes of a new tree by copy-on-write: it copies each node that it
// changes once and shares all others with the original tree.
type editor struct {
	schema  *schema
	root    *node
	version uint64
	// replay accepts edits that this release's schema rejects; see Tree.Replay.
	replay bool
	faults contract.Faults
	// lastPath and lastNode cache the node that the last edit changed. A route has ten
	// settings, which arrive as consecutive edits; looking up its node among thousands
	// twice per edit took a third of the time of a long change.
	lastPath string
	lastNode *node // nil if nothing is cached
}

// apply applies e to the nodes, or records a fault if e is invalid.
func (ed *editor) apply(e Edit) {
	segments, why := splitPath(e.Path)
	if why != "" {
		ed.addFault(e, why, segmentRule)
		return
	}
	switch e.Op {
	case Set:
		ed.set(e, segments)
	case Unset:
		ed.unset(e, segments)
	case Remove:
		ed.remove(e, segments)
	default:
		ed.addFault(e, "the operation is unknown", "use set, unset or remove")
	}
}

func (ed *editor) addFault(e Edit, why, fix string) {
	ed.faults = append(ed.faults, contract.Fault{Field: fieldOf(e.Path, e.Name), Value: truncateForFault(displayValue(e.Path, e.Name, e.Value)), Why: why, Fix: fix})
}

// fieldOf returns the Field of a fault about a setting at a path: "path:name", or the
// path alone if name is empty.
func fieldOf(path, name string) string {
	path = displayPath(trimPath(path))
	if name == "" {
		return path
	}
	return path + ":" + name
}

func (ed *editor) set(e Edit, segments []string) {
	val, text := ed.parseValue(e, segments)
	if val == nil && !ed.replay {
		return
	}
	existing := ed.lastNode
	if existing == nil || ed.lastPath != e.Path {
		existing = lookupNode(ed.root, segments)
	}
	if existing != nil {
		if i, ok := existing.findAssignment(e.Name); ok && existing.assignments[i].text == text {
			return // the value is unchanged, so it keeps the version that set it
		}
	}
	n := ed.mutableNode(e.Path, segments)
	a := assignment{name: e.Name, text: text, version: ed.version, val: val}
	if i, ok := n.findAssignment(e.Name); ok {
		n.assignments[i] = a
	} else {
		n.assignments = slices.Insert(n.assignments, i, a)
	}
}

// parseValue parses the value of e and returns it with the text to store. The value is
// nil if the edit is rejected.
func (ed *editor) parseValue(e Edit, segments []string) (*value, string) {
	s, ok := ed.schema.lookup(e.Name)
	if !ok {
		ed.addUnknownFault(e, segments)
		return nil, e.Value
	}
	if why, fix := s.checkPlacement(len(segments) == 0); why != "" {
		ed.addFault(e, why, fix)
		return nil, e.Value
	}
	v, err := s.parse(e.Value)
	if err != nil {
		ed.addFault(e, err.Error(), s.valueHint())
		return nil, e.Value
	}
	if ed.replay {
		return v, e.Value
	}
	return v, v.text
}

// addUnknownFault reports a setting that the schema does not have. A setting that is
// already set at the node comes from another release and is reported as obsolete.
func (ed *editor) addUnknownFault(e Edit, segments []string) {
	if n := lookupNode(ed.root, segments); n != nil && n.hasAssignment(e.Name) {
		ed.addFault(e, "the setting is obsolete: this release has none of that name", "unset it")
		return
	}
	ed.addFault(e, "there is no setting of that name", ed.schema.suggestName(e.Name))
}

func (ed *editor) unset(e Edit, segments []string) {
	n := lookupNode(ed.root, segments)
	if n == nil || !n.hasAssignment(e.Name) {
		if _, known := ed.schema.lookup(e.Name); !known {
			ed.addUnknownFault(e, segments)
			return
		}
		ed.addFault(e, "the setting is not stated here", "leave the edit out, or name the path that states it")
		return
	}
	n = ed.mutableNode(e.Path, segments)
	i, _ := n.findAssignment(e.Name)
	n.assignments = slices.Delete(n.assignments, i, i+1)
}

func (ed *editor) remove(e Edit, segments []string) {
	switch {
	case e.Name != "" || e.Value != "":
		ed.addFault(e, "remove drops a whole node", "use unset for one setting")
	case len(segments) == 0:
		ed.addFault(e, "the root can't be removed", "name a node below it")
	case lookupNode(ed.root, segments) == nil:
		ed.addFault(e, "there is no such node", "leave the edit out, or name a node that exists")
	default:
		ed.lastNode = nil
		parent := ed.mutableNode("", segments[:len(segments)-1])
		ed.lastNode = nil
		i, _ := parent.findChild(segments[len(segments)-1])
		parent.children = slices.Delete(parent.children, i, i+1)
	}
}

// mutableNode returns the node at a path for modification and creates it if it does
// not exist. The node and its ancestors are copies that belong to this editor.
func (ed *editor) mutableNode(path string, segments []string) *node {
	if ed.lastNode != nil && ed.lastPath == path {
		return ed.lastNode
	}
	ed.root = mutableCopy(ed.root)
	n := ed.root
	for _, name := range segments {
		i, ok := n.findChild(name)
		if !ok {
			n.children = slices.Insert(n.children, i, &node{name: name})
		}
		n.children[i] = mutableCopy(n.children[i])
		n = n.children[i]
	}
	ed.lastPath, ed.lastNode = path, n
	return n
}

// mutableCopy returns n if it is not sealed yet, and otherwise a copy whose lists can
// be changed.
func mutableCopy(n *node) *node {
	if !n.sealed {
		return n
	}
	return &node{name: n.name, assignments: slices.Clone(n.assignments), children: slices.Clone(n.children)}
}

// lookupNode returns the node at a path, or nil if there is none. A node below the root
// that was emptied by earlier edits counts as missing.
func lookupNode(n *node, segments []string) *node {
	for _, name := range segments {
		if n = n.child(name); n == nil {
			return nil
		}
	}
	if len(segments) > 0 && n.isEmpty() {
		return nil
	}
	return n
}
