package daemon

import "pearmoor/internal/vm"

// Status is the reply to GET /status on the operator port.
type Status struct {
	Name          string   `json:"name"`
	Domain        string   `json:"domain"`
	Region        string   `json:"region"`
	Incarnation   uint64   `json:"incarnation"`
	Phase         string   `json:"phase"`
	ConfigVersion uint64   `json:"config_version"`
	InForce       uint64   `json:"in_force"`
	SettledEpoch  uint64   `json:"settled_epoch"`
	PendingEpoch  uint64   `json:"pending_epoch,omitempty"`
	LeaseLeftMS   int64    `json:"lease_left_ms"`
	InFlight      int      `json:"in_flight"`
	Services      []string `json:"services"` // query services that this daemon has a share of
}

func (d *Daemon) status() Status {
	s := Status{
		Name: d.self.Name, Domain: d.self.Domain, Region: d.self.Region,
		Incarnation: d.self.Incarnation, Phase: d.lifecycle.get().String(),
	}
	if d.client == nil {
		return s
	}
	v := d.client.Current()
	version := shareVersionOf(v)
	s.ConfigVersion, s.InForce = version.config, version.inForce
	s.SettledEpoch, s.PendingEpoch = version.settled, version.pending
	s.LeaseLeftMS = max(0, v.LeaseEnd.Sub(vm.Now()).Milliseconds())
	s.InFlight = d.engine.InFlight()
	s.Services = d.shares.services()
	return s
}
