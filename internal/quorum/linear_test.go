package quorum

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// operation is a compare-and-set or a read of the register.
type operation struct{ read, expect, next uint64 } // read is 1 for a read

var registerModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, in, result any) (bool, any) {
		value, op, out := state.(uint64), in.(operation), result.(uint64)
		switch {
		case out == unknown && op.read == 0:
			// The operation may or may not have run. If it has not, porcupine can
			// place it at the end of the history, as it never returned.
			if value == op.expect {
				return true, op.next
			}
			return true, value
		case out == unknown:
			return true, value
		case op.read == 1:
			return out == value, value
		case out == 1:
			return value == op.expect, op.next
		}
		return value != op.expect, value
	},
}

const unknown = math.MaxUint64

// workload issues operations at leaders and records the history of their results.
type clients struct {
	*cluster
	now     int64
	next    int
	history []porcupine.Operation
	writes  map[position]int // entry -> index of the operation in history
	asks    map[uint64]int   // read token -> index of the operation in history
	waiting map[uint64][]ReadState
}

func (k *clients) call(op operation) int {
	k.now++
	k.next++
	k.history = append(k.history, porcupine.Operation{
		ClientId: k.next, Input: op, Call: k.now, Output: uint64(unknown), Return: math.MaxInt64,
	})
	return len(k.history) - 1
}

func (k *clients) result(i int, out uint64) {
	k.now++
	k.history[i].Output, k.history[i].Return = out, k.now
}

func (k *clients) write(h *host, expect, next uint64) {
	i := k.call(operation{expect: expect, next: next})
	index, term, err := h.m.Propose(command(expect, next, uint64(i)))
	if err != nil {
		k.history = k.history[:i] // not appended, so it did not run
		return
	}
	k.writes[position{index, term}] = i
	k.pump(h)
}

func (k *clients) get(h *host) {
	i := k.call(operation{read: 1})
	if token := k.read(h); token != 0 {
		k.asks[token] = i
		k.pump(h)
	}
}

func (k *clients) applied(h *host, e *Entry, swapped bool) {
	i, ok := k.writes[position{e.Index, e.Term}]
	if ok && h.m.role == Leader && k.history[i].Output == uint64(unknown) {
		out := uint64(0)
		if swapped {
			out = 1
		}
		k.result(i, out)
	}
	k.serve(h)
}

func (k *clients) granted(h *host, r ReadState) {
	if !r.Lost {
		k.waiting[h.disk] = append(k.waiting[h.disk], r)
	}
	k.serve(h)
}

// completeReads completes the reads whose index is applied.
func (k *clients) serve(h *host) {
	k.waiting[h.disk] = slices.DeleteFunc(k.waiting[h.disk], func(r ReadState) bool {
		if h.state.applied < r.Index {
			return false
		}
		k.result(k.asks[r.Token], h.state.value)
		return true
	})
}

// Concurrent compare-and-set writes and reads must be linearizable while VMs crash, links
// fail in one direction, and messages are lost, delayed and duplicated: there must be one
// order in which each operation takes effect between its call and its return.
func TestHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			k := &clients{
				cluster: newCluster(t, seed, 3), writes: map[position]int{},
				asks: map[uint64]int{}, waiting: map[uint64][]ReadState{},
			}
			k.onApply, k.onRead = k.applied, k.granted
			k.mustLead()
			k.loss, k.repeat, k.delay, k.eager, k.fragile = 0.1, 0.1, 0.5, 0.3, 0.002
			for range 120 {
				k.step()
			}
			k.calm(60)
			if known := k.known(); known < 10 {
				t.Fatalf("only %d operations have a known outcome, want at least 10", known)
			}
			verdict := porcupine.CheckOperationsTimeout(registerModel, k.history, time.Minute)
			if verdict != porcupine.Ok {
				t.Fatalf("history of %d operations: %v", len(k.history), verdict)
			}
		})
	}
}

func (k *clients) known() int {
	n := 0
	for _, op := range k.history {
		if op.Output != uint64(unknown) {
			n++
		}
	}
	return n
}

func (k *clients) step() {
	hs := k.up()
	h := hs[k.rng.IntN(len(hs))]
	switch k.rng.IntN(12) {
	case 0:
		k.crash(h, k.rng.IntN(4))
		k.waiting[h.disk] = nil
		k.rounds(k.rng.IntN(25))
		k.start(h)
	case 1:
		k.cut[[2]uint64{h.disk, hs[k.rng.IntN(len(hs))].disk}] = true
	case 2:
		clear(k.cut)
	case 3:
		k.compact(h, 3)
	case 4, 5, 6:
		k.rounds(1 + k.rng.IntN(12))
	case 7, 8:
		if h.m.role == Leader {
			k.get(h)
		}
	default:
		if l := k.leader(); l != nil {
			k.write(l, l.state.value, k.rng.Uint64N(4))
		}
	}
}
