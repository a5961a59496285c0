// Package daemon implements the pearmoord process: its configuration from flags and
// environment variables, the operator port, the lifecycle with graceful shutdown, and
// the loop that applies the agreed state to gates, probes and leaf connections.
package daemon
