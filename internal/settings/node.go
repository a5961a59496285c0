package settings

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// node holds the values that operators set at one path, and the nodes below it. A
// sealed node is immutable, so several trees can share it.
type node struct {
	name     string
	stated   []stated // sorted by name
	children []*node  // sorted by name; a sealed node has no empty children
	digest   uint64
	sealed   bool
}

// assignment is a value that an operator set at a node.
type stated struct {
	name    string
	text    string
	version uint64
	val     *value // nil if this release does not know the setting or rejects the value
}

// findChild returns the index of the named child, or the index at which to insert it and
// false.
func (n *node) find(name string) (int, bool) {
	return slices.BinarySearchFunc(n.children, name, func(c *node, name string) int { return cmp.Compare(c.name, name) })
}

func (n *node) child(name string) *node {
	if i, ok := n.find(name); ok {
		return n.children[i]
	}
	return nil
}

// findAssignment returns the index of the named assignment, or the index at which to
// insert it and false.
func (n *node) findStated(name string) (int, bool) {
	return slices.BinarySearchFunc(n.stated, name, func(s stated, name string) int { return cmp.Compare(s.name, name) })
}

// hasAssignment reports whether n sets the named setting.
func (n *node) states(name string) bool {
	_, ok := n.findStated(name)
	return ok
}

// hasEffectiveAssignment reports whether n sets the named setting to a value that this
// release understands.
func (n *node) holds(name string) bool {
	i, ok := n.findStated(name)
	return ok && n.stated[i].val != nil
}

func (n *node) empty() bool { return len(n.stated) == 0 && len(n.children) == 0 }

// seal removes empty nodes below n, computes the digests of the changed nodes and makes
// them immutable. The digest of a node covers the digests of its children, so the cost
// of a change grows with the changed paths and not with the tree.
func (n *node) seal() {
	if n.sealed {
		return
	}
	for _, c := range n.children {
		c.seal()
	}
	n.children = slices.DeleteFunc(n.children, (*node).empty)
	n.digest = n.sum()
	n.sealed = true
}

func (n *node) sum() uint64 {
	buf := appendText(nil, n.name)
	buf = binary.AppendUvarint(buf, uint64(len(n.stated)))
	for _, s := range n.stated {
		buf = appendText(buf, s.name)
		buf = appendText(buf, s.text)
		buf = binary.AppendUvarint(buf, s.version)
	}
	for _, c := range n.children {
		buf = binary.LittleEndian.AppendUint64(buf, c.digest)
	}
	return xxhash.Sum64(buf)
}

// appendString appends s with a length prefix.
func appendText(buf []byte, s string) []byte {
	buf = binary.AppendUvarint(buf, uint64(len(s)))
	return append(buf, s...)
}
