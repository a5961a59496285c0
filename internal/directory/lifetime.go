package directory

import (
	"math/rand/v2"
	"time"

	"pearmoor/internal/settings"
)

// lifetimeJitterDivisor sets the random part of the lifetime: one fifth.
const lifetimeJitterDivisor = 5

// Lifetime returns how long a caller keeps a list: the tier's address lifetime, for
// which a draining daemon waits, less a random part of up to a fifth. Without the
// jitter, callers that fetched their lists together, for example after a restart,
// would keep refetching together.
func Lifetime(t settings.Tier) time.Duration {
	return t.AddressLifetime - rand.N(t.AddressLifetime/lifetimeJitterDivisor+1)
}
