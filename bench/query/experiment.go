package main

import "context"

// experiment is one experiment with its name on the command line.
type experiment struct {
	name string
	doc  string
	run  func(context.Context, *env) error
}

func experiments() []experiment {
	return []experiment{
		{"policies", "the other sides alone, without a tier: naive, adaptive limits and oracle at 60% and at twice the capacity", policies},
		{"stragglers", "latency over 40 shards, 1% of attempts 20 times slow, at 60% of the slots, against naive fan-out and an oracle", stragglers},
		{"limits", "most in flight per leaf over its slots at 60% and at twice the capacity: naive, adaptive limits, homes", limits},
		{"overload", "goodput at twice the capacity over goodput at capacity, and the refusals", overload},
		{"homes", "most in flight per leaf over its slots: steady, hand-over, kill -9, pause and resume of a home", homes},
		{"replicas", "coverage with one replica of each shard lost, against naive fan-out", replicas},
		{"index", "rolling index change and repartition under load: mixed, lost and doubled hits, coverage", indexChange},
		{"connections", "connections per leaf over its cap, and reconnects once warm, against naive fan-out", connections},
		{"restart", "rolling restart of every daemon under load: failed and doubled requests", rollingRestart},
		{"crashes", "kill -9 and restart at once of daemons under load: doubled runs of requests that are not repeatable", crashes},
		{"drain", "a leaving leaf: time from its word, and from the operator's, to the last new work", drainLeaf},
		{"cpu", "processor time of the daemons per leaf request, over a bare net/http loop", cpuPerRequest},
	}
}
