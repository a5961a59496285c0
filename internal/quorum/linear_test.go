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
		case out == outcomeUnknown && op.read == 0:
			// The operation may or may not have run. If it has not, porcupine can
			// place it at the end of the history, as it never returned.
			if value == op.expect {
				return true, op.next
			}
			return true, value
		case out == outcomeUnknown:
			return true, value
		case op.read == 1:
			return out == value, value
		case out == 1:
			return value == op.expect, op.next
		}
		return value != op.expect, value
	},
}

const outcomeUnknown = math.MaxUint64

// workload issues operations at leaders and records the history of their results.
type workload struct {
	*cluster
	now          int64
	lastClientID int
	history      []porcupine.Operation
	writeOps     map[entryID]int // entry -> index of the operation in history
	readOps      map[uint64]int  // read token -> index of the operation in history
	pendingReads map[uint64][]ReadState
}

func (k *workload) begin(op operation) int {
	k.now++
	k.lastClientID++
	k.history = append(k.history, porcupine.Operation{
		ClientId: k.lastClientID, Input: op, Call: k.now, Output: uint64(outcomeUnknown), Return: math.MaxInt64,
	})
	return len(k.history) - 1
}

func (k *workload) complete(i int, out uint64) {
	k.now++
	k.history[i].Output, k.history[i].Return = out, k.now
}

func (k *workload) issueWrite(h *host, expect, next uint64) {
	i := k.begin(operation{expect: expect, next: next})
	index, term, err := h.m.Propose(command(expect, next, uint64(i)))
	if err != nil {
		k.history = k.history[:i] // not appended, so it did not run
		return
	}
	k.writeOps[entryID{index, term}] = i
	k.processAllReady(h)
}

func (k *workload) issueRead(h *host) {
	i := k.begin(operation{read: 1})
	if token := k.read(h); token != 0 {
		k.readOps[token] = i
		k.processAllReady(h)
	}
}

func (k *workload) onEntryApplied(h *host, e *Entry, swapped bool) {
	i, ok := k.writeOps[entryID{e.Index, e.Term}]
	if ok && h.m.role == Leader && k.history[i].Output == uint64(outcomeUnknown) {
		out := uint64(0)
		if swapped {
			out = 1
		}
		k.complete(i, out)
	}
	k.completeReads(h)
}

func (k *workload) onReadFinished(h *host, r ReadState) {
	if !r.LeadershipLost {
		k.pendingReads[h.disk] = append(k.pendingReads[h.disk], r)
	}
	k.completeReads(h)
}

// completeReads completes the reads whose index is applied.
func (k *workload) completeReads(h *host) {
	k.pendingReads[h.disk] = slices.DeleteFunc(k.pendingReads[h.disk], func(r ReadState) bool {
		if h.state.applied < r.Index {
			return false
		}
		k.complete(k.readOps[r.Token], h.state.value)
		return true
	})
}

// Concurrent compare-and-set writes and reads must be linearizable while VMs crash, links
// fail in one direction, and messages are lost, delayed and duplicated: there must be one
// order in which each operation takes effect between its call and its return.
func TestHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			k := &workload{
				cluster: newCluster(t, seed, 3), writeOps: map[entryID]int{},
				readOps: map[uint64]int{}, pendingReads: map[uint64][]ReadState{},
			}
			k.onApply, k.onRead = k.onEntryApplied, k.onReadFinished
			k.waitForLeader()
			k.lossRate, k.duplicateRate, k.delayRate, k.deliverBeforeSyncRate, k.crashRate = 0.1, 0.1, 0.5, 0.3, 0.002
			for range 120 {
				k.runRandomStep()
			}
			k.healNetwork(60)
			if known := k.completedCount(); known < 10 {
				t.Fatalf("only %d operations have a known outcome, want at least 10", known)
			}
			verdict := porcupine.CheckOperationsTimeout(registerModel, k.history, time.Minute)
			if verdict != porcupine.Ok {
				t.Fatalf("history of %d operations: %v", len(k.history), verdict)
			}
		})
	}
}

func (k *workload) completedCount() int {
	n := 0
	for _, op := range k.history {
		if op.Output != uint64(outcomeUnknown) {
			n++
		}
	}
	return n
}

func (k *workload) runRandomStep() {
	hs := k.runningHosts()
	h := hs[k.rng.IntN(len(hs))]
	switch k.rng.IntN(12) {
	case 0:
		k.crash(h, k.rng.IntN(4))
		k.pendingReads[h.disk] = nil
		k.runTicks(k.rng.IntN(25))
		k.start(h)
	case 1:
		k.blockedLinks[[2]uint64{h.disk, hs[k.rng.IntN(len(hs))].disk}] = true
	case 2:
		clear(k.blockedLinks)
	case 3:
		k.compact(h, 3)
	case 4, 5, 6:
		k.runTicks(1 + k.rng.IntN(12))
	case 7, 8:
		if h.m.role == Leader {
			k.issueRead(h)
		}
	default:
		if l := k.leader(); l != nil {
			k.issueWrite(l, l.state.value, k.rng.Uint64N(4))
		}
	}
}
