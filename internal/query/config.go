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

// Catalog knows which leaves hold what, as far as this daemon probes them. The
// caller doesn't change what Snapshots returns.
type Catalog interface {
	Snapshots(service string) []leaf.Snapshot
}

// Knower is a Catalog that tells whether every leaf of a service that is probed
// here has been heard of, or found out of reach, since it is.
type Knower interface {
	Known(service string) bool
}

// Config is what an Engine works with.
type Config struct {
	Self    vm.Identity
	Source  relay.Source
	Gates   *admit.Gates
	Sender  scatter.Sender
	Catalog Catalog
	Conns   relay.Conns
	Clock   vm.Clock
	Keys    session.Limits // zero: DefaultKeys
	// Quarantine knows the queries that crash leaves; nil: none.
	Quarantine *quarantine.Registry
}

// DefaultKeys bounds the memory for keys and kept answers of requests that are
// not repeatable, to some 64 MB.
var DefaultKeys = session.Limits{Keys: 100_000, AnswerBytes: 64 << 10, TotalBytes: 48 << 20}
