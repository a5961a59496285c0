package settings

import "slices"

// resolvedNode is a node with its effective values. It is created with the tree and
// shared with later trees for as long as neither the node nor its inherited values
// change.
type resolvedNode struct {
	node     *node
	eff      *Effective
	children []*resolvedNode // parallel to node.children
	services []string        // sorted paths of the query services at and below this node
}

// resolve resolves n and its descendants, given the effective values of the parent. old
// is the resolved node at the same path in the previous tree, or nil; unchanged parts
// of it are reused.
func (sc *schema) resolve(n *node, path string, parent *Effective, old *resolvedNode, oldParent *Effective) *resolvedNode {
	parentUnchanged := old != nil && parent == oldParent
	if parentUnchanged && old.node == n {
		return old
	}
	r := &resolvedNode{node: n, children: make([]*resolvedNode, len(n.children))}
	if parentUnchanged && slices.Equal(old.node.assignments, n.assignments) {
		r.eff = old.eff
	} else {
		r.eff = sc.resolveEffective(n, path, parent)
	}
	oldChildren := old.cursor()
	for i, c := range n.children {
		oldChild := oldChildren.seek(c.name)
		if oldChild != nil && oldChild.node == c && r.eff == old.eff {
			r.children[i] = oldChild
			continue
		}
		r.children[i] = sc.resolve(c, joinPath(path, c.name), r.eff, oldChild, old.effective())
	}
	r.collectServices(old)
	return r
}

// resolveEffective returns the effective values of n: those of its parent, overridden by
// the values that n sets. Settings that are not inherited start from their defaults.
func (sc *schema) resolveEffective(n *node, path string, parent *Effective) *Effective {
	e := *parent
	e.Path, e.Leaves, e.Drained = displayPath(path), nil, nil
	e.Route, e.Service, e.Release, e.Quarantine = sc.defaults.Route, sc.defaults.Service, sc.defaults.Release, sc.defaults.Quarantine
	e.Evacuation = sc.defaults.Evacuation
	e.Organisation = nil
	e.Route.AnswerMargin, e.Route.ReplyBytes = parent.Route.AnswerMargin, parent.Route.ReplyBytes
	for i := range n.assignments {
		a := &n.assignments[i]
		if a.val == nil {
			continue
		}
		if s, ok := sc.lookup(a.name); ok && !s.RootOnly {
			s.assign(&e, nil, a.val)
		}
	}
	if e.Organisation == nil {
		e.Organisation = sc.defaults.Organisation
	}
	return &e
}

// resolveTier returns the tier settings: the defaults, overridden by the values set at
// the root.
func (sc *schema) resolveTier(root *node) Tier {
	t := sc.tierDefaults
	for i := range root.assignments {
		a := &root.assignments[i]
		if s, ok := sc.lookup(a.name); ok && s.RootOnly && a.val != nil {
			s.assign(nil, &t, a.val)
		}
	}
	return t
}

// collectServices fills r.services. It reuses the slice of old if no query service was
// added or removed, so that successive trees share it.
func (r *resolvedNode) collectServices(old *resolvedNode) {
	if old != nil && r.childServicesUnchanged(old) {
		r.services = old.services
		return
	}
	n := 0
	for _, c := range r.children {
		n += len(c.services)
	}
	services := make([]string, 0, n+1)
	if r.isService() {
		services = append(services, r.eff.Path)
	}
	for _, c := range r.children {
		services = append(services, c.services...)
	}
	r.services = services
}

func (r *resolvedNode) isService() bool { return len(r.eff.Leaves) > 0 }

// childServicesUnchanged reports whether r and old are both query services or both not,
// and their children share the same service slices.
func (r *resolvedNode) childServicesUnchanged(old *resolvedNode) bool {
	if r.isService() != old.isService() || len(r.children) != len(old.children) {
		return false
	}
	for i, c := range r.children {
		if !identicalSlices(c.services, old.children[i].services) {
			return false
		}
	}
	return true
}

// identicalSlices reports whether a and b share their memory and have the same length.
func identicalSlices[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// childCursor looks up children of a node by name. Successive lookups must be in sorted
// order, so that all of them together take one pass over the children.
type childCursor struct{ remaining []*resolvedNode }

func (r *resolvedNode) cursor() childCursor {
	if r == nil {
		return childCursor{}
	}
	return childCursor{remaining: r.children}
}

func (c *childCursor) seek(name string) *resolvedNode {
	for len(c.remaining) > 0 && c.remaining[0].node.name < name {
		c.remaining = c.remaining[1:]
	}
	if len(c.remaining) == 0 || c.remaining[0].node.name != name {
		return nil
	}
	return c.remaining[0]
}

func (r *resolvedNode) child(name string) *resolvedNode {
	if r == nil {
		return nil
	}
	if i, ok := r.node.findChild(name); ok {
		return r.children[i]
	}
	return nil
}

// effective returns the effective values of r, or nil if r is nil.
func (r *resolvedNode) effective() *Effective {
	if r == nil {
		return nil
	}
	return r.eff
}
