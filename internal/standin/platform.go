package standin

import (
	"sync"
	"time"

	"pearmoor/internal/contract"
)

const maxHistory = 1024

// Platform is a stand-in for the platform's list of VMs, which lags behind the true state.
type Platform struct {
	mu      sync.Mutex
	now     func() time.Time
	lag     time.Duration
	history []vmList // oldest first
}

type vmList struct {
	since time.Time
	vms   []contract.PlatformVM
}

// NewPlatform returns a Platform with an empty list and no lag.
func NewPlatform(now func() time.Time) *Platform {
	return &Platform{now: now}
}

// SetLag sets by how much the list lags.
func (p *Platform) SetLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lag = lag
}

// SetVMs replaces the list. Readers see the change after the lag.
func (p *Platform) SetVMs(vms []contract.PlatformVM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history = append(p.history, vmList{since: p.now(), vms: vms})
	if len(p.history) > maxHistory {
		p.history = p.history[1:]
	}
}

// VMs returns the list that was in force one lag ago.
func (p *Platform) VMs() []contract.PlatformVM {
	p.mu.Lock()
	defer p.mu.Unlock()
	asOf := p.now().Add(-p.lag)
	visible := []contract.PlatformVM{}
	for _, l := range p.history {
		if l.since.After(asOf) {
			break
		}
		visible = l.vms
	}
	return visible
}
