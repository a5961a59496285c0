// Package directory decides which entry addresses a caller should use, in which
// order and for how long. It takes the place of a load balancer: callers spread
// their requests over the daemons according to their lists.
package directory
