package entry

import (
	"fmt"
	"strconv"
	"sync/atomic"

	"pearmoor/internal/vm"
)

// requestIDGenerator generates request ids that are unique over all daemons and over
// restarts of this daemon.
type requestIDs struct {
	prefix string
	next   atomic.Uint64
}

func newRequestIDs(self vm.Identity) *requestIDs {
	return &requestIDs{prefix: fmt.Sprintf("%s-%x-", self.Name, self.Incarnation)}
}

func (r *requestIDs) new() string {
	return r.prefix + strconv.FormatUint(r.next.Add(1), 36)
}
