package entry

import (
	"sync"

	"pearmoor/internal/relay"
)

// requestOverhead is the allowance for the fields of a request other than its body:
// path, key, session.
const requestOverhead = 16 << 10 // bytes

// defaultReadLimit is the lowest read limit, in bytes. It applies until the settings
// tree is known.
const defaultReadLimit = 1 << 20

// readLimit is the number of bytes read of any request: the largest body limit of all
// query services and the overhead. It bounds the read before the path of the request,
// and so its own limit, is known.
//
// The limit never decreases while the daemon runs. A resent request that ran under a
// higher limit must be read to learn its key: if it were rejected unread, the caller
// would be told not_run although the request ran.
type readLimit struct {
	mu      sync.Mutex
	version uint64
	limit   int64
}

// forView returns the limit in bytes, raised to what v requires. v may be nil.
func (l *readLimit) forView(v *relay.View) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if hasConfig(v) && (l.limit == 0 || v.ConfigVersion != l.version) {
		l.version = v.ConfigVersion
		l.limit = max(l.limit, maxRequestBytes(v))
	}
	return max(l.limit, defaultReadLimit)
}

// maxRequestBytes returns the largest body limit of all services plus requestOverhead.
func maxRequestBytes(v *relay.View) int64 {
	limit := 0
	for _, service := range v.Tree.Services("") {
		if e, ok := v.Tree.Effective(service); ok {
			limit = max(limit, e.BodyLimit)
		}
	}
	return int64(limit) + requestOverhead
}
