// Package state implements the state machine that every control VM builds from the
// replicated log: the settings tree and its recent changes, the daemon membership, and
// the newest version that is in force everywhere.
//
// Apply is a pure function of the state and the entry. It reads no clock and does no
// I/O, so that all control VMs reach the same state. A State is not safe for
// concurrent use, but everything it returns is immutable.
package state
