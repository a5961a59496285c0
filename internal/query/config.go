package query

import (
	"pearmoor/internal/admit"
	"pearmoor/internal/link/leaf"
	"pearmoor/internal/quarantine"
	"pearmoor/internal/query/scatter"
	"pearmoor/internal/query/session"
	"pearmoor/internal/relay"
	"pearmoor/internal/vm"
)

// Catalog lists the index versions and shards that the leaves probed by this daemon hold.
// Callers must not modify what Snapshots returns.
type Catalog interface {
	Snapshots(service string) []leaf.Snapshot
}

// ProbeStatus is implemented by a Catalog that can report whether each leaf of a service
// that this daemon probes has answered a probe, or was found unreachable, since probing of
// it began.
type ProbeStatus interface {
	Known(service string) bool
}

// Config holds the dependencies and limits of an Engine.
type Config struct {
	Self      vm.Identity
	Source    relay.Source
	Gates     *admit.Gates
	Sender    scatter.Sender
	Catalog   Catalog
	Conns     relay.Conns
	Clock     vm.Clock
	KeyLimits session.Limits // DefaultKeyLimits if zero
	// Quarantine lists the queries that crash leaves. If nil, no query is quarantined.
	Quarantine *quarantine.Registry
}

// DefaultKeyLimits bounds the memory for the keys and stored answers of non-repeatable
// requests to about 64 MB.
var DefaultKeyLimits = session.Limits{Keys: 100_000, AnswerBytes: 64 << 10, TotalBytes: 48 << 20}
