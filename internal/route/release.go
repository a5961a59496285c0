package route

import "time"

// Release is a complete routing configuration. The release with the higher number
// replaces the one with the lower number.
type Release struct {
	Number   uint64    `json:"number"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
	// KeysRequired is true if the configuration lists organisations, even if the list is empty.
	KeysRequired  bool           `json:"keys_required,omitempty"`
	Organisations []Organisation `json:"organisations,omitempty"`
	Extra         string         `json:"extra,omitempty"` // JSON object with unknown fields; stored, not interpreted
}

// Route selects requests by host and path prefix. It sends them to Service, to one
// service of Split chosen by weight, or to every service of Shards.
type Route struct {
	Name          string            `json:"name"`
	Host          string            `json:"host"`
	Prefix        string            `json:"prefix"`
	Repeatable    bool              `json:"repeatable"` // a request may run more than once
	Timeout       time.Duration     `json:"timeout"`
	TargetLatency time.Duration     `json:"target_latency"`
	Priority      int               `json:"priority"` // 0 is the highest
	MaxAttempts   int               `json:"attempts"` // maximum number of leaves that a request is sent to, for each shard
	Service       string            `json:"service,omitempty"`
	Split         []WeightedService `json:"split,omitempty"`
	Shards        []string          `json:"shards,omitempty"`
	Top           int               `json:"top,omitempty"`            // maximum number of records in a gathered answer
	MinCoverage   float64           `json:"least_coverage,omitempty"` // minimum fraction of the shards in an answer, 0 to 1
	// Regions are those whose leaves and daemons may receive a request. Empty: all.
	Regions []string `json:"regions,omitempty"`
	// Public routes need no API key.
	Public bool   `json:"public,omitempty"`
	Extra  string `json:"extra,omitempty"`

	// AnswerMargin and ReplyBytes are set in the settings tree by an operator. They are not part of
	// a release.
	AnswerMargin time.Duration `json:"-"`
	ReplyBytes   int64         `json:"-"`
}

// WeightedService is a service that receives a share of a route's requests in
// proportion to its weight.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Service is a group of interchangeable leaves.
type Service struct {
	Name        string `json:"name"`
	HealthPath  string `json:"health_path,omitempty"`
	Connections int    `json:"connections,omitempty"` // maximum that one leaf accepts from all daemons together; 0: unknown
	Protocol    string `json:"protocol,omitempty"`
	TLS         bool   `json:"tls,omitempty"`
	// WarmUpRate is the number of requests per second that one leaf bears while it warms up,
	// from all daemons together; 0: not limited.
	WarmUpRate float64 `json:"warm_up_rate,omitempty"`
	Extra      string  `json:"extra,omitempty"`
}

// Limits bounds the size of a caller's headers and body, the time to send the
// headers and the time that a connection may be idle.
type Limits struct {
	HeaderBytes   int           `json:"header_bytes"`
	BodyBytes     int64         `json:"body_bytes"`
	HeaderTimeout time.Duration `json:"header_timeout"`
	IdleTimeout   time.Duration `json:"idle_timeout"`
}

// IsGather reports whether an answer of the route is merged from the replies of
// several shards.
func (r *Route) IsGather() bool { return len(r.Shards) > 0 }

// Targets returns the services that the route may send a request to.
func (r *Route) Targets() []string {
	switch {
	case r.IsGather():
		return r.Shards
	case len(r.Split) > 0:
		out := make([]string, len(r.Split))
		for i := range r.Split {
			out[i] = r.Split[i].Service
		}
		return out
	case r.Service != "":
		return []string{r.Service}
	}
	return nil
}
