package route

import (
	"fmt"
	"math"
	"strings"

	"pearmoor/internal/contract"
	"pearmoor/internal/settings"
)

// Validate returns all faults of the release as contract.Faults, or nil.
func (r *Release) Validate() error {
	v := validator{services: make(map[string]bool, len(r.Services)), routesByKey: make(map[routeKey]string, len(r.Routes))}
	for i := range r.Services {
		v.checkService(i, &r.Services[i])
	}
	v.checkOrganisations(r.Organisations)
	for i := range r.Routes {
		v.checkRoute(i, &r.Routes[i])
	}
	return v.faults.ErrOrNil()
}

// routeKey is the host and prefix by which a route is selected.
type routeKey struct{ host, prefix string }

// validator collects the faults of a release.
type validator struct {
	services    map[string]bool
	routesByKey map[routeKey]string
	faults      contract.Faults
}

func (v *validator) addFault(field, value, why, fix string) {
	v.faults = append(v.faults, contract.Fault{Field: field, Value: value, Why: why, Fix: fix})
}

func (v *validator) checkService(i int, s *Service) {
	if s.Name == "" {
		v.addFault(fmt.Sprintf("services[%d]", i), "", "the service has no name", "name it")
	}
	v.services[s.Name] = true
	v.checkSingleLine(fmt.Sprintf("services[%d]", i), s.Name, s.HealthPath, s.Protocol)
}

// checkSingleLine rejects texts that can't be stored as one line.
func (v *validator) checkSingleLine(field string, texts ...string) {
	for _, t := range texts {
		if strings.ContainsAny(t, "\r\n\x00") {
			v.addFault(field, fmt.Sprintf("%.64q", t), "it has a line break or a zero byte", "leave it out")
		}
	}
}

func (v *validator) checkRoute(i int, r *Route) {
	field := fmt.Sprintf("routes[%d] %q", i, r.Name)
	v.checkSingleLine(field, r.Name, r.Host, r.Prefix)
	key := routeKey{NormalizeHost(r.Host), r.Prefix}
	if other, taken := v.routesByKey[key]; taken {
		v.addFault(field, r.Host+r.Prefix, fmt.Sprintf("route %q has the same host and prefix", other), "drop one of the two")
	}
	v.routesByKey[key] = r.Name
	if r.Timeout <= 0 {
		v.addFault(field+" time-out", r.Timeout.String(), "no request could be answered in it", "use 1 ms or more")
	}
	v.checkTargets(field, r)
}

func (v *validator) checkTargets(field string, r *Route) {
	targets := r.Targets()
	if len(targets) == 0 {
		v.addFault(field, "", "it names no service", "name one service, a split or shards")
	}
	for _, name := range targets {
		if !v.services[name] {
			v.addFault(field, name, "there is no such service", "name one of the configuration's services")
		}
	}
	if len(r.Split) == 0 {
		return
	}
	sum := 0.0
	for _, w := range r.Split {
		if w.Weight < 0 {
			v.addFault(field, fmt.Sprintf("%s=%v", w.Service, w.Weight), "a weight is below 0", "use 0 or more")
		}
		sum += w.Weight
	}
	if sum <= 0 {
		v.addFault(field, "", "the weights add up to 0", "give one service a weight")
	}
}

// checkOrganisations rejects names and keys that do not identify one organisation, and rates
// that are no numbers of requests. Its faults show fingerprints in place of keys. It formats
// places only for faults: formatting those of 100,000 keys took 50 ms.
func (v *validator) checkOrganisations(list []Organisation) {
	named := make(map[string]bool, len(list))
	holders := make(map[KeyDigest]int, len(list))
	place := func(i int) string { return fmt.Sprintf("organisations[%d] %q", i, list[i].Name) }
	for i := range list {
		o := &list[i]
		if why := settings.CheckOrganisationName(o.Name); why != "" {
			v.addFault(place(i), "", why, "give it a name of one line")
		} else if named[o.Name] {
			v.addFault(place(i), o.Name, "another organisation has the same name", "give each organisation its own name")
		}
		named[o.Name] = true
		for k, key := range o.Keys {
			digest := DigestKey(key)
			why, fix := settings.CheckKey(key), "use a key without blanks"
			if holder, taken := holders[digest]; why == "" && taken && holder != i {
				why, fix = place(holder)+" has the same key", "leave the key to one organisation"
			}
			if why != "" {
				v.addFault(fmt.Sprintf("%s key %d", place(i), k), digest.Fingerprint(), why, fix)
				continue
			}
			holders[digest] = i
		}
		if !isRate(o.Rate) {
			v.addFault(place(i)+" rate", fmt.Sprint(o.Rate), "it is no number of requests", "use 0 or more")
		}
		if !isRate(o.Burst) {
			v.addFault(place(i)+" burst", fmt.Sprint(o.Burst), "it is no number of requests", "use 0 or more")
		}
	}
}

func isRate(f float64) bool { return f >= 0 && !math.IsInf(f, 0) }
