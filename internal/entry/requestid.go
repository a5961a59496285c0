package entry

import (
	"fmt"
	"strconv"
	"sync/atomic"

	"pearmoor/internal/vm"
)

// requestIDs makes ids that no other daemon, and no other run of this one, makes.
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
