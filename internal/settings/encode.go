package settings

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// formatVersion is the version of the encoding that Encode writes.
const formatVersion = 1

// encodedTree is the top-level CBOR array of an encoded tree. The digest detects
// corruption in transit or on disk.
type encodedTree struct {
	_      struct{} `cbor:",toarray"`
	Format uint64
	Digest uint64
	Root   encodedNode
}

type encodedNode struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Stated   []encodedValue
	Children []encodedNode
}

type encodedValue struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Text    string
	Version uint64
}

var encMode, decMode = newCBORModes()

// newCBORModes returns the deterministic CBOR encoding mode (RFC 8949, section 4.2) and
// a decoding mode that limits nesting depth and array length.
func newCBORModes() (cbor.EncMode, cbor.DecMode) {
	enc, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic("settings: " + err.Error())
	}
	dec, err := cbor.DecOptions{
		MaxNestedLevels:  2*MaxDepth + 8,
		MaxArrayElements: 1 << 20,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic("settings: " + err.Error())
	}
	return enc, dec
}

// Encode returns the canonical encoding of t: equal trees have equal encodings.
func (t *Tree) Encode() []byte {
	b, err := encMode.Marshal(encodedTree{Format: formatVersion, Digest: t.Digest(), Root: encodeNode(t.root)})
	if err != nil {
		// The types hold only strings, numbers and lists of them, which always encode.
		panic("settings: encode: " + err.Error())
	}
	return b
}

func encodeNode(n *node) encodedNode {
	out := encodedNode{Name: n.name, Stated: make([]encodedValue, len(n.assignments)), Children: make([]encodedNode, len(n.children))}
	for i, a := range n.assignments {
		out.Stated[i] = encodedValue{Name: a.name, Text: a.text, Version: a.version}
	}
	for i, c := range n.children {
		out.Children[i] = encodeNode(c)
	}
	return out
}

// Decode decodes the output of Encode, which may come from a release with another
// schema: settings and values that this release does not know are kept without effect.
// It rejects bytes that Encode cannot have written.
func Decode(b []byte) (*Tree, error) { return decodeTree(currentSchema, b) }

func decodeTree(sc *schema, b []byte) (*Tree, error) {
	var in encodedTree
	if err := decMode.Unmarshal(b, &in); err != nil {
		return nil, errors.Wrap(err, "settings: cannot decode the tree")
	}
	if in.Format != formatVersion {
		return nil, errors.Newf("settings: the tree has format %d; this release supports format %d", in.Format, formatVersion)
	}
	if in.Root.Name != "" {
		return nil, errors.Newf("settings: the root node has the name %q; it must have none", in.Root.Name)
	}
	root, err := sc.decodeNode(&in.Root, "", 0)
	if err != nil {
		return nil, err
	}
	t := newTree(sc, root, nil)
	if t.Digest() != in.Digest {
		return nil, errors.Newf("settings: the tree has digest %016x but records %016x: the data is damaged", t.Digest(), in.Digest)
	}
	if !bytes.Equal(t.Encode(), b) {
		return nil, errors.New("settings: the encoding is not in canonical form")
	}
	return t, nil
}

func (sc *schema) decodeNode(in *encodedNode, path string, depth int) (*node, error) {
	if depth > MaxDepth {
		return nil, errors.Newf("settings: node %s exceeds the maximum depth", path)
	}
	n := &node{name: in.Name, assignments: make([]assignment, len(in.Stated)), children: make([]*node, len(in.Children))}
	for i := range in.Stated {
		v := &in.Stated[i]
		if v.Name == "" || i > 0 && in.Stated[i-1].Name >= v.Name {
			return nil, errors.Newf("settings: the values of node %s are not sorted by name, or have no name", displayPath(path))
		}
		n.assignments[i] = sc.decodeAssignment(v, depth == 0)
	}
	for i := range in.Children {
		c := &in.Children[i]
		child := joinPath(path, c.Name)
		if !isSegment(c.Name) || i > 0 && in.Children[i-1].Name >= c.Name {
			return nil, errors.Newf("settings: the children of node %s are not sorted by name, or have invalid names", displayPath(path))
		}
		if len(c.Stated)+len(c.Children) == 0 {
			return nil, errors.Newf("settings: node %s is empty", child)
		}
		var err error
		if n.children[i], err = sc.decodeNode(c, child, depth+1); err != nil {
			return nil, err
		}
	}
	return n, nil
}

// decodeAssignment decodes a value set at a node. It keeps the text unchanged, so that
// the digest equals that of the release that wrote it. A value that is invalid in this
// release has no effect.
func (sc *schema) decodeAssignment(v *encodedValue, atRoot bool) assignment {
	a := assignment{name: v.Name, text: v.Text, version: v.Version}
	s, ok := sc.lookup(v.Name)
	if !ok {
		return a
	}
	if why, _ := s.checkPlacement(atRoot); why != "" {
		return a
	}
	if val, err := s.parse(v.Text); err == nil {
		a.val = val
	}
	return a
}
