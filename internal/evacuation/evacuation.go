package evacuation

import (
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"pearmoor/internal/settings"
)

// Domain is the agreed state of one failure domain. The zero value is that of a domain that
// has never been evacuated.
type Domain struct {
	Evacuated bool
	// Revision is the version of the settings tree that the newest accepted order became.
	Revision uint64
}

// Order is an operator's order for one failure domain.
type Order struct {
	Domain   string
	Evacuate bool // false: end the evacuation
	// SeenVersion is the version of the settings tree known to the daemon that received the
	// order, at the time it received it.
	SeenVersion uint64
}

// Accepts reports whether the order takes effect. An order for the state that the domain is
// in already is accepted and becomes a new revision, so that an opposite order that was
// received earlier is outdated from then on.
func (d Domain) Accepts(o Order) bool {
	return d.Evacuated == o.Evacuate || o.SeenVersion >= d.Revision
}

// Domains maps failure domains to their states.
type Domains map[string]Domain

// FromTree reads the states stored in a settings tree. Invalid nodes are logged; their
// domains stay evacuated if the tree says so.
func FromTree(t *settings.Tree) Domains {
	names := t.Children(settings.EvacuationsPath)
	out := make(Domains, len(names))
	for _, name := range names {
		path := settings.EvacuationsPath + settings.Root + name
		e, _ := t.Effective(path)
		in := &e.Evacuation
		d := Domain{Evacuated: in.Evacuated}
		var err error
		if d.Revision, err = strconv.ParseUint(in.Revision, 10, 64); err != nil {
			klog.Warningf("evacuation: %s has an invalid revision, any order is accepted: %v", path, err)
		}
		domain := in.Domain
		if domain == "" {
			domain = name
		}
		out[domain] = d
	}
	return out
}

// Evacuated returns the sorted names of the evacuated domains.
func (d Domains) Evacuated() []string {
	var out []string
	for name, state := range d {
		if state.Evacuated {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Edits returns the edits that store the order in the settings tree. revision is the version
// that the tree will have with them.
func Edits(domain string, evacuate bool, revision uint64) []settings.Edit {
	path := Path(domain)
	set := func(name, value string) settings.Edit {
		return settings.Edit{Path: path, Name: name, Value: value, Op: settings.Set}
	}
	return []settings.Edit{
		set(settings.NameEvacuationDomain, domain),
		set(settings.NameEvacuated, strconv.FormatBool(evacuate)),
		set(settings.NameEvacuationRevision, strconv.FormatUint(revision, 10)),
	}
}

// Path returns the path of the node for a failure domain. A name that is no valid node name
// is replaced by a hash.
func Path(domain string) string {
	name := domain
	if !settings.IsSegment(name) {
		name = "x-" + hex.EncodeToString(binary.BigEndian.AppendUint64(nil, xxhash.Sum64String(domain)))
	}
	return settings.EvacuationsPath + settings.Root + name
}
