package entry

import (
	"sync"

	"pearmoor/internal/relay"
)

// envelope is what a request may have around its body: path, key, session.
const envelope = 16 << 10 // bytes

// bodyLimit knows the largest body that any query service takes, so that a
// request is refused before it is read whole and its own path is known.
type bodyLimit struct {
	mu      sync.Mutex
	version uint64
	limit   int64
}

// of returns the limit in bytes under v.
func (b *bodyLimit) of(v *relay.View) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit == 0 || v.ConfigVersion != b.version {
		b.version = v.ConfigVersion
		b.limit = largest(v)
	}
	return b.limit
}

func largest(v *relay.View) int64 {
	limit := 0
	for _, service := range v.Tree.Services("") {
		if e, ok := v.Tree.Effective(service); ok {
			limit = max(limit, e.BodyLimit)
		}
	}
	return int64(limit) + envelope
}
