package relay

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

// fault is one step of a schedule.
type fault struct {
	after  time.Duration
	kind   string
	daemon int
	value  int
}

var faultKinds = []string{
	"join", "crash", "drain", "pause", "resume", "cut", "heal", "uplink", "homes", "slots", "move", "election", "no quorum", "quorum",
}

func drawFaults(t *rapid.T) []fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		return fault{
			after:  time.Duration(rapid.IntRange(1, 4000).Draw(t, "after")) * time.Millisecond,
			kind:   rapid.SampledFrom(faultKinds).Draw(t, "what"),
			daemon: rapid.IntRange(0, 5).Draw(t, "who"),
			value:  rapid.IntRange(1, 4).Draw(t, "value"),
		}
	}), 1, 25).Draw(t, "faults")
}

// A leaf is overloaded if daemons that know different memberships or configurations
// each use their full share under what they know. Daemons join, crash, drain, pause,
// are cut off, get replies late and out of order, and apply changes of homes, slots
// and leaves, with and without relays; each uses its full shares whenever it may. The
// requests of all daemons in flight at a leaf must never exceed its slots under the
// version that is in force everywhere, and no daemon may believe that its lease lasts
// longer than the leader does.
func TestSharesNeverExceedSlots(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		direct := rapid.SampledFrom([]int{1, 64}).Draw(rt, "direct")
		lateReplies := rapid.Bool().Draw(rt, "late")
		faults := drawFaults(rt)
		var violation error
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			w := newCluster(ctx, seed)
			w.network.delay, w.network.lateReplies = 50*time.Millisecond, lateReplies
			violation = w.runSchedule(direct, faults)
			cancel()
			w.running.Wait()
			time.Sleep(2 * time.Minute) // lets hanging calls time out
		})
		if violation != nil {
			rt.Fatal(violation)
		}
	})
}

// runSchedule runs a schedule of faults and returns the first violation.
func (w *cluster) runSchedule(direct int, faults []fault) error {
	_ = w.leader.edit(
		setEdit(service, "leaf-slots", "4"),
		setEdit(service, "leaves", "a=127.0.0.1:1@hall-0,b=127.0.0.1:2@hall-1"),
		setEdit("/desk/s2", "leaves", "c=127.0.0.1:3@hall-1"))
	runs := make([]*daemon, 6)
	resumes := make(map[int]func())
	defer func() {
		for _, resume := range resumes {
			resume()
		}
	}()
	for index := range 4 {
		runs[index] = w.startDaemon(w.nextIdentity(index), direct, 1)
	}
	if err := w.checkFor(8 * time.Second); err != nil {
		return err
	}
	for i, f := range faults {
		w.inject(f, direct, runs, resumes)
		if err := w.checkFor(f.after); err != nil {
			return fmt.Errorf("after fault %d (%+v): %w", i, f, err)
		}
	}
	for index, resume := range resumes {
		delete(resumes, index)
		resume()
	}
	return w.checkFor(8 * time.Second)
}

func (w *cluster) nextIdentity(index int) vm.Identity {
	return identity("daemon-"+strconv.Itoa(index), uint64(w.clock()))
}

func (w *cluster) inject(f fault, direct int, runs []*daemon, resumes map[int]func()) {
	addr := "daemon-" + strconv.Itoa(f.daemon)
	switch f.kind {
	case "join":
		if resumes[f.daemon] != nil {
			return
		}
		if runs[f.daemon] != nil {
			runs[f.daemon].cancel()
		}
		runs[f.daemon] = w.startDaemon(w.nextIdentity(f.daemon), direct, 1)
	case "crash":
		if runs[f.daemon] != nil {
			runs[f.daemon].cancel()
		}
	case "drain":
		if runs[f.daemon] != nil {
			runs[f.daemon].client.SetPhase(vm.Draining)
		}
	case "pause":
		if resumes[f.daemon] == nil {
			resumes[f.daemon] = w.network.pause(addr)
		}
	case "resume":
		if resume := resumes[f.daemon]; resume != nil {
			delete(resumes, f.daemon)
			resume()
		}
	case "cut", "heal":
		w.network.setCut(addr, f.kind == "cut")
	case "uplink":
		w.network.cutBetween(addr, leaderAddr, f.value > 2)
	case "homes":
		_ = w.leader.edit(setEdit(service, "homes", strconv.Itoa(min(f.value, 2))))
	case "slots":
		_ = w.leader.edit(setEdit(service, "leaf-slots", strconv.Itoa(1+f.value)))
	case "move":
		w.moveLeaf(f.value)
	case "election":
		w.leader.restart()
	case "no quorum", "quorum":
		w.leader.setQuorum(f.kind == "quorum")
	}
}

// moveLeaf moves leaf b to the first service if value is odd, otherwise to the second.
func (w *cluster) moveLeaf(value int) {
	first, second := "a=127.0.0.1:1@hall-0,b=127.0.0.1:2@hall-1", "c=127.0.0.1:3@hall-1"
	if value%2 == 0 {
		first, second = "a=127.0.0.1:1@hall-0", "b=127.0.0.1:2@hall-1,c=127.0.0.1:3@hall-1"
	}
	_ = w.leader.edit(setEdit(service, "leaves", first), setEdit("/desk/s2", "leaves", second))
}

// checkFor checks leases and leaves every few milliseconds for d.
func (w *cluster) checkFor(d time.Duration) error {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(7 * time.Millisecond)
		synctest.Wait()
		if err := w.checkLeases(); err != nil {
			return err
		}
		for port := 1; port <= 3; port++ {
			if err := w.checkLeaf(fmt.Sprintf("127.0.0.1:%d", port)); err != nil {
				return err
			}
		}
	}
	return nil
}

func (w *cluster) checkLeaf(addr string) error {
	w.leader.mu.Lock()
	inForce := w.leader.state.InForce
	w.leader.mu.Unlock()
	slots, used := w.slotsAt(inForce, addr), w.totalInFlight(addr)
	if used > slots {
		return fmt.Errorf("%d requests in flight at %s, which has %d slots under version %d", used, addr, slots, inForce)
	}
	return nil
}

// checkLeases compares each daemon's lease with the leader's record of it.
func (w *cluster) checkLeases() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range w.daemons {
		self, until := d.client.cfg.Self, d.client.Current().LeaseEnd
		if last := w.leader.leaseEnd(runID{name: self.Name, incarnation: self.Incarnation}); until > last {
			return fmt.Errorf("%s believes its lease lasts %v longer than the leader does", self.Name, until.Sub(last))
		}
	}
	return nil
}

// slotsAt returns the slots of a leaf under a configuration version.
func (w *cluster) slotsAt(version uint64, addr string) int {
	w.leader.history.mu.Lock()
	deltas := w.leader.history.deltas
	w.leader.history.mu.Unlock()
	t := settings.New()
	for _, d := range deltas[:version] {
		t = t.Replay(d.GetVersion(), settings.EditsFromWire(d.GetEdits()))
	}
	slots := 0
	for _, path := range t.Services("/") {
		e, _ := t.Effective(path)
		if _, ok := leafIndexOf(e.Leaves, addr); ok {
			slots = e.LeafSlots
		}
	}
	return slots
}
