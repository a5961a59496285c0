package policy

import (
	"math"
	"time"

	"pearmoor/internal/vm"
)

const (
	// quotaRounding is the error of sums of tokens that is tolerated: tokens for one request
	// that were added in many small parts may sum to slightly less than 1.
	quotaRounding = 1e-6
	// peakPeriod and peakPeriods determine how old a grant may be to be given back: at least
	// peakPeriod times peakPeriods-1.
	peakPeriod  = 500 * time.Millisecond
	peakPeriods = 4
	// refusedHalfLife is the half-life of the count of recent refusals.
	refusedHalfLife = time.Second
	// maxQuotaWait bounds the time until the next token. A share may have no rate.
	maxQuotaWait = time.Minute
)

// QuotaBucket is the token bucket of one place of an organisation. In any window, the requests
// that it admits and that are not given back number at most Capacity + Rate x window.
type QuotaBucket struct {
	share   QuotaShare
	tokens  float64
	updated vm.Instant // tokens were added up to here

	// peaks are the highest numbers of tokens in the newest periods, the newest period first,
	// as if the grants that were given back had not been made.
	peaks       [peakPeriods]float64
	periodStart vm.Instant // of the newest period
	periods     int        // with a peak
	created     vm.Instant

	refused   float64 // recent refusals, as of refusedAt
	refusedAt vm.Instant
}

// NewQuotaBucket returns a bucket that is empty at now.
func NewQuotaBucket(share QuotaShare, now vm.Instant) QuotaBucket {
	return QuotaBucket{share: share, updated: now, periodStart: now, periods: 1, created: now, refusedAt: now}
}

// Share returns the share in use.
func (b *QuotaBucket) Share() QuotaShare { return b.share }

// update adds the tokens of the time since the last update. A clock that stands still or goes
// back adds none.
func (b *QuotaBucket) update(now vm.Instant, share QuotaShare) {
	if now <= b.updated {
		return
	}
	b.tokens = min(b.tokens+share.Rate*now.Sub(b.updated).Seconds(), share.Capacity)
	b.updated = now
	if elapsed := int64(now.Sub(b.periodStart) / peakPeriod); elapsed > 0 {
		b.periodStart = b.periodStart.Add(time.Duration(elapsed) * peakPeriod)
		b.periods = int(min(int64(b.periods)+elapsed, peakPeriods))
		shift := int(min(elapsed, peakPeriods))
		copy(b.peaks[shift:], b.peaks[:])
		// Between two updates the tokens only rise, so the peak of the newest period, set below,
		// is also that of the periods since the last update.
		clear(b.peaks[:shift])
	}
	b.peaks[0] = max(b.peaks[0], b.tokens)
}

// SetShare changes the share. It adds no tokens: a higher capacity fills at the rate. The time
// since the last update counts with the smaller share, since it is not known when the share
// changed.
func (b *QuotaBucket) SetShare(share QuotaShare, now vm.Instant) {
	if share == b.share {
		return
	}
	b.update(now, b.share.Min(share))
	b.tokens = min(b.tokens, share.Capacity)
	b.share = share
}

// Take takes up to n tokens and returns how many it took. The others count as refused.
func (b *QuotaBucket) Take(n int, now vm.Instant) int {
	b.update(now, b.share)
	granted := min(n, int(b.tokens+quotaRounding))
	b.tokens = max(b.tokens-float64(granted), 0)
	if granted < n {
		b.refused = b.refusedCount(now) + float64(n-granted)
		b.refusedAt = max(b.refusedAt, now)
	}
	return granted
}

// GiveBack returns n tokens that were taken at grantedAt and not used. It returns how many tokens
// were added: those that the bucket would have now if they had not been taken. If the bucket was
// full since then, or too long has passed to know, that is none. Otherwise the tokens of an
// earlier window would be used on top of a full bucket.
func (b *QuotaBucket) GiveBack(n int, grantedAt, now vm.Instant) float64 {
	b.update(now, b.share)
	if grantedAt < b.created || grantedAt > b.updated {
		return 0
	}
	peak, start, known := b.tokens, b.periodStart, false
	for i := range b.periods {
		peak = max(peak, b.peaks[i])
		if grantedAt >= start {
			known = true
			break
		}
		start -= vm.Instant(peakPeriod)
	}
	if !known {
		return 0
	}
	added := max(min(float64(n), b.share.Capacity-peak), 0)
	b.tokens += added
	for i := range b.periods {
		b.peaks[i] += added
	}
	return added
}

// Wait returns the time until a request can be admitted.
func (b *QuotaBucket) Wait(now vm.Instant) time.Duration {
	b.update(now, b.share)
	missing := 1 - quotaRounding - b.tokens
	switch {
	case missing <= 0:
		return 0
	case b.share.Rate <= 0 || b.share.Capacity < 1-quotaRounding:
		return maxQuotaWait
	}
	return time.Duration(min(math.Ceil(missing/b.share.Rate*float64(time.Second)), float64(maxQuotaWait)))
}

// IsFull reports whether the bucket holds all tokens that it can.
func (b *QuotaBucket) IsFull(now vm.Instant) bool {
	b.update(now, b.share)
	return b.tokens >= b.share.Capacity
}

// Refused returns the number of recent refusals. One counts half after refusedHalfLife.
func (b *QuotaBucket) Refused(now vm.Instant) int { return int(math.Ceil(b.refusedCount(now) - 0.5)) }

func (b *QuotaBucket) refusedCount(now vm.Instant) float64 {
	age := max(now.Sub(b.refusedAt), 0)
	return b.refused * math.Exp2(-float64(age)/float64(refusedHalfLife))
}
