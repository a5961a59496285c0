package vm

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"pearmoor/internal/link/wire"
)

// ErrEpochMismatch is returned by ApplyDelta if the delta does not start from the epoch
// of the given membership.
var ErrEpochMismatch = errors.New("vm: membership delta starts from another epoch")

// MemberToWire converts a member to its protobuf message.
func MemberToWire(m Member) *wire.Vm {
	return &wire.Vm{
		Name:        m.Name,
		Incarnation: m.Incarnation,
		Domain:      m.Domain,
		Region:      m.Region,
		PeerAddr:    m.PeerAddr,
		CallerAddr:  m.CallerAddr,
		Phase:       uint32(m.Phase),
		Millicores:  m.Millicores,
	}
}

// MemberFromWire converts a protobuf message to a member. An unknown phase becomes Gone,
// the phase without any rights.
func MemberFromWire(w *wire.Vm) Member {
	phase := Gone
	if w.GetPhase() < uint32(Gone) {
		phase = Phase(w.GetPhase())
	}
	return Member{
		Identity: Identity{
			Name:        w.GetName(),
			Incarnation: w.GetIncarnation(),
			Domain:      w.GetDomain(),
			Region:      w.GetRegion(),
			PeerAddr:    w.GetPeerAddr(),
			CallerAddr:  w.GetCallerAddr(),
			Millicores:  w.GetMillicores(),
		},
		Phase: phase,
	}
}

// MembershipToWire converts a membership to its protobuf message; nil stays nil.
func MembershipToWire(m *Membership) *wire.Membership {
	if m == nil {
		return nil
	}
	w := &wire.Membership{Epoch: m.Epoch, Members: make([]*wire.Vm, len(m.Members))}
	for i := range m.Members {
		w.Members[i] = MemberToWire(m.Members[i])
	}
	return w
}

// MembershipFromWire converts a protobuf message to a membership sorted by name; nil stays
// nil.
func MembershipFromWire(w *wire.Membership) *Membership {
	if w == nil {
		return nil
	}
	m := &Membership{Epoch: w.GetEpoch(), Members: make([]Member, len(w.GetMembers()))}
	for i, member := range w.GetMembers() {
		m.Members[i] = MemberFromWire(member)
	}
	sortMembers(m.Members)
	return m
}

// MembershipDelta returns the delta message that turns from into to. A nil from is the
// empty membership of epoch 0.
func MembershipDelta(from, to *Membership) *wire.MembershipDelta {
	d := &wire.MembershipDelta{ToEpoch: to.Epoch}
	var old []Member
	if from != nil {
		d.FromEpoch, old = from.Epoch, from.Members
	}
	i, j := 0, 0
	for i < len(old) || j < len(to.Members) {
		switch {
		case j == len(to.Members) || (i < len(old) && old[i].Name < to.Members[j].Name):
			d.Removes = append(d.Removes, old[i].Name)
			i++
		case i == len(old) || to.Members[j].Name < old[i].Name:
			d.Upserts = append(d.Upserts, MemberToWire(to.Members[j]))
			j++
		default:
			if old[i] != to.Members[j] {
				d.Upserts = append(d.Upserts, MemberToWire(to.Members[j]))
			}
			i++
			j++
		}
	}
	return d
}

// ApplyDelta returns the membership that results from applying d to from, which is not
// modified. A nil from is the empty membership of epoch 0. A delta with FromEpoch 0
// contains the whole list and applies to any membership.
func ApplyDelta(from *Membership, d *wire.MembershipDelta) (*Membership, error) {
	var old []Member
	if d.GetFromEpoch() != 0 {
		if from == nil || from.Epoch != d.GetFromEpoch() {
			return nil, errors.WithDetailf(ErrEpochMismatch, "delta from epoch %d", d.GetFromEpoch())
		}
		old = from.Members
	}
	changed := make(map[string]*wire.Vm, len(d.GetUpserts())+len(d.GetRemoves()))
	for _, name := range d.GetRemoves() {
		changed[name] = nil
	}
	for _, member := range d.GetUpserts() {
		changed[member.GetName()] = member
	}
	to := &Membership{Epoch: d.GetToEpoch(), Members: make([]Member, 0, len(old)+len(d.GetUpserts()))}
	for _, m := range old {
		if _, ok := changed[m.Name]; !ok {
			to.Members = append(to.Members, m)
		}
	}
	for _, member := range changed {
		if member != nil {
			to.Members = append(to.Members, MemberFromWire(member))
		}
	}
	sortMembers(to.Members)
	return to, nil
}

// Digest returns a hash of all fields that a heartbeat contains, so that an unchanged
// heartbeat can be sent as the hash alone.
func (m Member) Digest() uint64 {
	h := xxhash.New()
	for _, s := range [...]string{m.Name, m.Domain, m.Region, m.PeerAddr, m.CallerAddr} {
		h.WriteString(s)
		h.Write([]byte{0})
	}
	var fixed [13]byte
	binary.LittleEndian.PutUint64(fixed[:], m.Incarnation)
	fixed[8] = byte(m.Phase)
	binary.LittleEndian.PutUint32(fixed[9:], m.Millicores)
	h.Write(fixed[:])
	return h.Sum64()
}

// SameIncarnation reports whether two identities denote the same run of the same daemon.
func (id Identity) SameIncarnation(o Identity) bool {
	return id.Name == o.Name && id.Incarnation == o.Incarnation
}

func sortMembers(ms []Member) {
	sort.Slice(ms, func(i, j int) bool { return ms[i].Name < ms[j].Name })
}
