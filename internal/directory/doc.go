// Package directory decides which entry addresses a caller should use, in which
// order and for how long. It replaces a balancer: callers spread over the
// daemons as their lists say.
package directory
