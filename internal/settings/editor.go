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
	lenient bool
	faults  contract.Faults
	// lastPath and lastNode cache the node that the last edit changed. A route has ten
	// settings, which arrive as consecutive edits; looking up its node among thousands
	// twice per edit took a third of the time of a long change.
	path string
	last *node // nil if nothing is cached
}

// apply applies e to the nodes, or records a fault if e is invalid.
func (ed *editor) apply(e Edit) {
	segments, why := splitPath(e.Path)
	if why != "" {
		ed.fault(e, why, segmentRule)
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
		ed.fault(e, "the operation is unknown", "use set, unset or remove")
	}
}

func (ed *editor) fault(e Edit, why, fix string) {
	ed.faults = append(ed.faults, contract.Fault{Field: fieldOf(e.Path, e.Name), Value: short(e.Value), Why: why, Fix: fix})
}

// fieldOf returns the Field of a fault about a setting at a path: "path:name", or the
// path alone if name is empty.
func fieldOf(path, name string) string {
	path = showPath(trimPath(path))
	if name == "" {
		return path
	}
	return path + ":" + name
}

func (ed *editor) set(e Edit, segments []string) {
	val, text := ed.parse(e, segments)
	if val == nil && !ed.lenient {
		return
	}
	at := ed.last
	if at == nil || ed.path != e.Path {
		at = lookupNode(ed.root, segments)
	}
	if at != nil {
		if i, ok := at.findStated(e.Name); ok && at.stated[i].text == text {
			return // the value is unchanged, so it keeps the version that set it
		}
	}
	n := ed.own(e.Path, segments)
	s := stated{name: e.Name, text: text, version: ed.version, val: val}
	if i, ok := n.findStated(e.Name); ok {
		n.stated[i] = s
	} else {
		n.stated = slices.Insert(n.stated, i, s)
	}
}

// parseValue parses the value of e and returns it with the text to store. The value is
// nil if the edit is rejected.
func (ed *editor) parse(e Edit, segments []string) (*value, string) {
	s, ok := ed.schema.lookup(e.Name)
	if !ok {
		ed.unknown(e, segments)
		return nil, e.Value
	}
	if why, fix := s.misplaced(len(segments) == 0); why != "" {
		ed.fault(e, why, fix)
		return nil, e.Value
	}
	v, err := s.parse(e.Value)
	if err != nil {
		ed.fault(e, err.Error(), s.fix())
		return nil, e.Value
	}
	if ed.lenient {
		return v, e.Value
	}
	return v, v.text
}

// addUnknownFault reports a setting that the schema does not have. A setting that is
// already set at the node comes from another release and is reported as obsolete.
func (ed *editor) unknown(e Edit, segments []string) {
	if n := lookupNode(ed.root, segments); n != nil && n.states(e.Name) {
		ed.fault(e, "the setting is obsolete: this release has none of that name", "unset it")
		return
	}
	ed.fault(e, "there is no setting of that name", ed.schema.suggest(e.Name))
}

func (ed *editor) unset(e Edit, segments []string) {
	n := lookupNode(ed.root, segments)
	if n == nil || !n.states(e.Name) {
		if _, known := ed.schema.lookup(e.Name); !known {
			ed.unknown(e, segments)
			return
		}
		ed.fault(e, "the setting is not stated here", "leave the edit out, or name the path that states it")
		return
	}
	n = ed.own(e.Path, segments)
	i, _ := n.findStated(e.Name)
	n.stated = slices.Delete(n.stated, i, i+1)
}

func (ed *editor) remove(e Edit, segments []string) {
	switch {
	case e.Name != "" || e.Value != "":
		ed.fault(e, "remove drops a whole node", "use unset for one setting")
	case len(segments) == 0:
		ed.fault(e, "the root can't be removed", "name a node below it")
	case lookupNode(ed.root, segments) == nil:
		ed.fault(e, "there is no such node", "leave the edit out, or name a node that exists")
	default:
		ed.last = nil
		parent := ed.own("", segments[:len(segments)-1])
		ed.last = nil
		i, _ := parent.find(segments[len(segments)-1])
		parent.children = slices.Delete(parent.children, i, i+1)
	}
}

// mutableNode returns the node at a path for modification and creates it if it does
// not exist. The node and its ancestors are copies that belong to this editor.
func (ed *editor) own(path string, segments []string) *node {
	if ed.last != nil && ed.path == path {
		return ed.last
	}
	ed.root = thaw(ed.root)
	n := ed.root
	for _, name := range segments {
		i, ok := n.find(name)
		if !ok {
			n.children = slices.Insert(n.children, i, &node{name: name})
		}
		n.children[i] = thaw(n.children[i])
		n = n.children[i]
	}
	ed.path, ed.last = path, n
	return n
}

// mutableCopy returns n if it is not sealed yet, and otherwise a copy whose lists can
// be changed.
func thaw(n *node) *node {
	if !n.sealed {
		return n
	}
	return &node{name: n.name, stated: slices.Clone(n.stated), children: slices.Clone(n.children)}
}

// lookupNode returns the node at a path, or nil if there is none. A node below the root
// that was emptied by earlier edits counts as missing.
func lookupNode(n *node, segments []string) *node {
	for _, name := range segments {
		if n = n.child(name); n == nil {
			return nil
		}
	}
	if len(segments) > 0 && n.empty() {
		return nil
	}
	return n
}
