// Package query answers a caller's query over every shard of the query services
// below a path of the settings tree.
//
// The daemon that a caller reached is the entry: it validates the request, pins
// an index version, asks one home of each group of leaves for its shards, and
// merges what comes back into one answer of true coverage. A home sends to the
// leaves (package scatter). A request that is not repeatable is run only by the
// daemon that issued its session (package session).
package query
