// Package domain decides which daemons serve which leaves: rendezvous hashing
// over the agreed membership, spread over failure domains, and the exact split
// of a leaf's slots and connections between them. It is pure: the same
// membership gives the same outcome on every daemon.
package domain
