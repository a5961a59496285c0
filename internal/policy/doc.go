// Package policy makes decisions about requests and membership, as pure functions and small state machines.
// It does no I/O, starts no goroutines and takes the time from its caller, so that each
// policy can be tested and simulated under load. Packages forward, entryvm, intake and control
// carry out its decisions.
package policy
