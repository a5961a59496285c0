// Package vm describes the VMs that run pearmoor daemons: their identity, incarnation and
// lifecycle phase, the agreed membership, and a clock that includes the time during which
// a VM is suspended.
package vm

import (
	"slices"
	"strings"
)

// Phase is the lifecycle phase of a daemon.
type Phase uint8

// The phases, in lifecycle order.
const (
	Starting Phase = iota // a member without a share of any leaf, not listed to callers
	Serving
	Draining // not listed to callers, but still serves callers that have cached its address
	Gone
)

// Identity identifies one run of a daemon. Incarnation increases with every start of the
// daemon on the same VM, which distinguishes the runs.
type Identity struct {
	Name        string
	Incarnation uint64
	Domain      string // failure domain
	Region      string
	PeerAddr    string // host:port at which other daemons connect (drpc)
	CallerAddr  string // base URL for callers
	Millicores  uint32 // CPU capacity of the VM in thousandths of a core; 0: unknown
}

// Member is a daemon in the agreed membership.
type Member struct {
	Identity
	Phase Phase
}

// Membership is the agreed list of daemons at one epoch, sorted by name.
type Membership struct {
	Epoch   uint64
	Members []Member
}

// Find returns the member with the given name.
func (m *Membership) Find(name string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(m.Members, name, func(member Member, name string) int {
		return strings.Compare(member.Name, name)
	})
	if !ok {
		return Member{}, false
	}
	return m.Members[i], true
}
