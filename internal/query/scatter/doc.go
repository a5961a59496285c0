// Package scatter sends one request to every shard of one query service and
// gathers the replies.
//
// Each shard is a small state machine: choose a replica, wait for a permit,
// send, and then hedge, retry or give up by the verdict of what came back. The
// package knows neither the settings tree nor other daemons; it is given the
// replicas of the pinned index version and the limits it must keep.
package scatter
