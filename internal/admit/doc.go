// Package admit decides when a request may be sent to a leaf.
//
// Each leaf has a gate with this daemon's share of the leaf's slots. A permit
// is one slot: it is held from before the request is written until the leaf is
// known to be done with it. What has no permit waits in a bounded queue, or is
// refused at once with verdict NotRun when the expected wait can't fit its
// deadline. A fence on the boot-time clock voids every permit whose lease has
// run out. Budgets bound hedges and retries by the primary traffic.
package admit
