// Package daemon assembles pearmoord from its parts: settings from flags and
// environment variables, the operator port, the lifecycle, and the loop that
// turns the agreed state into permits, probes and connections.
package daemon
