package settings

import (
	"slices"

	"pearmoor/internal/contract"
)

// editor makes the next tree's nodes. It copies each node it changes once, and
// leaves all others shared with the tree it started from.
type editor struct {
	schema  *schema
	root    *node
	version uint64
	// lenient takes what a schema of another version accepted: see Tree.Replay.
	lenient bool
	faults  contract.Faults
	// The node that the last edit changed. The ten settings of a route come one after the
	// other, and finding its node among thousands twice for each took a third of the time
	// of a long change.
	path string
	last *node // nil: none
}

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

// fieldOf returns the name of a setting at a path as faults show it.
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
			return // stated already: it keeps the version that set it
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

// parse returns the value to state and its text; a nil value when it is refused.
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

// own returns the node at a path, made if need be, ready to be changed: it and
// those above it are copies that belong to this editor.
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

func thaw(n *node) *node {
	if !n.sealed {
		return n
	}
	return &node{name: n.name, stated: slices.Clone(n.stated), children: slices.Clone(n.children)}
}

// lookupNode returns the node at a path, nil when there is none.
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
