package forward

import (
	"net/http"
	"testing"
	"time"

	"pearmoor/internal/discovery"
	"pearmoor/internal/route"
	"pearmoor/internal/vm"
)

// Guards against a request that waits for a leaf process that no longer exists. A leaf is
// cut off from the network during a request, crashes and restarts under the same id, while the
// old connection stays open without a reply. Once the list shows the restarted leaf, the
// request counts as one that may have run, and a repeatable one is sent to the new process.
func TestRequestInFlightEndsWhenLeafRestarts(t *testing.T) {
	oldLeaf := startLeaf(t, neverReply)
	rt := route.Route{Repeatable: true, MaxAttempts: 2, Service: "s"}
	f := newFixture(t, rt, map[string][]*fakeLeaf{"s": {oldLeaf}})
	go func() {
		for oldLeaf.runs.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		newLeaf := startLeaf(t, replyWith("from the new life"))
		book := f.engine.cfg.Leaves
		book.ApplyReading([]discovery.ListedLeaf{{ID: "i-s-0", StartMs: 5, Service: "s", Addr: newLeaf.addr, Slots: 2}}, vm.Monotonic())
		f.tracker.Reconcile(book.Snapshot())
	}()
	began := time.Now()
	resp, text := f.do(t, http.MethodGet, "/", "")
	if resp.StatusCode != 200 || text != "from the new life" {
		t.Errorf("status %d, %q", resp.StatusCode, text)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("took %v, want at most 1 s", took)
	}
}
