package cli

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"storj.io/drpc/drpcmux"

	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/wire"
)

// slowControl is a control VM that accepts every change. It reports entry-3 as
// unconfirmed until the confirmAt-th InForce call.
type slowControl struct {
	wire.DRPCControlUnimplementedServer
	confirmAt    int32
	inForceCalls atomic.Int32
}

func (s *slowControl) Read(context.Context, *wire.ReadRequest) (*wire.ReadReply, error) {
	return &wire.ReadReply{}, nil
}

func (s *slowControl) Change(context.Context, *wire.ChangeRequest) (*wire.ChangeReply, error) {
	return &wire.ChangeReply{Outcome: wire.Outcome_ACCEPTED, Version: 1}, nil
}

func (s *slowControl) InForce(context.Context, *wire.InForceRequest) (*wire.InForceReply, error) {
	if s.inForceCalls.Add(1) >= s.confirmAt {
		return &wire.InForceReply{InForce: true}, nil
	}
	return &wire.InForceReply{Unconfirmed: []string{"entry-3"}}, nil
}

func (s *slowControl) start(t *testing.T) (addr string, stop func()) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mux := drpcmux.New()
	if err := wire.DRPCRegisterControl(mux, s); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- peer.Serve(ctx, lis, mux, nil) }()
	return lis.Addr().String(), func() {
		cancel()
		<-done
	}
}

// A daemon is unreachable when a change is accepted. The tool must report that the
// change is accepted, and which daemons have not confirmed it.
func TestChangeNotYetInForce(t *testing.T) {
	Convey("A change that is not in force everywhere", t, func() {
		set := []string{"set", "/desk", "--hedge-after=20ms", "--reason=x"}
		Convey("is reported as accepted, with the daemons that have not confirmed it", func() {
			control := &slowControl{confirmAt: 1 << 30}
			addr, stop := control.start(t)
			defer stop()
			c := newFixture(t, addr)
			r := c.run(append(set, "--wait=300ms")...)
			So(r.code, ShouldEqual, ExitUnconfirmed)
			So(r.out, ShouldContainSubstring, "accepted as version 1")
			So(r.out, ShouldContainSubstring, "entry-3")
			So(r.err, ShouldContainSubstring, "will come into force")

			So(c.run(append(set, "--wait=0s")...).code, ShouldEqual, ExitOK)
		})
		Convey("is waited for", func() {
			control := &slowControl{confirmAt: 3}
			addr, stop := control.start(t)
			defer stop()
			r := newFixture(t, addr).mustRun(append(set, "--wait=20s")...)
			So(r.out, ShouldContainSubstring, "in force everywhere after")
			So(control.inForceCalls.Load(), ShouldEqual, 3)
		})
	})
}

func newFixture(t *testing.T, addr string) *controlFixture { return &controlFixture{t: t, addr: addr} }
