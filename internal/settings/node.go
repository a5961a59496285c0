package settings

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// node is what an operator stated at one path, and below it. A sealed node is
// never changed, so trees share it.
type node struct {
	name     string
	stated   []stated // sorted by name
	children []*node  // sorted by name, none of them empty
	digest   uint64
	sealed   bool
}

// stated is one value as an operator stated it.
type stated struct {
	name    string
	text    string
	version uint64
	val     *value // nil when this release's schema does not know or take it
}

func (n *node) find(name string) (int, bool) {
	return slices.BinarySearchFunc(n.children, name, func(c *node, name string) int { return cmp.Compare(c.name, name) })
}

func (n *node) child(name string) *node {
	if i, ok := n.find(name); ok {
		return n.children[i]
	}
	return nil
}

func (n *node) findStated(name string) (int, bool) {
	return slices.BinarySearchFunc(n.stated, name, func(s stated, name string) int { return cmp.Compare(s.name, name) })
}

func (n *node) states(name string) bool {
	_, ok := n.findStated(name)
	return ok
}

// holds reports whether n states a value of that name that has an effect.
func (n *node) holds(name string) bool {
	i, ok := n.findStated(name)
	return ok && n.stated[i].val != nil
}

func (n *node) empty() bool { return len(n.stated) == 0 && len(n.children) == 0 }

// seal drops empty nodes and computes the digests of the nodes that changed. A
// digest covers those of the children, so the cost of a change is that of the
// changed path and not of the tree.
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

func appendText(buf []byte, s string) []byte {
	buf = binary.AppendUvarint(buf, uint64(len(s)))
	return append(buf, s...)
}
