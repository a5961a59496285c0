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
	name        string
	assignments []assignment // sorted by name
	children    []*node      // sorted by name; a sealed node has no empty children
	digest      uint64
	sealed      bool
}

// assignment is a value that an operator set at a node.
type assignment struct {
	name    string
	text    string
	version uint64
	val     *value // nil if this release does not know the setting or rejects the value
}

// findChild returns the index of the named child, or the index at which to insert it and
// false.
func (n *node) findChild(name string) (int, bool) {
	return slices.BinarySearchFunc(n.children, name, func(c *node, name string) int { return cmp.Compare(c.name, name) })
}

func (n *node) child(name string) *node {
	if i, ok := n.findChild(name); ok {
		return n.children[i]
	}
	return nil
}

// findAssignment returns the index of the named assignment, or the index at which to
// insert it and false.
func (n *node) findAssignment(name string) (int, bool) {
	return slices.BinarySearchFunc(n.assignments, name, func(a assignment, name string) int { return cmp.Compare(a.name, name) })
}

// hasAssignment reports whether n sets the named setting.
func (n *node) hasAssignment(name string) bool {
	_, ok := n.findAssignment(name)
	return ok
}

// hasEffectiveAssignment reports whether n sets the named setting to a value that this
// release understands.
func (n *node) hasEffectiveAssignment(name string) bool {
	i, ok := n.findAssignment(name)
	return ok && n.assignments[i].val != nil
}

func (n *node) isEmpty() bool { return len(n.assignments) == 0 && len(n.children) == 0 }

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
	n.children = slices.DeleteFunc(n.children, (*node).isEmpty)
	n.digest = n.computeDigest()
	n.sealed = true
}

func (n *node) computeDigest() uint64 {
	buf := appendString(nil, n.name)
	buf = binary.AppendUvarint(buf, uint64(len(n.assignments)))
	for _, a := range n.assignments {
		buf = appendString(buf, a.name)
		buf = appendString(buf, a.text)
		buf = binary.AppendUvarint(buf, a.version)
	}
	for _, c := range n.children {
		buf = binary.LittleEndian.AppendUint64(buf, c.digest)
	}
	return xxhash.Sum64(buf)
}

// appendString appends s with a length prefix.
func appendString(buf []byte, s string) []byte {
	buf = binary.AppendUvarint(buf, uint64(len(s)))
	return append(buf, s...)
}
