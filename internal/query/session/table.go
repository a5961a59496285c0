package session

import (
	"container/heap"
	"sync"

	"github.com/rcrowley/go-metrics"

	"pearmoor/internal/contract"
	"pearmoor/internal/vm"
)

// State is what a Table knows of a key.
type State uint8

// The states that Begin returns.
const (
	New      State = iota // the caller of Begin must run the request and call Finish
	Running               // an attempt under the key is running now
	Done                  // the first outcome is known
	Mismatch              // the key was used for another request
	Full                  // no room to remember another key; nothing may run
)

// Key names a request under its session.
type Key struct {
	Nonce string // of the session
	Key   string // the caller's
}

// Outcome is what the first run of a key came to: one of the two is set.
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

// Limits bound the memory of a Table.
type Limits struct {
	Keys        int // remembered at once
	AnswerBytes int // of one kept answer; hits beyond it are dropped
	TotalBytes  int // of all kept answers
}

// Table remembers the keys that may have run. It is safe for concurrent use.
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
	at          int // in the heap
}

// NewTable returns an empty Table.
func NewTable(l Limits) *Table {
	return &Table{limits: l, entries: make(map[Key]*entry)}
}

// Begin claims key for a run, or returns what is known of its first one.
// fingerprint identifies the request; the key is remembered until keepUntil.
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
	t.publish()
	return New, Outcome{}
}

// Lookup returns what is known of key without claiming it; ok is false when the
// key is not remembered.
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

// Finish stores the outcome of a run that Begin let start. A run that provably
// did not happen is forgotten: the caller was told so and may send the key again.
func (t *Table) Finish(key Key, o Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[key]
	if !ok {
		return
	}
	if o.verdict() == contract.NotRun {
		t.drop(e)
		return
	}
	e.done = true
	e.outcome, e.bytes = t.keep(o)
	t.bytes += e.bytes
	t.publish()
}

// keep returns what is stored of o and its size.
func (t *Table) keep(o Outcome) (Outcome, int) {
	if o.Err != nil {
		return o, 0
	}
	n := answerBytes(o.Answer)
	if n <= t.limits.AnswerBytes && t.bytes+n <= t.limits.TotalBytes {
		return o, n
	}
	return Outcome{Err: &contract.Error{Verdict: o.Answer.Verdict, Reason: contract.ReasonAnswerNotKept}}, 0
}

// answerBytes estimates the memory an answer holds.
func answerBytes(a *contract.Answer) int {
	const perHit, perMissing = 96, 64
	n := len(a.Hits)*perHit + len(a.Coverage.Missing)*perMissing
	for i := range a.Hits {
		n += len(a.Hits[i].ID) + len(a.Hits[i].Data)
	}
	return n
}

// expire forgets the keys that no caller may send any more. A key whose run is
// still under way stays, or a resend could start a second run.
func (t *Table) expire(now vm.Instant) {
	for len(t.expiry) > 0 && t.expiry[0].keepUntil <= now {
		e := t.expiry[0]
		if !e.done {
			return
		}
		t.drop(e)
	}
}

func (t *Table) drop(e *entry) {
	heap.Remove(&t.expiry, e.at)
	delete(t.entries, e.key)
	t.bytes -= e.bytes
	t.publish()
}

func (t *Table) publish() {
	metrics.GetOrRegisterGauge("query.keys.remembered", nil).Update(int64(len(t.entries)))
	metrics.GetOrRegisterGauge("query.keys.answer_bytes", nil).Update(int64(t.bytes))
}

// Len returns the number of remembered keys.
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
	h[i].at, h[j].at = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.at = len(*h)
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
