package forward

import (
	"net/http"
	"testing"
	"time"

	"pearmoor/internal/discovery"
	"pearmoor/internal/route"
	"pearmoor/internal/vm"
)

// A leaf is cut off with a request, crashes behind the cut and starts again under its
// id at once. The old connection stays open and silent. As soon as the list tells of
// the new life the request is taken for one that may have run: a repeatable one goes
// to the new life, and its caller is not left to wait for a leaf that is no more.
func TestRequestInFlightEndsWithItsLife(t *testing.T) {
	hold := startLeaf(t, silent)
	rt := route.Route{Repeatable: true, Attempts: 2, Service: "s"}
	w := newWorld(t, rt, map[string][]*fakeLeaf{"s": {hold}})
	go func() {
		for hold.runs.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		well := startLeaf(t, answers("from the new life"))
		book := w.engine.cfg.Book
		book.Take([]discovery.Listed{{ID: "i-s-0", Born: 5, Service: "s", Addr: well.addr, Slots: 2}}, vm.Monotonic())
		w.board.Keep(book.Snapshot())
	}()
	began := time.Now()
	resp, text := w.do(t, http.MethodGet, "/", "")
	if resp.StatusCode != 200 || text != "from the new life" {
		t.Errorf("status %d, %q", resp.StatusCode, text)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("took %v", took)
	}
}
