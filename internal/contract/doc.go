// Package contract holds what a caller and a target are promised: the request,
// the verdict that says whether a request may have run, coverage, the answer,
// and the published HTTP messages exchanged with targets.
//
// The package has no I/O and no state; every other package may import it.
package contract
