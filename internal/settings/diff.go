package settings

import "slices"

// Diff returns the edits that turn the values of from into those of to. It compares
// values and ignores the versions that set them. Subtrees shared by both trees are
// skipped, so the cost grows with the size of the difference. With from the tree after
// a change and to the tree before it, the edits undo the change. Apply rejects them if
// they set a setting or value that this release does not know.
func Diff(from, to *Tree) []Edit {
	var d differ
	d.diffNode("", from.root, to.root)
	return d.edits
}

// differ collects the edits of Diff.
type differ struct{ edits []Edit }

func (d *differ) diffNode(path string, from, to *node) {
	if from == to {
		return
	}
	d.diffAssignments(path, from.assignments, to.assignments)
	d.diffChildren(path, from.children, to.children)
}

// diffChildren merges two lists sorted by name. Most children of a wide node are shared
// by both trees and cost one pointer comparison each.
func (d *differ) diffChildren(path string, from, to []*node) {
	for len(from) > 0 || len(to) > 0 {
		switch {
		case len(to) == 0 || len(from) > 0 && from[0].name < to[0].name:
			d.addEdit(Remove, joinPath(path, from[0].name), "", "")
			from = from[1:]
		case len(from) == 0 || to[0].name < from[0].name:
			d.diffNode(joinPath(path, to[0].name), &node{}, to[0])
			to = to[1:]
		default:
			if from[0] != to[0] {
				d.diffNode(joinPath(path, to[0].name), from[0], to[0])
			}
			from, to = from[1:], to[1:]
		}
	}
}

func (d *differ) diffAssignments(path string, from, to []assignment) {
	for _, a := range from {
		if !slices.ContainsFunc(to, func(o assignment) bool { return o.name == a.name }) {
			d.addEdit(Unset, path, a.name, "")
		}
	}
	for _, a := range to {
		if !slices.ContainsFunc(from, func(o assignment) bool { return o.name == a.name && o.text == a.text }) {
			d.addEdit(Set, path, a.name, a.text)
		}
	}
}

func (d *differ) addEdit(op Op, path, name, text string) {
	d.edits = append(d.edits, Edit{Path: displayPath(path), Name: name, Value: text, Op: op})
}
