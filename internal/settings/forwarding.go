package settings

import "time"

// RouteSettings holds the settings of one route, set at a node below RoutesPath: which
// requests it matches and where they are forwarded. Package route interprets them.
type RouteSettings struct {
	Name          string // "": the name of the node
	Host          string
	Prefix        string
	Service       string
	Split         string // service=weight,...
	Shards        string // service,...
	Regions       string // region,...
	UnknownFields string // a JSON object with the fields that this release does not know
	NotRepeatable bool
	Public        bool // no API key is needed
	Attempts      int
	Priority      int
	MaxRecords    int
	MinCoverage   float64

	Timeout       time.Duration
	TargetLatency time.Duration
	AnswerMargin  time.Duration // inherited by the nodes below, as ReplyBytes is, unlike the other fields
	ReplyBytes    int64         // maximum size of a reply that is passed on, as sent by the leaf
}

// ServiceSettings holds the settings of one service that requests are forwarded to, set
// at a node below ServicesPath.
type ServiceSettings struct {
	Name          string // "": the name of the node
	HealthPath    string
	Protocol      string
	UnknownFields string
	WarmUpRate    float64 // requests per second that a leaf bears while it warms up, from all daemons together; 0: not limited
	Connections   int     // maximum connections that a leaf accepts from all daemons together; 0: not set
}

// CallerLimits bounds the size of a caller's requests, the time to send a request header
// and the idle time of a connection.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// ReleaseSettings identifies the complete configuration that an operator's system sent.
type ReleaseSettings struct {
	Number       string // decimal
	RouteOrder   string // node names in order, if the routes are not sorted by name
	ServiceOrder string
	// OrganisationOrder is like RouteOrder.
	OrganisationOrder string
	UnknownFields     string
}

// The paths of the nodes that hold a complete configuration sent by an operator's system.
const (
	RoutesPath   = "routes"
	ServicesPath = "services"
	LimitsPath   = "limits"
	ReleasePath  = "release"
)

// The names of the settings that make up a complete configuration.
const (
	NameRouteName          = "route-name"
	NameRouteHost          = "route-host"
	NameRoutePrefix        = "route-prefix"
	NameRouteService       = "route-service"
	NameRouteSplit         = "route-split"
	NameRouteShards        = "route-shards"
	NameRouteRepeatable    = "route-repeatable"
	NameRouteAttempts      = "route-attempts"
	NameRoutePriority      = "route-priority"
	NameRouteTop           = "route-top"
	NameRouteLeastCoverage = "route-least-coverage"
	NameRouteTimeout       = "route-timeout"
	NameRouteTargetLatency = "route-target-latency"
	NameRouteRegions       = "route-regions"
	NameRouteExtra         = "route-extra"
	NameServiceName        = "service-name"
	NameServiceHealthPath  = "service-health-path"
	NameServiceProtocol    = "service-protocol"
	NameServiceConnections = "service-connections"
	NameServiceWarmUpRate  = "service-warm-up-rate"
	NameServiceExtra       = "service-extra"
	NameServiceTLS         = "leaf-tls"
	NameHeaderLimit        = "caller-header-limit"
	NameBodyLimit          = "caller-body-limit"
	NameHeaderTimeout      = "caller-header-timeout"
	NameIdleTimeout        = "caller-idle-timeout"
	NameReleaseNumber      = "release-number"
	NameReleaseRoutes      = "release-route-order"
	NameReleaseServices    = "release-service-order"
	NameReleaseExtra       = "release-extra"
)

// Upper bounds of the settings of routes, services and callers.
const (
	maxTimeout = "24h"
	maxCount   = "1000000000"
	maxSize    = "1048576GiB"
	maxRate    = "1000000"
)

// textSetting returns a setting of kind Text that is not inherited.
func textSetting(name, unit, doc string, field func(*Effective) *string) Setting {
	return Setting{Name: name, Kind: Text, Unit: unit, Doc: doc,
		assign: func(e *Effective, _ *Tier, v *value) { *field(e) = v.text }}
}

