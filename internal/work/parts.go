package work

import (
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"
)

// partsFailed counts the parts of the process that have ended with an error or too early.
var partsFailed = metrics.GetOrRegisterCounter("process.parts.failed", metrics.DefaultRegistry)

// errEndedEarly is the error of a part that returns nil before Stop.
var errEndedEarly = errors.New("ended although the process was not stopping")

// Parts runs the parts of a process that it can't do without. Unlike an errgroup, it does not
// cancel the others when one fails: they are needed to finish the work in hand.
type Parts struct {
	process string
	failed  chan struct{}

	mu       sync.Mutex
	running  []string
	changed  chan struct{} // closed when a part ends
	stopping bool
	err      error // of the first part that failed
}

// NewParts returns Parts without a part. Their log lines begin with process.
func NewParts(process string) *Parts {
	return &Parts{process: process, failed: make(chan struct{}), changed: make(chan struct{})}
}

// Go runs a part on a new goroutine. Before Stop a part must not return.
func (p *Parts) Go(name string, run func() error) {
	p.mu.Lock()
	p.running = append(p.running, name)
	p.mu.Unlock()
	go func() {
		err := run()
		p.mu.Lock()
		if err == nil && !p.stopping {
			err = errEndedEarly
		}
		p.mu.Unlock()
		if err != nil {
			p.Fail(name, err)
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		i := slices.Index(p.running, name)
		p.running = slices.Delete(p.running, i, i+1)
		close(p.changed)
		p.changed = make(chan struct{})
	}()
}

// Fail records that a part has failed, whether Go has started it or not.
func (p *Parts) Fail(name string, err error) {
	partsFailed.Inc(1)
	klog.Errorf("%s: part failed, the process stops part=%q: %v", p.process, name, err)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err == nil {
		p.err = errors.Wrapf(err, "%s", name)
		close(p.failed)
	}
}

// Failed returns a channel that is closed when the first part fails.
func (p *Parts) Failed() <-chan struct{} { return p.failed }

// Stop announces that the process stops: from now on parts may return.
func (p *Parts) Stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopping = true
}

// Wait waits until all parts have returned, or ctx is done, and returns the error of the first
// part that failed.
func (p *Parts) Wait(ctx context.Context) error {
	for {
		p.mu.Lock()
		running, changed, err := slices.Clone(p.running), p.changed, p.err
		p.mu.Unlock()
		if len(running) == 0 {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			klog.Warningf("%s: stops while parts still run: %v", p.process, running)
			return err
		}
	}
}
