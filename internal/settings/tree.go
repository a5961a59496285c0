package settings

import (
	"slices"
	"strings"

	"pearmoor/internal/contract"
)

// Tree is an immutable tree of settings. It is safe for concurrent use.
type Tree struct {
	schema       *schema
	root         *node
	resolvedRoot *resolvedNode
	tier         Tier
}

// New returns an empty tree, in which all settings have their defaults.
func New() *Tree { return newTree(currentSchema, &node{}, nil) }

func newTree(sc *schema, root *node, old *Tree) *Tree {
	root.seal()
	t := &Tree{schema: sc, root: root, tier: sc.resolveTier(root)}
	if old == nil {
		t.resolvedRoot = sc.resolve(root, "", &sc.defaults, nil, nil)
	} else {
		t.resolvedRoot = sc.resolve(root, "", &sc.defaults, old.resolvedRoot, &sc.defaults)
	}
	return t
}

// Apply returns the tree after edits, which are applied in order and atomically. Each
// changed value records version, the version of the change. The error is a
// contract.Faults that lists every fault of the edits, or else every fault of the tree
// that they would produce. t is not modified.
func (t *Tree) Apply(version uint64, edits []Edit) (*Tree, error) {
	next, faults := t.edit(version, edits, false)
	if len(faults) > 0 {
		return nil, faults
	}
	if faults = next.check(t); len(faults) > 0 {
		return nil, faults
	}
	return next, nil
}

// Replay returns the tree after edits that were already accepted, possibly by a release
// with another schema. It does not validate them and stores each value as written, so
// edits should be in the form that Canonical returns. A setting or value that this
// release does not know is kept without effect and is reported by Explain. If Replay
// rejected or rewrote it, two releases running side by side would end up with different
// trees, and a restarted control VM could not read its own log.
func (t *Tree) Replay(version uint64, edits []Edit) *Tree {
	next, _ := t.edit(version, edits, true)
	return next
}

func (t *Tree) edit(version uint64, edits []Edit, replay bool) (*Tree, contract.Faults) {
	ed := editor{schema: t.schema, root: t.root, version: version, replay: replay}
	for _, e := range edits {
		ed.apply(e)
	}
	if len(ed.faults) > 0 && !replay {
		return nil, ed.faults
	}
	if ed.root == t.root {
		return t, nil
	}
	return newTree(t.schema, ed.root, t), nil
}

// Canonical returns edits with displayed paths and with each value in the canonical form
// that Apply stores. A value that cannot be parsed is left unchanged.
func Canonical(edits []Edit) []Edit {
	out := make([]Edit, len(edits))
	for i, e := range edits {
		e.Path = displayPath(trimPath(e.Path))
		if s, ok := currentSchema.lookup(e.Name); ok && e.Op == Set {
			if v, err := s.parse(e.Value); err == nil {
				e.Value = v.text
			}
		}
		out[i] = e
	}
	return out
}

// Digest returns a hash of all values set in the tree and the versions that set them.
// Equal trees have equal digests on every machine. The hash detects accidental
// differences; it is not cryptographic.
func (t *Tree) Digest() uint64 { return t.root.digest }

// EqualExcept reports whether t and o are equal, ignoring the children of the root with the
// given names and the versions of the values set at the root.
func (t *Tree) EqualExcept(o *Tree, names ...string) bool {
	if !slices.EqualFunc(t.root.assignments, o.root.assignments, func(a, b assignment) bool { return a.name == b.name && a.text == b.text }) {
		return false
	}
	otherDigests := func(n *node) []uint64 {
		var out []uint64
		for _, c := range n.children {
			if !slices.Contains(names, c.name) {
				out = append(out, c.digest)
			}
		}
		return out
	}
	return slices.Equal(otherDigests(t.root), otherDigests(o.root))
}

// Tier returns the settings that may be set only at the root.
func (t *Tree) Tier() Tier { return t.tier }

// Effective returns the effective values at a path, and false if there is no such node.
// The caller must not modify them.
func (t *Tree) Effective(path string) (*Effective, bool) {
	r := t.lookup(path)
	if r == nil {
		return nil, false
	}
	return r.eff, true
}

// Services returns the sorted paths of the query services at or below path; "" or "/"
// means all. The caller must not modify the slice.
func (t *Tree) Services(path string) []string {
	r := t.lookup(path)
	if r == nil {
		return nil
	}
	return r.services
}

func (t *Tree) lookup(path string) *resolvedNode {
	r, rest := t.resolvedRoot, trimPath(path)
	if strings.HasSuffix(rest, Root) {
		return nil
	}
	for rest != "" && r != nil {
		var name string
		name, rest, _ = strings.Cut(rest, Root)
		r = r.child(name)
	}
	return r
}

// Children returns the sorted names of the direct children of the node at path.
func (t *Tree) Children(path string) []string {
	r := t.lookup(path)
	if r == nil {
		return nil
	}
	out := make([]string, len(r.node.children))
	for i, c := range r.node.children {
		out[i] = c.name
	}
	return out
}

// Sets reports whether the node at path itself sets the named setting to a value that this
// release understands.
func (t *Tree) Sets(path, name string) bool {
	r := t.lookup(path)
	return r != nil && r.node.hasEffectiveAssignment(name)
}

// ExplicitValues returns the texts of the values set at the node itself, by setting name.
func (t *Tree) ExplicitValues(path string) map[string]string {
	r := t.lookup(path)
	if r == nil {
		return nil
	}
	out := make(map[string]string, len(r.node.assignments))
	for _, a := range r.node.assignments {
		out[a.name] = a.text
	}
	return out
}
