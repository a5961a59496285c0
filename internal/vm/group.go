package vm

import (
	"crypto/rand"
	"encoding/hex"
)

// GroupIDSize is the size of a group's identity, in bytes.
const GroupIDSize = 16

// GroupID identifies a control group from its founding on. Two groups may use the same
// member IDs, versions and epochs, so state of one must never be compared with or merged
// into state of the other. The zero value stands for a group that is not known.
type GroupID string

// NewGroupID returns a random identity.
func NewGroupID() GroupID {
	var b [GroupIDSize]byte
	_, _ = rand.Read(b[:]) // never fails, see crypto/rand
	return GroupID(b[:])
}

// Excludes reports whether g and other are both known and differ.
func (g GroupID) Excludes(other GroupID) bool { return g != "" && other != "" && g != other }

// Wire returns the encoded form, which is empty if the group is not known.
func (g GroupID) Wire() []byte {
	if g == "" {
		return nil
	}
	return []byte(g)
}

// String returns the identity in hexadecimal, or "unknown".
func (g GroupID) String() string {
	if g == "" {
		return "unknown"
	}
	return hex.EncodeToString([]byte(g))
}
