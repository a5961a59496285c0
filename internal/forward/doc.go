// Package forward forwards requests of callers to leaves without changing them. A single
// request goes to one leaf of one service. A gather goes to one leaf of each of many
// services, called shards, and the replies, called parts, are merged into one answer.
//
// The verdict of a send decides how its failure is handled. A request that provably did
// not run may be sent to another leaf, and may be refused as not run. A request that may
// have run is sent to another leaf only if it is repeatable, and is never reported as not
// run. Retries and hedges are bounded by a budget that all daemons share (policy.Budgets).
package forward
