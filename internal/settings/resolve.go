package settings

import "slices"

// resolved is a node with what holds there. It is made once, with the tree, and
// shared with later trees as long as nothing that it inherits has changed.
type resolved struct {
	decl     *node
	eff      *Effective
	children []*resolved // as decl.children
	services []string    // paths of the query services at and below, sorted
}

// resolve returns what holds at n and below it, given what holds at its parent.
// It takes from old, the same path in an older tree, what is the same in both.
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

// effective lays what n states over what holds at its parent.
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

// tier returns what the root states, over the defaults.
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

// sameServices compares the lists of the children by identity.
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

// sameSlice compares by identity and not by content.
func sameSlice[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// cursor finds the children of a node by name, asked for in sorted order.
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

func (r *resolved) effective() *Effective {
	if r == nil {
		return nil
	}
	return r.eff
}
