// Package admit decides when a request may be sent to a leaf.
//
// Each leaf has a gate that holds this daemon's share of the leaf's slots. A permit
// is one slot. It is held from before the request is written until the leaf has
// finished with it. A request without a permit waits in a bounded queue, or is
// refused immediately with verdict NotRun if its expected wait exceeds its deadline.
// Permits are valid only under the configuration lease they were granted under; the
// lease is checked against the boot-time clock. Budgets limit hedges and retries in
// proportion to primary attempts.
package admit
