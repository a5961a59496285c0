package discovery

import (
	"cmp"
	"context"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/vm"
)

// Leaf is one run of a target, from a start to its end. It is immutable.
type Leaf struct {
	ID       string
	Born     int64 // its start, in ms since 1970 by its own VM's clock; 0: not stated
	Service  string
	Addr     string // host:port
	Domain   string // failure domain
	Slots    int    // requests it runs at once; 0: unknown
	Draining bool   // it is leaving and takes no new work
	WarmAt   vm.Instant
}

// Life names one run of a leaf. A leaf that starts again keeps its id and is another
// one: nothing that was learned of the earlier life holds for it.
type Life struct {
	ID   string
	Born int64
}

// Life returns the name of the leaf's run.
func (l *Leaf) Life() Life { return Life{l.ID, l.Born} }

// Mark returns a short name of the leaf's run and its service, for messages between
// daemons that name many leaves.
func (l *Leaf) Mark() uint64 {
	h := xxhash.New()
	var born [8]byte
	binary.LittleEndian.PutUint64(born[:], uint64(l.Born))
	_, _ = h.Write(born[:])
	_, _ = h.WriteString(l.ID)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(l.Service)
	return h.Sum64()
}

// Cold reports whether the leaf is still slow after its start.
func (l *Leaf) Cold(now vm.Instant) bool { return now < l.WarmAt }

// same reports whether l and o say the same but for the time left to warm up.
func (l *Leaf) same(o *Leaf) bool {
	return l.Life() == o.Life() && l.Service == o.Service && l.Addr == o.Addr &&
		l.Domain == o.Domain && l.Slots == o.Slots && l.Draining == o.Draining
}

// Listed is a leaf as a Source lists it.
type Listed struct {
	ID       string
	Born     int64 // ms since 1970; 0: not stated
	Service  string
	Addr     string
	Domain   string
	Slots    int
	Draining bool
	WarmIn   time.Duration
}

// Unreadable is an entry of a list that names no leaf.
type Unreadable struct {
	ID    string // as far as it can be told
	Fault error
}

// Listing is one reading of a Source.
type Listing struct {
	Leaves     []Listed
	Unreadable []Unreadable
}

// Source lists the leaves there are.
type Source interface {
	// List reads the whole list. It returns an error rather than a part of it. An entry
	// that can't be read is a part of the whole: it names no leaf, and the others hold.
	List(ctx context.Context) (Listing, error)
}

// Snapshot is the leaves at one reading. It is immutable.
type Snapshot struct {
	leaves  []*Leaf // by id
	byID    map[string]*Leaf
	byMark  map[uint64]*Leaf
	service map[string][]*Leaf
	digest  uint64
}

func newSnapshot(leaves []*Leaf) *Snapshot {
	slices.SortFunc(leaves, func(a, b *Leaf) int { return cmp.Compare(a.ID, b.ID) })
	s := &Snapshot{
		leaves: leaves, byID: make(map[string]*Leaf, len(leaves)),
		byMark:  make(map[uint64]*Leaf, len(leaves)),
		service: make(map[string][]*Leaf),
	}
	h := xxhash.New()
	var number [8]byte
	for _, l := range leaves {
		s.byID[l.ID] = l
		s.byMark[l.Mark()] = l
		s.service[l.Service] = append(s.service[l.Service], l)
		for _, t := range [...]string{l.ID, l.Service, l.Addr, l.Domain} {
			_, _ = h.WriteString(t)
			_, _ = h.Write([]byte{0})
		}
		binary.LittleEndian.PutUint64(number[:], uint64(l.Born))
		_, _ = h.Write(number[:])
		_, _ = h.Write([]byte{byte(l.Slots), byte(l.Slots >> 8), boolByte(l.Draining)})
	}
	s.digest = h.Sum64()
	return s
}

func boolByte(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// Of returns the leaves of a service, those that are leaving included. The caller
// must not change the slice.
func (s *Snapshot) Of(service string) []*Leaf { return s.service[service] }

// Find returns the leaf of that id.
func (s *Snapshot) Find(id string) (*Leaf, bool) {
	l, ok := s.byID[id]
	return l, ok
}

// FindMark returns the leaf of that mark.
func (s *Snapshot) FindMark(mark uint64) (*Leaf, bool) {
	l, ok := s.byMark[mark]
	return l, ok
}

// All returns every leaf, by id. The caller must not change the slice.
func (s *Snapshot) All() []*Leaf { return s.leaves }

func toWire(l *Leaf, now vm.Instant) *wire.LeafEntry {
	return &wire.LeafEntry{
		Id: l.ID, Service: l.Service, Addr: l.Addr, Domain: l.Domain,
		Slots: uint32(l.Slots), Draining: l.Draining, Born: l.Born,
		ColdMs: uint32(max(0, l.WarmAt.Sub(now)).Milliseconds()),
	}
}

func fromWire(e *wire.LeafEntry, now vm.Instant) *Leaf {
	return &Leaf{
		ID: e.Id, Service: e.Service, Addr: e.Addr, Domain: e.Domain,
		Slots: int(e.Slots), Draining: e.Draining, Born: e.Born,
		WarmAt: now.Add(time.Duration(e.ColdMs) * time.Millisecond),
	}
}
