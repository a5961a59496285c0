package policy

import "time"

// QuotaUseDelay is the time from the grant of a request by an owner until the request reaches a
// leaf that the shares allow for. Without it, grants of more than one window could reach leaves
// within one.
const QuotaUseDelay = 300 * time.Millisecond

// minPlaceSlack is the slack for which a quota gets one more place: one request as the capacity
// of the place and one for its rate.
const minPlaceSlack = 2

// QuotaShare is the token bucket of one place of an organisation. A place that has the zero value
// admits nothing.
type QuotaShare struct {
	Capacity float64 // requests, at least 1
	Rate     float64 // requests per second
}

// Min returns the smaller capacity and the smaller rate of two shares.
func (s QuotaShare) Min(o QuotaShare) QuotaShare {
	return QuotaShare{Capacity: min(s.Capacity, o.Capacity), Rate: min(s.Rate, o.Rate)}
}

// QuotaShares returns the share of each place of an organisation with the given quota, and how
// many of the given number of places have one. Over these places, the capacities and the rates
// times the window sum to at most the bound of l, less one request for rounding.
//
// The sums of the capacities and of the rates do not depend on the number of places, and the
// number of places with a share does not depend on the quota. So the bound also holds for daemons
// that know different memberships, and while the quota is being raised, daemons that know
// different quotas stay within the bound of the higher one.
func QuotaShares(rate, burst float64, l QuotaLimits, places int) (QuotaShare, int) {
	// Half of the slack is burst, the other half is rate.
	forBurst := burst*(1+l.Over) + l.Slack/2
	forRate := rate*l.Window.Seconds()*(1+l.Over) + l.Slack/2
	bound := forBurst + forRate
	budget, capacity := bound-1, max(forBurst-1, 1)
	if bound < 2.5 {
		// This cannot spare a whole request for rounding. 1.5 admits one request in any window,
		// as a bound of 1 does.
		budget, capacity = min(bound, 1.5), 1
	}
	if places < 1 || budget < 1 {
		return QuotaShare{}, 0
	}
	used := max(1, min(places, int(l.Slack/minPlaceSlack)-1))
	share := QuotaShare{
		Capacity: capacity / float64(used),
		Rate:     min(budget-capacity, forRate) / (l.Window + QuotaUseDelay).Seconds() / float64(used),
	}
	return share, used
}
