package settings

import "slices"

// resolvedNode is a node with its effective values. It is created with the tree and
// shared with later trees for as long as neither the node nor its inherited values
// change.
type resolved struct {
	decl     *node
	eff      *Effective
	children []*resolved // parallel to node.children
	services []string    // sorted paths of the query services at and below this node
}

// resolve resolves n and its descendants, given the effective values of the parent. old
// is the resolved node at the same path in the previous tree, or nil; unchanged parts
// of it are reused.
func (sc *schema) resolve(n *node, path string, parent *Effective, old *resolved, oldParent *Effective) *resolved {
	inherits := old != nil && parent == oldParent
	if inherits && old.decl == n {
		return old
	}
	r := &resolved{decl: n, children: make([]*resolved, len(n.children))}
	if inherits && slices.Equal(old.decl.stated, n.stated) {
		r.eff = old.eff
	} else {
		r.eff = sc.effective(n, path, parent)
	}
	older := old.cursor()
	for i, c := range n.children {
		was := older.seek(c.name)
		if was != nil && was.decl == c && r.eff == old.eff {
			r.children[i] = was
			continue
		}
		r.children[i] = sc.resolve(c, joinPath(path, c.name), r.eff, was, old.effective())
	}
	r.listServices(old)
	return r
}

// resolveEffective returns the effective values of n: those of its parent, overridden by
// the values that n sets. Settings that are not inherited start from their defaults.
func (sc *schema) effective(n *node, path string, parent *Effective) *Effective {
	e := *parent
	e.Path, e.Leaves, e.Drained = showPath(path), nil, nil
	e.Route, e.Service, e.Release, e.Quarantine = sc.def.Route, sc.def.Service, sc.def.Release, sc.def.Quarantine
	e.Route.AnswerMargin = parent.Route.AnswerMargin
	for i := range n.stated {
		st := &n.stated[i]
		if st.val == nil {
			continue
		}
		if s, ok := sc.lookup(st.name); ok && !s.RootOnly {
			s.bind(&e, nil, st.val)
		}
	}
	return &e
}

// resolveTier returns the tier settings: the defaults, overridden by the values set at
// the root.
func (sc *schema) tier(root *node) Tier {
	t := sc.defTier
	for i := range root.stated {
		st := &root.stated[i]
		if s, ok := sc.lookup(st.name); ok && s.RootOnly && st.val != nil {
			s.bind(nil, &t, st.val)
		}
	}
	return t
}

// collectServices fills r.services. It reuses the slice of old if no query service was
// added or removed, so that successive trees share it.
func (r *resolved) listServices(old *resolved) {
	if old != nil && r.sameServices(old) {
		r.services = old.services
		return
	}
	n := 0
	for _, c := range r.children {
		n += len(c.services)
	}
	list := make([]string, 0, n+1)
	if r.isService() {
		list = append(list, r.eff.Path)
	}
	for _, c := range r.children {
		list = append(list, c.services...)
	}
	r.services = list
}

func (r *resolved) isService() bool { return len(r.eff.Leaves) > 0 }

// childServicesUnchanged reports whether r and old are both query services or both not,
// and their children share the same service slices.
func (r *resolved) sameServices(old *resolved) bool {
	if r.isService() != old.isService() || len(r.children) != len(old.children) {
		return false
	}
	for i, c := range r.children {
		if !sameSlice(c.services, old.children[i].services) {
			return false
		}
	}
	return true
}

// identicalSlices reports whether a and b share their memory and have the same length.
func sameSlice[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// childCursor looks up children of a node by name. Successive lookups must be in sorted
// order, so that all of them together take one pass over the children.
type cursor struct{ rest []*resolved }

func (r *resolved) cursor() cursor {
	if r == nil {
		return cursor{}
	}
	return cursor{rest: r.children}
}

func (c *cursor) seek(name string) *resolved {
	for len(c.rest) > 0 && c.rest[0].decl.name < name {
		c.rest = c.rest[1:]
	}
	if len(c.rest) == 0 || c.rest[0].decl.name != name {
		return nil
	}
	return c.rest[0]
}

func (r *resolved) child(name string) *resolved {
	if r == nil {
		return nil
	}
	if i, ok := r.decl.find(name); ok {
		return r.children[i]
	}
	return nil
}

// effective returns the effective values of r, or nil if r is nil.
func (r *resolved) effective() *Effective {
	if r == nil {
		return nil
	}
	return r.eff
}
