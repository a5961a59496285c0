package settings

// QuarantineSettings holds the record of one request that crashes the leaves that run
// it, set at a node below QuarantinePath. Package quarantine interprets it.
type QuarantineSettings struct {
	Request            string
	LeafExits          int
	CrashedAttempts    int
	UnansweredAttempts int
	Variants           int
	Blocked            bool
	LastSeen           string // RFC 3339
}

// QuarantinePath is the path of the node whose children are named by request fingerprints.
const QuarantinePath = "quarantine"

// The names of the settings of a quarantined request.
const (
	NameQuarantineRequest  = "quarantine-request"
	NameQuarantineLeafEnds = "quarantine-leaf-ends"
	NameQuarantineCrashes  = "quarantine-crashes"
	NameQuarantineAttempts = "quarantine-attempts"
	NameQuarantineVariants = "quarantine-variants"
	NameQuarantineBlocked  = "quarantine-blocked"
	NameQuarantineSeen     = "quarantine-seen"
)

func quarantineSettings() []Setting {
	return []Setting{
		textSetting(NameQuarantineRequest, "method, host, path, caller", "The request that the node's fingerprint stands for.", func(e *Effective) *string { return &e.Quarantine.Request }),
		countSetting(NameQuarantineLeafEnds, "leaves", "0", "How many leaves have ended under attempts of the request that no leaf answered.", func(e *Effective) *int { return &e.Quarantine.LeafExits }),
		countSetting(NameQuarantineCrashes, "attempts", "0", "Under how many attempts of the request leaves have ended.", func(e *Effective) *int { return &e.Quarantine.CrashedAttempts }),
		countSetting(NameQuarantineAttempts, "attempts", "0", "How many attempts of the request have reached leaves without an answer, one after the other.", func(e *Effective) *int { return &e.Quarantine.UnansweredAttempts }),
		countSetting(NameQuarantineVariants, "names", "0", "How many narrower names the attempts had: queries, or callers.", func(e *Effective) *int { return &e.Quarantine.Variants }),
		{Name: NameQuarantineBlocked, Kind: Bool, Unit: "true or false", Default: "false",
			Doc:    "Whether the request is refused before it reaches a leaf. Until then it is tried at one leaf at a time.",
			assign: func(e *Effective, _ *Tier, v *value) { e.Quarantine.Blocked = v.integer == 1 }},
		textSetting(NameQuarantineSeen, "RFC 3339 time", "When the last attempt of the request was reported.", func(e *Effective) *string { return &e.Quarantine.LastSeen }),
	}
}
