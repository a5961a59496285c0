package standin

import (
	"container/list"
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

var (
	errQueueFull = errors.New("the leaf's queue is full")
	errExpired   = errors.New("the deadline passed before a slot was free")
)

// slots limits the requests that run at once. Further requests wait in a FIFO queue of
// limited length. slots also tracks the peak of requests in flight.
type slots struct {
	mu         sync.Mutex
	limit      int
	queueLimit int
	running    int
	waiting    list.List // of chan struct{}, closed when the waiter gets a slot
	peak       int       // highest number of running plus waiting requests since the last reset
	windowPeak int       // the same since the last takeWindowPeak
	refusals   uint64
}

func (s *slots) configure(limit, queue int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit, s.queueLimit = limit, queue
	s.grant()
}

// acquire waits for a slot until ctx ends. The in-flight peak includes the request even if
// it is refused because the queue is full.
func (s *slots) acquire(ctx context.Context) error {
	s.mu.Lock()
	s.recordPeak(1)
	if s.running < s.limit && s.waiting.Len() == 0 {
		s.running++
		s.mu.Unlock()
		return nil
	}
	if s.waiting.Len() >= s.queueLimit {
		s.refusals++
		s.mu.Unlock()
		return errQueueFull
	}
	ready := make(chan struct{})
	e := s.waiting.PushBack(ready)
	s.mu.Unlock()

	select {
	case <-ready:
		return nil
	case <-ctx.Done():
		return s.cancelWait(e, ready)
	}
}

func (s *slots) cancelWait(e *list.Element, ready chan struct{}) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-ready:
		s.running--
		s.grant()
	default:
		s.waiting.Remove(e)
	}
	return errExpired
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.grant()
}

func (s *slots) grant() {
	for s.running < s.limit && s.waiting.Len() > 0 {
		ready := s.waiting.Remove(s.waiting.Front()).(chan struct{})
		s.running++
		close(ready)
	}
}

// recordPeak updates the peaks for the requests in flight plus extra. s.mu must be held.
func (s *slots) recordPeak(extra int) {
	n := s.running + s.waiting.Len() + extra
	s.peak = max(s.peak, n)
	s.windowPeak = max(s.windowPeak, n)
}

func (s *slots) inFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running + s.waiting.Len()
}

// takeWindowPeak returns the maximum in flight since the last call.
func (s *slots) takeWindowPeak() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.windowPeak
	s.windowPeak = s.running + s.waiting.Len()
	return n
}
