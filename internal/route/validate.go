package route

import (
	"fmt"
	"strings"

	"pearmoor/internal/contract"
)

// Validate returns all faults of the release as contract.Faults, or nil.
func (r *Release) Validate() error {
	v := validator{services: make(map[string]bool, len(r.Services)), places: make(map[place]string, len(r.Routes))}
	for i := range r.Services {
		v.service(i, &r.Services[i])
	}
	for i := range r.Routes {
		v.route(i, &r.Routes[i])
	}
	return v.faults.ErrOrNil()
}

// routeKey is the host and prefix by which a route is selected.
type place struct{ host, prefix string }

// validator collects the faults of a release.
type validator struct {
	services map[string]bool
	places   map[place]string
	faults   contract.Faults
}

func (v *validator) fault(field, value, why, fix string) {
	v.faults = append(v.faults, contract.Fault{Field: field, Value: value, Why: why, Fix: fix})
}

func (v *validator) service(i int, s *Service) {
	if s.Name == "" {
		v.fault(fmt.Sprintf("services[%d]", i), "", "the service has no name", "name it")
	}
	v.services[s.Name] = true
	v.line(fmt.Sprintf("services[%d]", i), s.Name, s.HealthPath, s.Protocol)
}

// checkSingleLine rejects texts that can't be stored as one line.
func (v *validator) line(field string, texts ...string) {
	for _, t := range texts {
		if strings.ContainsAny(t, "\r\n\x00") {
			v.fault(field, fmt.Sprintf("%.64q", t), "it has a line break or a zero byte", "leave it out")
		}
	}
}

func (v *validator) route(i int, r *Route) {
	field := fmt.Sprintf("routes[%d] %q", i, r.Name)
	v.line(field, r.Name, r.Host, r.Prefix)
	at := place{NormalHost(r.Host), r.Prefix}
	if other, taken := v.places[at]; taken {
		v.fault(field, r.Host+r.Prefix, fmt.Sprintf("route %q has the same host and prefix", other), "drop one of the two")
	}
	v.places[at] = r.Name
	if r.Timeout <= 0 {
		v.fault(field+" time-out", r.Timeout.String(), "no request could be answered in it", "use 1 ms or more")
	}
	v.targets(field, r)
}

func (v *validator) targets(field string, r *Route) {
	targets := r.Targets()
	if len(targets) == 0 {
		v.fault(field, "", "it names no service", "name one service, a split or shards")
	}
	for _, name := range targets {
		if !v.services[name] {
			v.fault(field, name, "there is no such service", "name one of the configuration's services")
		}
	}
	if len(r.Split) == 0 {
		return
	}
	sum := 0.0
	for _, w := range r.Split {
		if w.Weight < 0 {
			v.fault(field, fmt.Sprintf("%s=%v", w.Service, w.Weight), "a weight is below 0", "use 0 or more")
		}
		sum += w.Weight
	}
	if sum <= 0 {
		v.fault(field, "", "the weights add up to 0", "give one service a weight")
	}
}
