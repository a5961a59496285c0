package daemon

import "sync/atomic"

// Phase of the process as the operator port shows it.
type processPhase int32

const (
	phaseStarting processPhase = iota
	phaseServing
	phaseDraining
)

var processPhaseNames = [...]string{"starting", "serving", "draining"}

func (p processPhase) String() string { return processPhaseNames[p] }

// lifecycle is the phase of this process, read by the operator port.
type lifecycle struct {
	phase atomic.Int32
}

func (l *lifecycle) set(p processPhase) { l.phase.Store(int32(p)) }
func (l *lifecycle) get() processPhase  { return processPhase(l.phase.Load()) }
