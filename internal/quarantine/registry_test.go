package quarantine

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/smartystreets/goconvey/convey"

	"pearmoor/internal/settings"
	"pearmoor/internal/vm"
)

// fakeLeader fails all calls while it is down.
type fakeLeader struct {
	mu      sync.Mutex
	down    bool
	reports []*Report
}

var errDown = errors.New("no leader")

func (l *fakeLeader) Report(_ context.Context, rs []*Report) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return errDown
	}
	l.reports = append(l.reports, rs...)
	return nil
}

func (l *fakeLeader) Try(context.Context, Fingerprint) (Grant, error) { return Denied, errDown }
func (l *fakeLeader) Release(context.Context, Fingerprint) error      { return errDown }

func (l *fakeLeader) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func bubbleClock() vm.Instant { return vm.Instant(time.Now().UnixNano()) }

// The leader is lost while a request crashes leaves. The daemon that observed the crash must
// keep the report and must not retry the request repeatedly without the leader.
func TestReportIsKeptUntilLeaderIsReachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A report is kept until it is delivered, and includes the time that it waited", t, func() {
			l := &fakeLeader{down: true}
			g := NewRegistry(bubbleClock, l)
			ctx, cancel := context.WithCancel(t.Context())
			go g.Run(ctx)
			g.Report(crashReport(fingerprintsOf(1), 3))
			time.Sleep(20 * time.Second)
			So(g.Check(fingerprintsOf(1)), ShouldEqual, Suspect)
			So(g.Try(ctx, fingerprintsOf(1)[Exact], false), ShouldEqual, Wait)
			So(g.Try(ctx, fingerprintsOf(1)[Exact], true), ShouldEqual, Granted)
			So(g.Try(ctx, fingerprintsOf(1)[Exact], true), ShouldEqual, Wait)
			l.setDown(false)
			time.Sleep(time.Second)
			cancel()
			synctest.Wait()
			l.mu.Lock()
			defer l.mu.Unlock()
			So(len(l.reports), ShouldEqual, 1)
			So(l.reports[0].Age, ShouldBeGreaterThan, 20*time.Second)
		})
	})
}

// A daemon may receive an older version of the tree after a newer one, which must not
// replace it.
func TestOlderTreeVersionIsIgnored(t *testing.T) {
	Convey("The newest version is kept", t, func() {
		tr := newCoordinatorFixture(t)
		tr.report(crashReport(fingerprintsOf(1), 3))
		g := NewRegistry(vm.Monotonic, nil)
		g.Update(7, tr.tree)
		g.Update(6, settings.New())
		So(g.Check(fingerprintsOf(1)), ShouldEqual, Suspect)
	})
}
