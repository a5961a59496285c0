package settings

import "pearmoor/internal/contract"

// checkSharedLeaves rejects a leaf name or address that two query services declare. Each
// service would use all slots of the target, which would then run twice as many requests
// as it can.
//
// The index contains only the services whose leaves changed, to save memory; the leaves
// of all services are looked up in it.
func sharedLeaves(t *Tree, moved []*Effective) contract.Faults {
	if len(moved) == 0 {
		return nil
	}
	ix := newLeafIndex(moved)
	for _, path := range t.top.services {
		e, _ := t.Effective(path)
		for i := range e.Leaves {
			ix.meet(e, &e.Leaves[i])
		}
	}
	return ix.faults
}

// leafIndex maps leaf names and addresses to the changed query service that declares
// them, and collects faults.
type leafIndex struct {
	names, addrs map[string]*Effective
	faults       contract.Faults
}

func newLeafIndex(moved []*Effective) *leafIndex {
	n := 0
	for _, e := range moved {
		n += len(e.Leaves)
	}
	ix := &leafIndex{names: make(map[string]*Effective, n), addrs: make(map[string]*Effective, n)}
	for _, e := range moved {
		for _, l := range e.Leaves {
			ix.names[l.Name] = e
			ix.addrs[l.Addr] = e
		}
	}
	return ix
}

// checkLeaf reports a leaf of e whose name or address a changed service also declares. A
// conflict between two changed services is reported once, because the index contains
// only the later one.
func (ix *leafIndex) meet(e *Effective, l *Leaf) {
	if moved, ok := ix.addrs[l.Addr]; ok && moved != e {
		ix.fault(moved, e, "address", l.Addr)
		return
	}
	if moved, ok := ix.names[l.Name]; ok && moved != e {
		ix.fault(moved, e, "name", l.Name)
	}
}

func (ix *leafIndex) fault(moved, other *Effective, what, text string) {
	ix.faults = append(ix.faults, contract.Fault{
		Field: fieldOf(moved.Path, nameLeaves), Value: text,
		Why: "the " + what + " is that of a leaf of " + other.Path + " as well",
		Fix: "declare a target in one query service, under one name and address",
	})
}
