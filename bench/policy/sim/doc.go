// Package sim is a discrete-event simulation of the decisions of package policy in
// virtual time: daemons send each request to a leaf of every shard; leaves have slots,
// queues, pauses and slowdowns. Simulating twelve seconds with eleven daemons and forty
// leaves takes 0.1 to 0.2 s of one core, and the same seed gives the same result.
//
// Processor time, packet loss and restarts are not simulated, so results have to be
// confirmed with real processes, as bench/forward does.
package sim
