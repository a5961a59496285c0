package entry

import (
	"fmt"
	"strconv"
	"sync/atomic"

	"pearmoor/internal/vm"
)

// requestIDGenerator generates request ids that are unique over all daemons and over
// restarts of this daemon.
type requestIDGenerator struct {
	prefix  string
	counter atomic.Uint64
}

func newRequestIDGenerator(self vm.Identity) *requestIDGenerator {
	return &requestIDGenerator{prefix: fmt.Sprintf("%s-%x-", self.Name, self.Incarnation)}
}

func (r *requestIDGenerator) new() string {
	return r.prefix + strconv.FormatUint(r.counter.Add(1), 36)
}