// countSetting returns a setting of kind Count that is not inherited.
func countSetting(name, unit, def, doc string, field func(*Effective) *int) Setting {
	return Setting{Name: name, Kind: Count, Unit: unit, Min: "0", Max: maxCount, Default: def, Doc: doc,
		assign: func(e *Effective, _ *Tier, v *value) { *field(e) = int(v.integer) }}
}

// durationSetting returns a setting of kind Duration that is not inherited.
func durationSetting(name, def, doc string, field func(*Effective) *time.Duration) Setting {
	return Setting{Name: name, Kind: Duration, Unit: "duration", Min: "0s", Max: maxTimeout, Default: def, Doc: doc,
		assign: func(e *Effective, _ *Tier, v *value) { *field(e) = v.duration() }}
}

// inheritable returns s as a setting that the nodes below inherit.
func inheritable(s Setting) Setting {
	s.Inherits = true
	return s
}

// routeSettings returns the settings of the nodes below RoutesPath. There are no conflict
// rules between them: package route validates a complete configuration before it becomes
// a change, and the tree must never reject a configuration that was accepted there.
func routeSettings() []Setting {
	return []Setting{
		textSetting(NameRouteName, "name", "The route's name where it can't be the node's.", func(e *Effective) *string { return &e.Route.Name }),
		textSetting(NameRouteHost, "host name", "The host whose requests the route takes.", func(e *Effective) *string { return &e.Route.Host }),
		textSetting(NameRoutePrefix, "path", "How a path begins that the route takes; of several routes of a host the longest prefix wins.", func(e *Effective) *string { return &e.Route.Prefix }),
		textSetting(NameRouteService, "service", "The service that requests are forwarded to.", func(e *Effective) *string { return &e.Route.Service }),
		textSetting(NameRouteSplit, "service=weight,...", "The services that share the route's requests, each with its weight.", func(e *Effective) *string { return &e.Route.Split }),
		textSetting(NameRouteShards, "service,...", "The services that each answer a part of the request.", func(e *Effective) *string { return &e.Route.Shards }),
		{Name: NameRouteRepeatable, Kind: Bool, Unit: "true or false", Default: "true",
			Doc:    "Whether a request may run more than once.",
			assign: func(e *Effective, _ *Tier, v *value) { e.Route.NotRepeatable = v.integer == 0 }},
		countSetting(NameRouteAttempts, "leaves", "1", "The most leaves that one request may be sent to; of each shard, where there are shards.", func(e *Effective) *int { return &e.Route.Attempts }),
		countSetting(NameRoutePriority, "rank", "0", "The rank of the route's requests when not all can be served; 0 is the highest.", func(e *Effective) *int { return &e.Route.Priority }),
		countSetting(NameRouteTop, "records", "0", "How many of the greatest records an answer made of parts holds.", func(e *Effective) *int { return &e.Route.MaxRecords }),
		{Name: NameRouteLeastCoverage, Kind: Ratio, Unit: "0 to 1", Min: "0", Max: "1", Default: "0",
			Doc:    "The least share of the shards that an answer made of parts holds.",
			assign: func(e *Effective, _ *Tier, v *value) { e.Route.MinCoverage = v.ratio }},
		textSetting(NameRouteRegions, "region,...", "The regions whose leaves and daemons may receive a request; all, where none is stated.", func(e *Effective) *string { return &e.Route.Regions }),
		durationSetting(NameRouteTimeout, "0s", "The longest time a caller is kept waiting.", func(e *Effective) *time.Duration { return &e.Route.Timeout }),
		durationSetting(NameRouteTargetLatency, "0s", "The time within which an answer is wanted.", func(e *Effective) *time.Duration { return &e.Route.TargetLatency }),
		{Name: "answer-margin", Kind: Duration, Unit: "duration", Min: "0s", Max: "10s", Default: "14ms", Inherits: true,
			Doc:    "How long before route-target-latency an answer made of parts is given without the parts that are still missing, if it holds route-least-coverage. It covers the way from and to the caller.",
			assign: func(e *Effective, _ *Tier, v *value) { e.Route.AnswerMargin = v.duration() }},
		{Name: "reply-limit", Kind: Bytes, Unit: "bytes", Min: "64KiB", Max: maxSize, Default: "64MiB", Inherits: true,
			Doc:    "The most bytes of a leaf's reply, as it is sent, that are passed on to a caller. A longer reply breaks off.",
			assign: func(e *Effective, _ *Tier, v *value) { e.Route.ReplyBytes = v.integer }},
		{Name: NameRoutePublic, Kind: Bool, Unit: "true or false", Default: "false",
			Doc:    "Whether requests need no API key where the configuration lists organisations.",
			assign: func(e *Effective, _ *Tier, v *value) { e.Route.Public = v.integer == 1 }},
		textSetting(NameRouteExtra, "JSON object", "Fields of the route that this release does not know. They are kept and have no effect.", func(e *Effective) *string { return &e.Route.UnknownFields }),
	}
}

