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
	for i, c := range n.children {
		r.children[i] = sc.resolve(c, joinPath(path, c.name), r.eff, old.child(c.name), old.effective())
	}
	r.listServices(old)
	return r
}

// effective lays what n states over what holds at its parent.
func (sc *schema) effective(n *node, path string, parent *Effective) *Effective {
	e := *parent
	e.Path, e.Leaves, e.Drained = showPath(path), nil, nil
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
	n := 0
	for _, c := range r.children {
		n += len(c.services)
	}
	list := make([]string, 0, n+1)
	if len(r.eff.Leaves) > 0 {
		list = append(list, r.eff.Path)
	}
	for _, c := range r.children {
		list = append(list, c.services...)
	}
	if old != nil && slices.Equal(old.services, list) {
		list = old.services
	}
	r.services = slices.Clip(list)
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
