package settings

import (
	"slices"
	"strings"

	"pearmoor/internal/contract"
)

// Tree is an immutable tree of settings; any number of goroutines may read it.
type Tree struct {
	schema *schema
	root   *node
	top    *resolved
	tier   Tier
}

// New returns the tree in which nothing is stated.
func New() *Tree { return newTree(current, &node{}, nil) }

func newTree(sc *schema, root *node, old *Tree) *Tree {
	root.seal()
	t := &Tree{schema: sc, root: root, tier: sc.tier(root)}
	if old == nil {
		t.top = sc.resolve(root, "", &sc.def, nil, nil)
	} else {
		t.top = sc.resolve(root, "", &sc.def, old.top, &sc.def)
	}
	return t
}

// Apply returns the tree after edits, which are made in their order, all or
// none. Each value changed is marked with version, that of the change. The error
// is contract.Faults and lists every fault of the edits and of the tree they
// would make; t itself never changes.
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

// Replay returns the tree after edits that were accepted before, maybe by a
// release with another schema. It refuses nothing and states each value as it is
// written, so edits should be Canonical. A setting or value that this release
// does not know is kept, has no effect, and is reported by Explain. Were it
// refused or rewritten, two releases that run side by side would come to hold
// different trees, and a restarted control VM could not read its own log.
func (t *Tree) Replay(version uint64, edits []Edit) *Tree {
	next, _ := t.edit(version, edits, true)
	return next
}

func (t *Tree) edit(version uint64, edits []Edit, lenient bool) (*Tree, contract.Faults) {
	ed := editor{schema: t.schema, root: t.root, version: version, lenient: lenient}
	for _, e := range edits {
		ed.apply(e)
	}
	if len(ed.faults) > 0 && !lenient {
		return nil, ed.faults
	}
	if ed.root == t.root {
		return t, nil
	}
	return newTree(t.schema, ed.root, t), nil
}

// Canonical returns edits with each value in its canonical form, as Apply
// states it; a value that can't be read is left as it is.
func Canonical(edits []Edit) []Edit {
	out := make([]Edit, len(edits))
	for i, e := range edits {
		e.Path = showPath(trimPath(e.Path))
		if s, ok := current.lookup(e.Name); ok && e.Op == Set {
			if v, err := s.parse(e.Value); err == nil {
				e.Value = v.text
			}
		}
		out[i] = e
	}
	return out
}

// Digest returns a hash over all that is stated, with the versions that stated
// it. Equal trees have equal digests on every machine. It finds accidents and
// does not withstand forgery.
func (t *Tree) Digest() uint64 { return t.root.digest }

// SameBut reports whether the trees state the same but for the node of that name below
// the root.
func (t *Tree) SameBut(o *Tree, name string) bool {
	if !slices.EqualFunc(t.root.stated, o.root.stated, func(a, b stated) bool { return a.name == b.name && a.text == b.text }) {
		return false
	}
	others := func(n *node) []uint64 {
		var out []uint64
		for _, c := range n.children {
			if c.name != name {
				out = append(out, c.digest)
			}
		}
		return out
	}
	return slices.Equal(others(t.root), others(o.root))
}

// Tier returns the settings that only the root may state.
func (t *Tree) Tier() Tier { return t.tier }

// Effective returns what holds at a path, and false when there is no such node.
// The caller must not change it.
func (t *Tree) Effective(path string) (*Effective, bool) {
	r := t.lookup(path)
	if r == nil {
		return nil, false
	}
	return r.eff, true
}

// Services returns the paths of the query services at or below path, sorted; ""
// or "/" means all. The caller must not change the slice.
func (t *Tree) Services(path string) []string {
	r := t.lookup(path)
	if r == nil {
		return nil
	}
	return r.services
}

func (t *Tree) lookup(path string) *resolved {
	r, rest := t.top, trimPath(path)
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

// Children returns the names of the nodes right below a path, sorted.
func (t *Tree) Children(path string) []string {
	r := t.lookup(path)
	if r == nil {
		return nil
	}
	out := make([]string, len(r.decl.children))
	for i, c := range r.decl.children {
		out[i] = c.name
	}
	return out
}

// Stated returns the values stated at a path itself, by the settings' names.
func (t *Tree) Stated(path string) map[string]string {
	r := t.lookup(path)
	if r == nil {
		return nil
	}
	out := make(map[string]string, len(r.decl.stated))
	for _, s := range r.decl.stated {
		out[s.name] = s.text
	}
	return out
}
