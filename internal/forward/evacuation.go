package forward

import (
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"pearmoor/internal/discovery"
	"pearmoor/internal/evacuation"
	"pearmoor/internal/vm"
)

var errEvacuated = errors.New("forward: the failure domain of the leaf is evacuated")

var evacuatedSends = metrics.GetOrRegisterCounter("forward.evacuated_sends", metrics.DefaultRegistry)

// evacuations is the evacuated failure domains in use. It is immutable.
type evacuations struct {
	domains  map[string]bool // evacuated ones
	revision uint64          // of the newest accepted order for any domain
	// endedAt is when this daemon learned that the evacuation of a domain has ended.
	endedAt map[string]vm.Instant
}

var noEvacuations = &evacuations{}

// SetEvacuations puts the agreed evacuations into use and reports whether they have changed.
// It must not be called concurrently.
func (e *Engine) SetEvacuations(agreed evacuation.Domains) bool {
	previous := e.evacuations.Load()
	next := &evacuations{domains: make(map[string]bool), endedAt: make(map[string]vm.Instant)}
	for name, state := range agreed {
		next.revision = max(next.revision, state.Revision)
		if state.Evacuated {
			next.domains[name] = true
		} else if previous.domains[name] {
			next.endedAt[name] = e.cfg.Clock()
		} else if at, ok := previous.endedAt[name]; ok {
			next.endedAt[name] = at
		}
	}
	e.evacuations.Store(next)
	return !maps.Equal(previous.domains, next.domains)
}

// checkSend returns an error if nothing may be sent to the leaf now. It is called right before
// a request is written, which may be long after its leaf was chosen.
func (e *Engine) checkSend(l *discovery.Leaf) error {
	if e.evacuations.Load().domains[l.Domain] {
		evacuatedSends.Inc(1)
		return errors.Wrapf(errEvacuated, "domain=%s", l.Domain)
	}
	return nil
}

// names returns the evacuated domains for a log line.
func (ev *evacuations) names() string {
	return strings.Join(slices.Sorted(maps.Keys(ev.domains)), ",")
}
