package settings

import "slices"

// EvacuationSettings holds the state of one failure domain, set at a node below
// EvacuationsPath. Package evacuation interprets it.
type EvacuationSettings struct {
	Domain    string // "": the name of the node
	Evacuated bool
	Revision  string // decimal
}

// EvacuationsPath is the path of the node whose children stand for failure domains.
const EvacuationsPath = "evacuations"

// The names of the settings of an evacuation.
const (
	NameEvacuationDomain   = "evacuation-domain"
	NameEvacuated          = "evacuated"
	NameEvacuationRevision = "evacuation-revision"
)

func evacuationSettings() []Setting {
	return []Setting{
		textSetting(NameEvacuationDomain, "failure domain", "The failure domain that the node stands for.", func(e *Effective) *string { return &e.Evacuation.Domain }),
		{Name: NameEvacuated, Kind: Bool, Unit: "true or false", Default: "false",
			Doc:    "Whether leaves in the failure domain receive no requests. Use 'pearmoor evacuate', which also sets evacuation-revision.",
			assign: func(e *Effective, _ *Tier, v *value) { e.Evacuation.Evacuated = v.integer == 1 }},
		textSetting(NameEvacuationRevision, "version", "The version of the tree in which the newest order was accepted. An order that was received earlier has no effect.", func(e *Effective) *string { return &e.Evacuation.Revision }),
	}
}

// IsOperationalPath reports whether the node at path holds state of the running tier instead
// of configuration: exported files leave it out, and applying a file does not change it.
func IsOperationalPath(path string) bool {
	return slices.ContainsFunc(OperationalPaths(), func(base string) bool { return IsWithin(path, base) })
}

// OperationalPaths returns the paths of the nodes that hold state of the running tier.
func OperationalPaths() []string { return []string{QuarantinePath, EvacuationsPath} }
