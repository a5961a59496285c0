package work

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// Guards against a process that goes on although one of its parts has ended, with an error or
// without, and against one that never ends because another part does not return.
func TestPartsFailAsAWhole(t *testing.T) {
	broken := errors.New("broken")
	for name, c := range map[string]struct{ err, want error }{"error": {broken, broken}, "too early": {nil, errEndedEarly}} {
		t.Run(name, func(t *testing.T) {
			p, before := NewParts("test"), partsFailed.Count()
			stuck := make(chan struct{})
			defer close(stuck)
			p.Go("stuck", func() error { <-stuck; return nil })
			p.Go("ends", func() error { return c.err })
			<-p.Failed()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
			defer cancel()
			p.Stop()
			if err := p.Wait(ctx); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
			if n := partsFailed.Count() - before; n != 1 {
				t.Errorf("%d parts counted as failed, want 1", n)
			}
		})
	}
}

// Guards against a planned stop that is reported as a failure.
func TestPartsEndWithoutErrorAfterStop(t *testing.T) {
	p, stop := NewParts("test"), make(chan struct{})
	for _, name := range []string{"a", "b"} {
		p.Go(name, func() error { <-stop; return nil })
	}
	p.Stop()
	close(stop)
	if err := p.Wait(t.Context()); err != nil {
		t.Error(err)
	}
}
