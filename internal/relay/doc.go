// Package relay spreads configuration and membership from the control group to
// every daemon and carries heartbeats the other way.
//
// One exchange does all of it: a daemon's Sync call is its heartbeat, renews its
// lease, and returns the configuration and membership it does not have yet.
package relay
