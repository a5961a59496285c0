package admit

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"pearmoor/internal/contract"
)

// Causes of refusals. Each is the cause of a *contract.Error with verdict NotRun.
var (
	ErrNoShare          = errors.New("this daemon holds no share of the leaf's slots")
	ErrQueueFull        = errors.New("the queue for the leaf is full")
	ErrDeadlineTooShort = errors.New("the expected wait for a slot does not fit the deadline")
	ErrDraining         = errors.New("the leaf is leaving and takes no new work")
	ErrLeaseExpired     = errors.New("the daemon's lease has run out")
)

// retryJitter is the maximum fraction added to a retry delay, so that callers
// refused together do not return together.
const retryJitter = 0.25

const (
	noShareRetryAfter      = 100 * time.Millisecond // a view with new shares follows the loss of a share
	leaseExpiredRetryAfter = time.Second            // the interval of lease renewals
)

func errNoShare() *contract.Error {
	return newRefusal(contract.ReasonOverload, noShareRetryAfter, ErrNoShare)
}

func errDraining() *contract.Error {
	return newRefusal(contract.ReasonNoLiveTarget, noShareRetryAfter, ErrDraining)
}

func errLeaseExpired() *contract.Error {
	return newRefusal(contract.ReasonUnconfirmed, leaseExpiredRetryAfter, ErrLeaseExpired)
}

func errOverload(retryAfter time.Duration, cause error) *contract.Error {
	return newRefusal(contract.ReasonOverload, retryAfter, cause)
}

func newRefusal(reason contract.Reason, retryAfter time.Duration, cause error) *contract.Error {
	e := contract.Refuse(reason, cause)
	e.RetryAfter = max(1, jitter(retryAfter).Milliseconds())
	return e
}

// jitter returns d plus a random part of up to retryJitter times d.
func jitter(d time.Duration) time.Duration {
	return d + time.Duration(rand.Float64()*retryJitter*float64(d))
}
