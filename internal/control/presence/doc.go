// Package presence is the leader's table of the daemons it has heard: their
// leases, and what they have confirmed. It is kept in memory only; a new leader
// starts with every member just heard and under a grace that outlasts any lease
// its predecessor may have granted.
package presence
