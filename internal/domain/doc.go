// Package domain assigns leaves to daemons. The homes of a leaf are the daemons that may
// send requests to it. They are chosen by rendezvous hashing over the agreed membership
// and spread over failure domains; the slots and connections of a leaf are divided among
// its homes. The functions are deterministic: the same membership gives the same result on
// every daemon.
package domain
