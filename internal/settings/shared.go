package settings

import "pearmoor/internal/contract"

// checkSharedLeaves rejects a leaf name or address that two query services declare. Each
// service would use all slots of the target, which would then run twice as many requests
// as it can.
//
// The index contains only the services whose leaves changed, to save memory; the leaves
// of all services are looked up in it.
func checkSharedLeaves(t *Tree, changed []*Effective) contract.Faults {
	if len(changed) == 0 {
		return nil
	}
	index := newLeafIndex(changed)
	for _, path := range t.resolvedRoot.services {
		e, _ := t.Effective(path)
		for i := range e.Leaves {
			index.checkLeaf(e, &e.Leaves[i])
		}
	}
	return index.faults
}

// leafIndex maps leaf names and addresses to the changed query service that declares
// them, and collects faults.
type leafIndex struct {
	names, addrs map[string]*Effective
	faults       contract.Faults
}

func newLeafIndex(changed []*Effective) *leafIndex {
	n := 0
	for _, e := range changed {
		n += len(e.Leaves)
	}
	index := &leafIndex{names: make(map[string]*Effective, n), addrs: make(map[string]*Effective, n)}
	for _, e := range changed {
		for _, l := range e.Leaves {
			index.names[l.Name] = e
			index.addrs[l.Addr] = e
		}
	}
	return index
}

// checkLeaf reports a leaf of e whose name or address a changed service also declares. A
// conflict between two changed services is reported once, because the index contains
// only the later one.
func (ix *leafIndex) checkLeaf(e *Effective, l *Leaf) {
	if declaring, ok := ix.addrs[l.Addr]; ok && declaring != e {
		ix.addFault(declaring, e, "address", l.Addr)
		return
	}
	if declaring, ok := ix.names[l.Name]; ok && declaring != e {
		ix.addFault(declaring, e, "name", l.Name)
	}
}

func (ix *leafIndex) addFault(declaring, other *Effective, attribute, text string) {
	ix.faults = append(ix.faults, contract.Fault{
		Field: fieldOf(declaring.Path, nameLeaves), Value: text,
		Why: "the " + attribute + " is that of a leaf of " + other.Path + " as well",
		Fix: "declare a target in one query service, under one name and address",
	})
}
