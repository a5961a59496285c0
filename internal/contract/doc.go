// Package contract defines the messages exchanged with callers and targets: requests,
// answers with their coverage, failures, and the verdict that says whether a request may
// have run.
//
// The package has no I/O and no state; every other package may import it.
package contract
