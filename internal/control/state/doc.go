// Package state is the state that every control VM builds from the agreed log:
// the settings tree and its newest changes, the daemon membership, and which
// version is in force everywhere.
//
// Apply is a pure function of the state and the entry: it reads no clock and
// does no I/O, so that all control VMs reach the same state. A State is not
// safe for concurrent use, but everything it returns is immutable.
package state
