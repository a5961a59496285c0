package directory

import (
	"math/rand/v2"
	"time"

	"pearmoor/internal/settings"
)

// lifetimeSpread is the part of the lifetime that is drawn at random.
const lifetimeSpread = 5

// Lifetime returns how long a caller keeps a list: at most the tier's setting,
// which is what a draining daemon waits for, and up to a fifth less. Without the
// spread, callers that got their lists together, as after a restart, would come
// back together for ever.
func Lifetime(t settings.Tier) time.Duration {
	return t.AddressLifetime - rand.N(t.AddressLifetime/lifetimeSpread+1)
}