func serviceSettings() []Setting {
	return []Setting{
		textSetting(NameServiceName, "name", "The service's name where it can't be the node's.", func(e *Effective) *string { return &e.Service.Name }),
		textSetting(NameServiceHealthPath, "path", "Where a leaf of the service tells its health.", func(e *Effective) *string { return &e.Service.HealthPath }),
		textSetting(NameServiceProtocol, "word", "The protocol that leaves of the service speak.", func(e *Effective) *string { return &e.Service.Protocol }),
		countSetting(NameServiceConnections, "connections", "0", "The most connections a leaf of the service accepts, from all daemons together; 0 is not stated.", func(e *Effective) *int { return &e.Service.Connections }),
		{Name: NameServiceWarmUpRate, Kind: Ratio, Unit: "requests per second", Min: "0", Max: maxRate, Default: "0",
			Doc:    "The most requests per second that a leaf of the service bears while it warms up, from all daemons together; 0 is no limit.",
			assign: func(e *Effective, _ *Tier, v *value) { e.Service.WarmUpRate = v.ratio }},
		textSetting(NameServiceExtra, "JSON object", "Fields of the service that this release does not know. They are kept and have no effect.", func(e *Effective) *string { return &e.Service.UnknownFields }),
	}
}

func callerLimitSettings() []Setting {
	return []Setting{
		inheritable(countSetting(NameHeaderLimit, "bytes", "65536", "The most bytes of a request's header.", func(e *Effective) *int { return &e.Caller.HeaderBytes })),
		{Name: NameBodyLimit, Kind: Bytes, Unit: "bytes", Min: "0B", Max: maxSize, Default: "1MiB", Inherits: true,
			Doc:    "The most bytes of a forwarded request's body.",
			assign: func(e *Effective, _ *Tier, v *value) { e.Caller.BodyBytes = v.integer }},
		inheritable(durationSetting(NameHeaderTimeout, "10s", "How long a caller may take to send a request's header.", func(e *Effective) *time.Duration { return &e.Caller.HeaderTimeout })),
		inheritable(durationSetting(NameIdleTimeout, "1m", "How long a caller's connection may be idle.", func(e *Effective) *time.Duration { return &e.Caller.IdleTimeout })),
	}
}

func releaseSettings() []Setting {
	return []Setting{
		textSetting(NameReleaseNumber, "number", "The number under which the whole configuration was sent.", func(e *Effective) *string { return &e.Release.Number }),
		textSetting(NameReleaseRoutes, "node,...", "The order of the routes where it is not that of their names.", func(e *Effective) *string { return &e.Release.RouteOrder }),
		textSetting(NameReleaseServices, "node,...", "The order of the services where it is not that of their names.", func(e *Effective) *string { return &e.Release.ServiceOrder }),
		textSetting(NameReleaseOrganisations, "node,...", "The order of the organisations where it is not that of their names.", func(e *Effective) *string { return &e.Release.OrganisationOrder }),
		// Secret, because a list of organisations under a field that this release does not know
		// holds keys.
		secret(textSetting(NameReleaseExtra, "JSON object", "Fields of the whole configuration that this release does not know. They are kept and have no effect.", func(e *Effective) *string { return &e.Release.UnknownFields })),
	}
}
