package policy

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"pearmoor/internal/vm"
)

const (
	// maxColdSenders is the most daemons that share what a cold leaf bears. A request whose
	// leaves are all cold is served only at a daemon with a share.
	maxColdSenders = 8
	// minColdRetryAfter and maxColdRetryAfter bound the Retry-After of a request whose leaves
	// are all cold. It is drawn at random, since many callers are refused at once.
	minColdRetryAfter = 100 * time.Millisecond
	maxColdRetryAfter = 600 * time.Millisecond
	// ColdSettleTime is how long a leaf counts as cold after it was lost or its failure domain
	// was evacuated: the time until the list of leaves says whether it is.
	ColdSettleTime = 3 * time.Second
)

// ColdShare is what one daemon may send to one cold leaf: at most Requests in any Window. The
// zero value allows nothing.
type ColdShare struct {
	Requests int
	Window   time.Duration
}

// NewColdShare returns the share of the daemon named self in what a leaf bears while it is cold:
// rate requests per second from all daemons together. The shares of all daemons with the same
// members add up to no more than rate. The leaf's id decides which of the members have one, so
// that the leaves of a service are shared by different daemons.
//
// It answers the load after many leaves have started together: every daemon sees that they are
// idle and prefers them, and a leaf that is cold ends under what it bears when it is warm.
func NewColdShare(rate float64, leafID, self string, members []*vm.Member) ColdShare {
	if rate <= 0 {
		return ColdShare{}
	}
	senders := max(1, min(int(rate), maxColdSenders, len(members)))
	own, isMember := coldScore(leafID, self), false
	above := 0 // members that rank above self
	for _, m := range members {
		switch {
		case m.Name == self:
			isMember = true
		case coldScore(leafID, m.Name) > own:
			above++
		}
	}
	if !isMember || above >= senders {
		return ColdShare{}
	}
	if rate < 1 {
		return ColdShare{Requests: 1, Window: time.Duration(float64(time.Second) / rate)}
	}
	return ColdShare{Requests: int(rate) / senders, Window: time.Second}
}

// Min returns the smaller one of two shares of the same leaf.
func (s ColdShare) Min(o ColdShare) ColdShare {
	if o.Requests < s.Requests || o.Requests == s.Requests && o.Window > s.Window {
		return o
	}
	return s
}

func coldScore(leafID, member string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(leafID)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(member)
	return h.Sum64()
}

// ColdSends counts what this daemon has sent to one cold leaf. Its zero value has sent nothing.
type ColdSends struct {
	times []vm.Instant // of the sends in the current window, oldest first
}

// Available reports whether the share allows a send now.
func (c *ColdSends) Available(share ColdShare, now vm.Instant) bool {
	for len(c.times) > 0 && now.Sub(c.times[0]) > share.Window {
		c.times = c.times[1:]
	}
	return len(c.times) < share.Requests
}

// Take records a send if the share allows it.
func (c *ColdSends) Take(share ColdShare, now vm.Instant) bool {
	if !c.Available(share, now) {
		return false
	}
	c.times = append(c.times, now)
	return true
}

// ColdRetryAfter returns the Retry-After of a request whose leaves are all cold.
func ColdRetryAfter() time.Duration {
	return minColdRetryAfter + rand.N(maxColdRetryAfter-minColdRetryAfter)
}
