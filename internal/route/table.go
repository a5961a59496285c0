package route

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"pearmoor/internal/work"
)

// Table finds the route of a request by host and path. It is immutable.
type Table struct {
	Number      uint64
	Limits      Limits
	byHost      map[string][]*Entry // by normalized host; longest prefix first
	services    map[string]*Service
	gathered    map[string]bool // services that are shards of a route
	entries     []*Entry
	warmUpRates bool // at least one service limits what a leaf gets while it warms up

	keysRequired       bool
	organisations      map[string]*Organisation // by name
	organisationsByKey map[KeyDigest]*Organisation
}

// Entry is a route in a Table. Its pointer identifies the route while the table is
// in use.
type Entry struct {
	Route
	picker *weightedPicker
}

// NewTable returns the lookup table of a release.
func NewTable(r *Release) *Table {
	t := &Table{
		Number: r.Number, Limits: r.Limits,
		byHost:   make(map[string][]*Entry),
		services: make(map[string]*Service, len(r.Services)),
		gathered: make(map[string]bool),
	}
	for i := range r.Services {
		t.services[r.Services[i].Name] = &r.Services[i]
		t.warmUpRates = t.warmUpRates || r.Services[i].WarmUpRate > 0
	}
	t.setOrganisations(r)
	var pacer work.Pacer
	for i := range r.Routes {
		pacer.Step()
		e := &Entry{Route: r.Routes[i], picker: newWeightedPicker(r.Routes[i].Split)}
		e.Shards = dedupe(e.Shards)
		for _, shard := range e.Shards {
			t.gathered[shard] = true
		}
		host := NormalizeHost(e.Host)
		t.byHost[host] = append(t.byHost[host], e)
		t.entries = append(t.entries, e)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Entry) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// dedupe removes repeated names and keeps the order: a shard that is listed twice
// counts as one shard.
func dedupe(names []string) []string {
	seen := make(map[string]bool, len(names))
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool {
		duplicate := seen[n]
		seen[n] = true
		return duplicate
	})
}

// Find returns the route of the host with the longest prefix that matches the path.
func (t *Table) Find(host, path string) (*Entry, bool) {
	for _, e := range t.byHost[NormalizeHost(host)] {
		if strings.HasPrefix(path, e.Prefix) {
			return e, true
		}
	}
	return nil, false
}

// Entries returns the routes in the order of the release. The slice must not be
// modified.
func (t *Table) Entries() []*Entry { return t.entries }

// Service returns the release's definition of the named service.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// IsShard reports whether the named service is a shard of a route.
func (t *Table) IsShard(name string) bool { return t.gathered[name] }

// LimitsWarmUp reports whether any service limits what a leaf gets while it warms up.
func (t *Table) LimitsWarmUp() bool { return t.warmUpRates }

// PickService returns the service for the next request of a route without shards.
func (e *Entry) PickService() string {
	if e.picker == nil {
		return e.Service
	}
	return e.picker.next()
}

// NormalizeHost returns host in the form used for comparison: lower case, without
// port and trailing dot.
func NormalizeHost(host string) string {
	if strings.Contains(host, ":") {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
