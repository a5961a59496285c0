package load

import (
	"encoding/json"

	"pearmoor/internal/contract"
	"pearmoor/internal/standin"
)

// Check counts the errors found in answers that come from stand-in leaves.
type Check struct {
	Lost     int `json:"lost_hits"`      // missing hits of a shard that is stated as answered
	Doubled  int `json:"doubled_hits"`   // same document more than once
	Mixed    int `json:"mixed_versions"` // hits of an index version other than the answer states
	Foreign  int `json:"foreign_hits"`   // hits that belong to another request
	Coverage int `json:"untrue_coverage"`
}

// Add adds o to c.
func (c *Check) Add(o Check) {
	c.Lost += o.Lost
	c.Doubled += o.Doubled
	c.Mixed += o.Mixed
	c.Foreign += o.Foreign
	c.Coverage += o.Coverage
}

// HasErrors reports whether any error was found.
func (c Check) HasErrors() bool { return c != Check{} }

// CheckAnswer compares an answer with the documents of the stand-in leaves. The request must
// not have limited the hits; runKey is the run_key of its body.
func CheckAnswer(a *contract.Answer, runKey string) Check {
	var c Check
	missing := map[string]map[uint32]bool{}
	for _, m := range a.Coverage.Missing {
		if missing[m.Service] == nil {
			missing[m.Service] = map[uint32]bool{}
		}
		missing[m.Service][m.Shard] = true
	}
	if a.Coverage.Answered+len(a.Coverage.Missing) != a.Coverage.Total {
		c.Coverage++
	}
	seen := map[string]map[string]bool{}
	origins := map[string]standin.Origin{}
	for _, h := range a.Hits {
		var o standin.Origin
		if json.Unmarshal(h.Data, &o) != nil || o.RunKey != runKey {
			c.Foreign++
			continue
		}
		if o.Version != a.IndexVersions[h.Service] {
			c.Mixed++
		}
		if missing[h.Service][h.Shard] {
			c.Coverage++
		}
		if seen[h.Service] == nil {
			seen[h.Service] = map[string]bool{}
		}
		if seen[h.Service][h.ID] {
			c.Doubled++
		}
		seen[h.Service][h.ID] = true
		origins[h.Service] = o
	}
	for service, o := range origins {
		c.Lost += countLost(service, o, seen[service], missing[service])
	}
	return c
}

// countLost returns the number of documents of answered shards that are not among the hits.
func countLost(service string, o standin.Origin, seen map[string]bool, missing map[uint32]bool) int {
	n := 0
	for doc := range o.Documents {
		shard := standin.ShardOf(service, o.Version, o.Shards, doc)
		if !missing[shard] && !seen[standin.DocumentID(service, doc)] {
			n++
		}
	}
	return n
}
