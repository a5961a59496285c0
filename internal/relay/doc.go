// Package relay distributes configuration and membership from the control group to
// every daemon and carries heartbeats in the other direction.
//
// One exchange does both: a daemon's Sync call is its heartbeat, renews its lease, and
// returns the configuration and membership that the daemon does not have yet.
package relay
