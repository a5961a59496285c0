package session

import (
	"container/heap"
	"sync"

	"github.com/rcrowley/go-metrics"

	"pearmoor/internal/contract"
	"pearmoor/internal/vm"
)

// State is the state of a key in a Table.
type State uint8

// The states that Begin returns.
const (
	New      State = iota // the caller of Begin must run the request and call Finish
	Running               // an attempt under the key is running
	Done                  // the first outcome is known
	Mismatch              // the key was used for another request
	Full                  // the table has no room for another key; the request must not run
)

// Key identifies a non-repeatable request.
type Key struct {
	Nonce string // of the session
	Key   string // the caller's
}

// Outcome is the outcome of the first run of a key. Exactly one field is set.
type Outcome struct {
	Answer *contract.Answer
	Err    *contract.Error
}

func (o Outcome) verdict() contract.Verdict {
	if o.Err != nil {
		return o.Err.Verdict
	}
	return o.Answer.Verdict
}

// Limits bounds the memory of a Table.
type Limits struct {
	Keys        int // number of keys in the table
	AnswerBytes int // size of one stored answer; a larger answer is not stored
	TotalBytes  int // size of all stored answers
}

// Table stores the keys that may have run. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	limits  Limits
	entries map[Key]*entry
	expiry  expiryHeap
	bytes   int
}

type entry struct {
	key         Key
	fingerprint uint64
	keepUntil   vm.Instant
	done        bool
	outcome     Outcome
	bytes       int
	heapIndex   int // index in Table.expiry
}

// NewTable returns an empty Table.
func NewTable(l Limits) *Table {
	return &Table{limits: l, entries: make(map[Key]*entry)}
}

// Begin adds key to the table and returns New, or returns the state and the outcome of the
// key if the table has it. fingerprint identifies the request. The key is kept until
// keepUntil.
func (t *Table) Begin(key Key, fingerprint uint64, keepUntil, now vm.Instant) (State, Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if e, ok := t.entries[key]; ok {
		return e.state(fingerprint), e.outcome
	}
	if len(t.entries) >= t.limits.Keys {
		return Full, Outcome{}
	}
	e := &entry{key: key, fingerprint: fingerprint, keepUntil: keepUntil}
	t.entries[key] = e
	heap.Push(&t.expiry, e)
	t.updateMetrics()
	return New, Outcome{}
}

// Lookup returns the state and the outcome of key without adding it; ok is false when the
// table does not have the key.
func (t *Table) Lookup(key Key, fingerprint uint64, now vm.Instant) (s State, o Outcome, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	e, ok := t.entries[key]
	if !ok {
		return New, Outcome{}, false
	}
	return e.state(fingerprint), e.outcome, true
}

func (e *entry) state(fingerprint uint64) State {
	switch {
	case e.fingerprint != fingerprint:
		return Mismatch
	case e.done:
		return Done
	}
	return Running
}

// Finish stores the outcome of a run for which Begin returned New. If the request provably
// did not run, the key is removed: the caller is told so and may send the key again.
func (t *Table) Finish(key Key, o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[key]
	if !ok {
		return
	}
	if o.verdict() == contract.NotRun {
		t.remove(e)
		return
	}
	e.done = true
	e.outcome, e.bytes = t.limitSize(o)
	t.bytes += e.bytes
	t.updateMetrics()
}

// limitSize returns the outcome to store for o, and its size. An answer that exceeds the
// limits is replaced by an error with the verdict of the answer.
func (t *Table) limitSize(o Outcome) (Outcome, int) {
	if o.Err != nil {
		return o, 0
	}
	n := answerBytes(o.Answer)
	if n <= t.limits.AnswerBytes && t.bytes+n <= t.limits.TotalBytes {
		return o, n
	}
	return Outcome{Err: &contract.Error{Verdict: o.Answer.Verdict, Reason: contract.ReasonAnswerNotKept}}, 0
}

// answerBytes estimates the memory that an answer uses.
func answerBytes(a *contract.Answer) int {
	const perHit, perMissing = 96, 64
	n := len(a.Hits)*perHit + len(a.Coverage.Missing)*perMissing
	for i := range a.Hits {
		n += len(a.Hits[i].ID) + len(a.Hits[i].Data)
	}
	return n
}

// expire removes the keys that no caller may send any more. It stops at a key that is still
// running: if that were removed, a resend could start a second run.
func (t *Table) expire(now vm.Instant) {
	for len(t.expiry) > 0 && t.expiry[0].keepUntil <= now {
		e := t.expiry[0]
		if !e.done {
			return
		}
		t.remove(e)
	}
}

// remove removes an entry from the table.
func (t *Table) remove(e *entry) {
	heap.Remove(&t.expiry, e.heapIndex)
	delete(t.entries, e.key)
	t.bytes -= e.bytes
	t.updateMetrics()
}

func (t *Table) updateMetrics() {
	metrics.GetOrRegisterGauge("query.keys.remembered", nil).Update(int64(len(t.entries)))
	metrics.GetOrRegisterGauge("query.keys.answer_bytes", nil).Update(int64(t.bytes))
}

// Len returns the number of keys in the table.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// expiryHeap orders entries by keepUntil.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].keepUntil < h[j].keepUntil }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}
