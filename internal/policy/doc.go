// Package policy holds decisions about requests as pure functions and small state
// machines: no network, no clock, no goroutine, so that each can be tried on the load
// it answers. What carries them out is in package forward and package entryvm.
package policy
