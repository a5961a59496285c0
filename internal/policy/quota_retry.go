package policy

import (
	"math/rand/v2"
	"time"
)

const (
	// minQuotaRetryAfter and maxQuotaRetryAfter bound the Retry-After of a request over its
	// quota.
	minQuotaRetryAfter = 20 * time.Millisecond
	maxQuotaRetryAfter = 10 * time.Second
	// minQuotaSpread spreads the Retry-After of callers that were refused at the same time.
	minQuotaSpread = 50 * time.Millisecond
)

// QuotaRetryAfter returns the Retry-After of a request over its quota. wait is the time until the
// next request can be admitted, refused the number of recent refusals, and rate the rate at which
// requests are admitted. The times are spread at random over the time that it takes to admit all
// requests refused recently, so that callers do not return together.
func QuotaRetryAfter(wait time.Duration, refused int, rate float64) time.Duration {
	spread := maxQuotaRetryAfter
	if rate > 0 {
		spread = time.Duration(min(float64(refused)/rate*float64(time.Second), float64(maxQuotaRetryAfter)))
	}
	wait += rand.N(max(spread, minQuotaSpread))
	return min(max(wait, minQuotaRetryAfter), maxQuotaRetryAfter)
}
