// Package intake bounds what all clients together can make a process keep: their connections, the
// heads and bodies of their requests, and answers that they don't read. What doesn't fit is refused
// or closed; the connection that has waited longest for its client goes first, and none whose
// request is being run. policy.IntakeLimits has the decisions.
package intake
