// Package presence holds the leader's in-memory table of the daemons that send it
// heartbeats: their leases, and the configuration versions and epochs they have
// confirmed. The table is not persisted. A new leader records every member as having
// just sent a heartbeat, with a lease that ends no earlier than any lease the previous
// leader may have granted.
package presence
