package daemon

import (
	"pearmoor/internal/link/leaf"
	"pearmoor/internal/query"
)

// catalog lets the query engine read the prober's snapshots.
type catalog struct {
	prober *leaf.Prober
}

// Snapshots implements query.Catalog.
func (c catalog) Snapshots(service string) []query.Snapshot {
	known := c.prober.Snapshots(service)
	out := make([]query.Snapshot, len(known))
	for i, s := range known {
		out[i] = query.Snapshot{Version: s.Version, Holders: s.Holders}
	}
	return out
}
