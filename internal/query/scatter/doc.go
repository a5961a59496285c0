// Package scatter sends one request to every shard of one query service and gathers the
// replies.
//
// A daemon that sends to the leaves of a service is a home of the service. Several homes
// share the slots of its leaves and may ask each other to send a request.
//
// Each shard is a small state machine: choose a replica, wait for a permit, send, and then
// hedge, retry or give up depending on the verdict of the result. The package does not read
// the settings tree and does not communicate with other daemons; the caller provides the
// replicas of the pinned index version and the limits.
package scatter
