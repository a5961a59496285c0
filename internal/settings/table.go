package settings

import "slices"

// The names of settings that the code refers to.
const (
	nameLeaves          = "leaves"
	nameDrained         = "drained"
	nameLeafSlots       = "leaf-slots"
	nameLeafConnections = "leaf-connections"
	nameConnectCost     = "connect-cost"
	nameHomes           = "homes"
	nameDeadlineDefault = "deadline-default"
	nameDeadlineMax     = "deadline-max"
	nameHedgeAfter      = "hedge-after"
	nameProbeInterval   = "probe-interval"
	nameDaemonLease     = "daemon-lease"
	nameResendWindow    = "resend-window"
)

// allSettings returns all settings in the order of the reference page.
func allSettings() []Setting {
	return slices.Concat(leafSettings(), querySettings(), loadControlSettings(), tierSettings(),
		routeSettings(), serviceSettings(), callerLimitSettings(), releaseSettings(), quarantineSettings(), evacuationSettings(), organisationSettings())
}

func leafSettings() []Setting {
	return []Setting{
		{Name: nameLeaves, Kind: LeafList, Unit: "name=ip:port@domain,...",
			Doc:    "The targets that hold the shards of this node, which makes it a query service. A query service has no nodes below it. No name or address of a leaf may stand in two query services: its slots would be handed out twice.",
			assign: func(e *Effective, _ *Tier, v *value) { e.Leaves = v.leaves }},
		{Name: nameDrained, Kind: NameList, Unit: "name,...",
			Doc:    "Leaves of this query service that take no new work. What they already run is finished.",
			assign: func(e *Effective, _ *Tier, v *value) { e.Drained = v.names }},
		{Name: nameLeafSlots, Kind: Count, Unit: "requests", Min: "1", Max: "1024", Default: "2", Inherits: true,
			Doc:    "The most requests a leaf runs at once, counted over all daemons.",
			assign: func(e *Effective, _ *Tier, v *value) { e.LeafSlots = int(v.integer) }},
		{Name: nameLeafConnections, Kind: Count, Unit: "connections", Min: "1", Max: "65535", Default: "30", Inherits: true,
			Doc:    "The most connections a leaf accepts, counted over all daemons. At least leaf-slots.",
			assign: func(e *Effective, _ *Tier, v *value) { e.LeafConnections = int(v.integer) }},
		{Name: nameConnectCost, Kind: Duration, Unit: "duration", Min: "0s", Max: "10s", Default: "6ms", Inherits: true,
			Doc:    "How long a new connection to a leaf takes. Shorter than deadline-default.",
			assign: func(e *Effective, _ *Tier, v *value) { e.ConnectCost = v.duration() }},
		{Name: "leaf-tls", Kind: Bool, Unit: "true or false", Default: "false", Inherits: true,
			Doc:    "Whether leaves are reached by HTTPS.",
			assign: func(e *Effective, _ *Tier, v *value) { e.LeafTLS = v.integer == 1 }},
		{Name: nameHomes, Kind: Count, Unit: "daemons", Min: "1", Max: "64", Default: "2", Inherits: true,
			Doc:    "How many daemons share the slots of a leaf and may send to it. At most leaf-slots, so that each has at least one. More homes lose less capacity when a daemon fails, and leave each a smaller share.",
			assign: func(e *Effective, _ *Tier, v *value) { e.Homes = int(v.integer) }},
	}
}

