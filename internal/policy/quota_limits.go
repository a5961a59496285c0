package policy

import "time"

// QuotaLimits bounds the requests of an organisation at all daemons together beyond its quota: in
// any Window at most (rate x Window + burst) x (1 + Over) + Slack of them may reach leaves.
type QuotaLimits struct {
	Window time.Duration
	Over   float64 // as a fraction of the quota
	Slack  float64 // requests
}
