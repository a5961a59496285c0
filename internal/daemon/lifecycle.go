package daemon

import "sync/atomic"

// processPhase is the phase of the process, as shown on the operator port.
type processPhase int32

const (
	phaseStarting processPhase = iota
	phaseServing
	phaseDraining
)

var processPhaseNames = [...]string{"starting", "serving", "draining"}

func (p processPhase) String() string { return processPhaseNames[p] }

// lifecycle holds the phase of this process. It is safe for concurrent use.
type lifecycle struct {
	phase atomic.Int32
}

func (l *lifecycle) set(p processPhase) { l.phase.Store(int32(p)) }
func (l *lifecycle) get() processPhase  { return processPhase(l.phase.Load()) }
