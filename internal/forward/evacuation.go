package forward

import (
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"pearmoor/internal/discovery"
	"pearmoor/internal/evacuation"
)

var errEvacuated = errors.New("forward: the failure domain of the leaf is evacuated")

var evacuatedSends = metrics.GetOrRegisterCounter("forward.evacuated_sends", metrics.DefaultRegistry)

// evacuations is the evacuated failure domains in use. It is immutable.
type evacuations struct {
	domains  map[string]bool // evacuated ones
	revision uint64          // of the newest accepted order for any domain
}

var noEvacuations = &evacuations{}

// SetEvacuations puts the agreed evacuations into use and reports whether they have changed.
func (e *Engine) SetEvacuations(agreed evacuation.Domains) bool {
	next := &evacuations{domains: make(map[string]bool)}
	for name, state := range agreed {
		next.revision = max(next.revision, state.Revision)
		if state.Evacuated {
			next.domains[name] = true
		}
	}
	previous := e.evacuations.Swap(next)
	return !maps.Equal(previous.domains, next.domains)
}

// leavesFor returns the leaves of a service that are not in an evacuated failure domain. The
// caller must not modify the slice.
func (e *Engine) leavesFor(snap *discovery.Snapshot, service string) []*discovery.Leaf {
	leaves := snap.ForService(service)
	evacuated := e.evacuations.Load().domains
	if len(evacuated) == 0 {
		return leaves
	}
	isEvacuated := func(l *discovery.Leaf) bool { return evacuated[l.Domain] }
	if !slices.ContainsFunc(leaves, isEvacuated) {
		return leaves
	}
	return slices.DeleteFunc(slices.Clone(leaves), isEvacuated)
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
