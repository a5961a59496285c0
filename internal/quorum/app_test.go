package quorum

import (
	"encoding/binary"

	"pearmoor/internal/quorum/quorumpb"
)

// appState is the replicated application: a hash over all commands and a register that
// commands change by compare-and-set.
type appState struct{ applied, hash, value uint64 }

func (s *appState) apply(e *Entry) (swapped bool) {
	s.applied = e.Index
	if e.Kind != quorumpb.EntryKind_COMMAND {
		return false
	}
	s.hash = s.hash*1099511628211 + e.Index*31 + e.Term
	for _, b := range e.Data {
		s.hash = s.hash*1099511628211 + uint64(b)
	}
	if expect, next := binary.LittleEndian.Uint64(e.Data), binary.LittleEndian.Uint64(e.Data[8:]); s.value == expect {
		s.value = next
		return true
	}
	return false
}

func (s *appState) encode() []byte {
	b := binary.LittleEndian.AppendUint64(nil, s.applied)
	b = binary.LittleEndian.AppendUint64(b, s.hash)
	b = binary.LittleEndian.AppendUint64(b, s.value)
	return append(b, make([]byte, 300)...) // padded to several snapshot chunks
}

func decodeState(b []byte) appState {
	if len(b) == 0 {
		return appState{}
	}
	return appState{
		binary.LittleEndian.Uint64(b), binary.LittleEndian.Uint64(b[8:]), binary.LittleEndian.Uint64(b[16:]),
	}
}

func command(expect, next, client uint64) []byte {
	b := binary.LittleEndian.AppendUint64(nil, expect)
	b = binary.LittleEndian.AppendUint64(b, next)
	return binary.LittleEndian.AppendUint64(b, client)
}