func querySettings() []Setting {
	return []Setting{
		{Name: "priority", Kind: Choice, Unit: "word", Choices: []string{"ordinary", "urgent"}, Default: "ordinary", Inherits: true,
			Doc:    "The order in which queries that wait for the same leaf are let in.",
			assign: func(e *Effective, _ *Tier, v *value) { e.Priority = Priority(v.integer) }},
		{Name: "goal", Kind: Choice, Unit: "word", Choices: []string{"coverage", "tail"}, Default: "coverage", Inherits: true,
			Doc:    "What a query keeps when it can't have both: coverage waits for stragglers until the deadline, tail hedges earlier and gives up on a straggler sooner.",
			assign: func(e *Effective, _ *Tier, v *value) { e.Goal = Goal(v.integer) }},
		{Name: "snapshot", Kind: Choice, Unit: "word", Choices: []string{"joint", "per-service"}, Default: "joint", Inherits: true,
			Doc:    "Whether an answer over several query services is of one index version in all (joint), or of one for each (per-service).",
			assign: func(e *Effective, _ *Tier, v *value) { e.Snapshot = SnapshotScope(v.integer) }},
		{Name: nameDeadlineDefault, Kind: Duration, Unit: "duration", Min: "10ms", Max: "10m", Default: "1s", Inherits: true,
			Doc:    "The deadline of a request that names none. At most deadline-max.",
			assign: func(e *Effective, _ *Tier, v *value) { e.DeadlineDefault = v.duration() }},
		{Name: nameDeadlineMax, Kind: Duration, Unit: "duration", Min: "10ms", Max: "10m", Default: "4s", Inherits: true,
			Doc:    "The longest deadline a request may name. Shorter than daemon-lease by 2s or more: no attempt may outlive the lease of the daemon that sent it.",
			assign: func(e *Effective, _ *Tier, v *value) { e.DeadlineMax = v.duration() }},
		{Name: "early-coverage", Kind: Ratio, Unit: "0 to 1", Min: "0", Max: "1", Default: "0", Inherits: true,
			Doc:    "The coverage from which on an answer may be given before its deadline, if the caller accepts that too; 0 is never.",
			assign: func(e *Effective, _ *Tier, v *value) { e.EarlyCoverage = v.ratio }},
		{Name: "body-limit", Kind: Bytes, Unit: "bytes", Min: "1KiB", Max: "64MiB", Default: "1MiB", Inherits: true,
			Doc:    "The largest request body taken.",
			assign: func(e *Effective, _ *Tier, v *value) { e.BodyLimit = int(v.integer) }},
		{Name: "hit-limit", Kind: Count, Unit: "hits", Min: "0", Max: "10000000", Default: "0", Inherits: true,
			Doc:    "The most hits in an answer; 0 is no limit.",
			assign: func(e *Effective, _ *Tier, v *value) { e.HitLimit = int(v.integer) }},
	}
}

func loadControlSettings() []Setting {
	return []Setting{
		{Name: nameHedgeAfter, Kind: Duration, Unit: "duration", Min: "0s", Max: "10m", Default: "0s", Inherits: true,
			Doc:    "How long a repeatable attempt may take before a second one is sent to another replica; 0s learns it from the query service's own latency. Shorter than deadline-default.",
			assign: func(e *Effective, _ *Tier, v *value) { e.HedgeAfter = v.duration() }},
		{Name: "hedge-budget", Kind: Ratio, Unit: "0 to 1", Min: "0", Max: "1", Default: "0.03", Inherits: true,
			Doc:    "The most hedges for each first attempt; 0 switches hedging off.",
			assign: func(e *Effective, _ *Tier, v *value) { e.HedgeBudget = v.ratio }},
		{Name: "retry-budget", Kind: Ratio, Unit: "0 to 1", Min: "0", Max: "1", Default: "0.1", Inherits: true,
			Doc:    "The most retries for each first attempt; 0 switches retries off.",
			assign: func(e *Effective, _ *Tier, v *value) { e.RetryBudget = v.ratio }},
		{Name: "queue-limit", Kind: Count, Unit: "attempts", Min: "0", Max: "100000", Default: "64", Inherits: true,
			Doc:    "The most attempts that wait for one leaf at one home; 0 lets none wait.",
			assign: func(e *Effective, _ *Tier, v *value) { e.QueueLimit = int(v.integer) }},
		{Name: "ramp", Kind: Duration, Unit: "duration", Min: "0s", Max: "10m", Default: "10s", Inherits: true,
			Doc:    "How long a new or returning leaf takes to get its whole share of work; 0s gives it at once.",
			assign: func(e *Effective, _ *Tier, v *value) { e.Ramp = v.duration() }},
		{Name: nameProbeInterval, Kind: Duration, Unit: "duration", Min: "100ms", Max: "2s", Default: "500ms", Inherits: true,
			Doc:    "How often a home asks a leaf for its state, and so about how long a leaf that is leaving may still get new work.",
			assign: func(e *Effective, _ *Tier, v *value) { e.ProbeInterval = v.duration() }},
	}
}

func tierSettings() []Setting {
	return []Setting{
		{Name: nameDaemonLease, Kind: Duration, Unit: "duration", Min: "3s", Max: "10m", Default: "6s", RootOnly: true,
			Doc:    "How long a daemon takes new work without a confirmation from control. A longer one rides out a longer loss of control, and a share of slots whose daemon was lost comes back later.",
			assign: func(_ *Effective, t *Tier, v *value) { t.DaemonLease = v.duration() }},
		{Name: "address-lifetime", Kind: Duration, Unit: "duration", Min: "1s", Max: "1h", Default: "30s", RootOnly: true,
			Doc:    "How long a caller keeps an address list. A daemon that is stopped on plan serves on for this long.",
			assign: func(_ *Effective, t *Tier, v *value) { t.AddressLifetime = v.duration() }},
		{Name: nameResendWindow, Kind: Duration, Unit: "duration", Min: "1s", Max: "24h", Default: "1m", RootOnly: true,
			Doc:    "How long the outcome of a request that is not repeatable is kept for resends after its session has ended. At least deadline-max.",
			assign: func(_ *Effective, t *Tier, v *value) { t.ResendWindow = v.duration() }},
	}
}
