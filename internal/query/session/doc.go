// Package session prevents non-repeatable requests from running twice.
//
// A session names the incarnation of the daemon that issued it. Only that incarnation
// decides whether a key is new: it keeps every key that may have run in memory until no
// caller may send the key any more. When the incarnation ends, its keys are lost, and no
// daemon runs a request under its sessions again. A crash can thus leave a caller without a
// definite outcome, but can't make a request run twice.
package session
