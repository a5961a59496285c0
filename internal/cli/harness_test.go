package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmux"

	"pearmoor/internal/control"
	"pearmoor/internal/link/peer"
)

const changeRPC = "/pearmoor.wire.Control/Change"

func TestMain(m *testing.M) {
	// go-metrics has one global ticker that runs until the process exits.
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick"))
}

// linkFault is the fault that a call to the control VM meets.
type linkFault uint8

const (
	noFault     linkFault = iota
	dropRequest           // the connection breaks before the control VM handles the call
	dropReply             // the connection breaks before the reply is sent
)

// controlFixture is a control VM on a loopback port. chooseFault, if set, chooses the
// fault of each call.
type controlFixture struct {
	t    *testing.T
	addr string

	mu          sync.Mutex
	chooseFault func(rpc string) linkFault
}

func (c *controlFixture) injectFaults(choose func(rpc string) linkFault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.chooseFault = choose
}

func (c *controlFixture) faultOf(rpc string) linkFault {
	c.mu.Lock()
	choose := c.chooseFault
	c.mu.Unlock()
	if choose == nil {
		return noFault
	}
	return choose(rpc)
}

// faultHandler wraps the control VM's handler and injects faults.
type faultHandler struct {
	fixture *controlFixture
	inner   drpc.Handler
}

// HandleRPC implements drpc.Handler.
func (h faultHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	switch h.fixture.faultOf(rpc) {
	case dropRequest:
		closeTransport(stream)
		return nil
	case dropReply:
		return h.inner.HandleRPC(&replyDropper{stream}, rpc)
	}
	return h.inner.HandleRPC(stream, rpc)
}

// replyDropper closes the connection before the reply is sent.
type replyDropper struct{ drpc.Stream }

// MsgSend implements drpc.Stream.
func (s *replyDropper) MsgSend(msg drpc.Message, enc drpc.Encoding) error {
	closeTransport(s.Stream)
	return s.Stream.MsgSend(msg, enc)
}

func closeTransport(stream drpc.Stream) {
	if tr, ok := drpcctx.Transport(stream.Context()); ok {
		_ = tr.Close()
	}
}

func startControl(t *testing.T) *controlFixture {
	t.Helper()
	return startControlVM(t, nil)
}

// startControlVM starts control VM 1 of a group whose other voters are not started.
func startControlVM(t *testing.T, others map[uint64]string) *controlFixture {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	pool := peer.NewPool(nil)
	conf := control.Config{
		ID: 1, Name: "c1", DataDir: t.TempDir(), PeerAddr: lis.Addr().String(), Bootstrap: true,
		Conns: pool, Tick: 10 * time.Millisecond,
	}
	if len(others) > 0 {
		conf.Voters = map[uint64]string{1: conf.PeerAddr}
		maps.Copy(conf.Voters, others)
	}
	n, err := control.Open(conf)
	if err != nil {
		t.Fatal(err)
	}
	mux := drpcmux.New()
	if err := n.Register(mux); err != nil {
		t.Fatal(err)
	}
	c := &controlFixture{t: t, addr: lis.Addr().String()}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = n.Run(ctx) })
	done.Go(func() { _ = peer.Serve(ctx, lis, faultHandler{fixture: c, inner: mux}, nil) })
	t.Cleanup(func() {
		cancel()
		done.Wait()
		_ = pool.Close()
	})
	return c
}

// toolResult is the exit code and the output of one run of the tool.
type toolResult struct {
	code     int
	out, err string
}

func (r toolResult) decode(t *testing.T, dst any) {
	t.Helper()
	if err := json.Unmarshal([]byte(r.out), dst); err != nil {
		t.Fatalf("decode output: %v; output %q, error output %q", err, r.out, r.err)
	}
}

// run runs the tool as operator asha unless args set --operator-name.
func (c *controlFixture) run(args ...string) toolResult {
	return c.runWithInput(nil, append([]string{"--control=" + c.addr}, args...)...)
}

func (c *controlFixture) runWithInput(in []byte, args ...string) toolResult {
	var out, errOut bytes.Buffer
	if !strings.Contains(strings.Join(args, " "), "--operator-name") {
		args = append([]string{"--operator-name=asha"}, args...)
	}
	args = append([]string{"--plaintext-peers"}, args...)
	code := Run(context.Background(), args, bytes.NewReader(in), &out, &errOut, "test")
	return toolResult{code: code, out: out.String(), err: errOut.String()}
}

// mustRun runs the tool and fails the test unless it succeeds.
func (c *controlFixture) mustRun(args ...string) toolResult {
	c.t.Helper()
	r := c.run(args...)
	if r.code != ExitOK {
		c.t.Fatalf("pearmoor %v: exit %d: %s%s", args, r.code, r.out, r.err)
	}
	return r
}
