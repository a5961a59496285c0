package standin

import (
	"sync"
	"time"

	"pearmoor/internal/contract"
)

const platformHistory = 1024

// Platform is a VM list that tells the state of a while ago.
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

// NewPlatform returns an empty list without lag.
func NewPlatform(now func() time.Time) *Platform {
	return &Platform{now: now}
}

// SetLag makes the list tell the state of lag ago.
func (p *Platform) SetLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lag = lag
}

// SetVMs replaces the list; readers see it after the lag.
func (p *Platform) SetVMs(vms []contract.PlatformVM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history = append(p.history, vmList{since: p.now(), vms: vms})
	if len(p.history) > platformHistory {
		p.history = p.history[1:]
	}
}

// VMs returns the list as the platform tells it now.
func (p *Platform) VMs() []contract.PlatformVM {
	p.mu.Lock()
	defer p.mu.Unlock()
	asOf := p.now().Add(-p.lag)
	told := []contract.PlatformVM{}
	for _, l := range p.history {
		if l.since.After(asOf) {
			break
		}
		told = l.vms
	}
	return told
}
