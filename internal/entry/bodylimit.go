package entry

import (
	"sync"

	"pearmoor/internal/relay"
)

// envelope is what a request may have around its body: path, key, session.
const envelope = 16 << 10 // bytes

// firstLimit holds until the tree is known, in bytes.
const firstLimit = 1 << 20

// bodyLimit knows the largest body that any query service takes, so that a
// request is refused before it is read whole and its own path is known.
//
// The limit never goes down in the life of a daemon. A resend of a request that
// ran under a higher limit has to be read to learn its key; refused unread, the
// caller would be told not_run of a request that ran.
type bodyLimit struct {
	mu      sync.Mutex
	version uint64
	limit   int64
}

// of returns the limit in bytes under v, which may be nil.
func (b *bodyLimit) of(v *relay.View) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ready(v) && (b.limit == 0 || v.ConfigVersion != b.version) {
		b.version = v.ConfigVersion
		b.limit = max(b.limit, largest(v))
	}
	return max(b.limit, firstLimit)
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
