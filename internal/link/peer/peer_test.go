package peer

import (
	"context"
	"crypto/tls"
	"net"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
	"storj.io/drpc/drpcmux"

	"pearmoor/internal/link/wire"
)

const (
	testValidity = time.Hour
	testWait     = 20 * time.Second
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// controlServer answers Read with the identity of the caller. Status blocks until hold is
// closed.
type controlServer struct {
	wire.DRPCControlUnimplementedServer
	entered chan struct{}
	hold    chan struct{}
}

func (c *controlServer) Read(ctx context.Context, req *wire.ReadRequest) (*wire.ReadReply, error) {
	if req.GetVersion() == versionFromEve {
		return nil, CheckSender(ctx, "eve")
	}
	id, _ := FromContext(ctx)
	return &wire.ReadReply{Redirect: id.Kind.String() + "/" + id.Name}, nil
}

func (c *controlServer) Status(context.Context, *wire.StatusRequest) (*wire.StatusReply, error) {
	c.entered <- struct{}{}
	<-c.hold
	return &wire.StatusReply{Term: 7}, nil
}

func (c *controlServer) Audit(context.Context, *wire.AuditRequest) (*wire.AuditReply, error) {
	panic("broken handler")
}

// versionFromEve is a version in a ReadRequest for which the server checks that the sender
// is eve.
const versionFromEve = 666

type testServer struct {
	addr   string
	cancel context.CancelFunc
	done   chan error
}

func (s *testServer) stop() error {
	s.cancel()
	select {
	case err := <-s.done:
		return err
	case <-time.After(testWait):
		return context.DeadlineExceeded
	}
}

func startServer(t testing.TB, c *controlServer, conf *tls.Config) *testServer {
	t.Helper()
	return startServerAt(t, "127.0.0.1:0", c, conf)
}

func startServerAt(t testing.TB, addr string, c *controlServer, conf *tls.Config) *testServer {
	t.Helper()
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	mux := drpcmux.New()
	if err := wire.DRPCRegisterControl(mux, c); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &testServer{addr: lis.Addr().String(), cancel: cancel, done: make(chan error, 1)}
	go func() { s.done <- Serve(ctx, lis, mux, conf) }()
	return s
}

func filePaths(dir, name string) Files {
	return Files{
		CA:   filepath.Join(dir, "ca.pem"),
		Cert: filepath.Join(dir, name+".pem"),
		Key:  filepath.Join(dir, name+".key"),
	}
}

// issueCert writes the authority's certificate and a certificate that it issues for id.
func issueCert(t testing.TB, a *Authority, dir string, id Identity) Files {
	t.Helper()
	f := filePaths(dir, id.Kind.String()+"-"+id.Name)
	if err := a.Save(f.CA, filepath.Join(dir, "ca.key")); err != nil {
		t.Fatal(err)
	}
	if err := a.Issue(id, []string{"127.0.0.1"}, testValidity, f.Cert, f.Key); err != nil {
		t.Fatal(err)
	}
	return f
}

func loadFiles(t testing.TB, f Files) *Reloader {
	t.Helper()
	r, err := f.Load()
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func newTestAuthority(t testing.TB) *Authority {
	t.Helper()
	a, err := NewAuthority(testValidity)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func readIdentity(pool *Pool, addr string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	defer cancel()
	conn, err := pool.Conn(ctx, addr)
	if err != nil {
		return "", err
	}
	reply, err := wire.NewDRPCControlClient(conn).Read(ctx, &wire.ReadRequest{})
	if err != nil {
		return "", err
	}
	return reply.Redirect, nil
}

func TestCertificateIdentity(t *testing.T) {
	Convey("With an authority and a server of VM c1", t, func() {
		dir, a := t.TempDir(), newTestAuthority(t)
		server := startServer(t, &controlServer{}, loadFiles(t, issueCert(t, a, dir, Identity{Name: "c1", Kind: VM})).ServerConfig())
		defer func() { So(server.stop(), ShouldBeNil) }()

		Convey("an operator's calls carry the name in its certificate", func() {
			pool := NewPool(loadFiles(t, issueCert(t, a, dir, Identity{Name: "asha", Kind: Operator})).ClientConfig())
			defer pool.Close()
			who, err := readIdentity(pool, server.addr)
			So(err, ShouldBeNil)
			So(who, ShouldEqual, "operator/asha")

			conn, err := pool.Conn(context.Background(), server.addr)
			So(err, ShouldBeNil)
			_, err = wire.NewDRPCControlClient(conn).Read(context.Background(), &wire.ReadRequest{Version: versionFromEve})
			So(IsPermanent(err), ShouldBeTrue) // the claimed name differs from the certificate's
			So(err.Error(), ShouldContainSubstring, `says it is from "eve"`)
		})

		// An attacker with the certificate of an entry VM tries to edit the settings tree.
		// The handshake succeeds, since the VM is known, and without a check of the kind
		// the change would be accepted under the VM's name.
		Convey("a VM's certificate may not be used for an operator's calls", func() {
			pool := NewPool(loadFiles(t, issueCert(t, a, dir, Identity{Name: "e1", Kind: VM})).ClientConfig())
			defer pool.Close()
			_, err := readIdentity(pool, server.addr)
			So(err, ShouldNotBeNil)
			So(IsDenied(err), ShouldBeTrue)
			So(err.Error(), ShouldContainSubstring, `"e1" is of kind vm`)
		})

		Convey("a client of another authority is refused by both sides", func() {
			other := t.TempDir()
			files := issueCert(t, newTestAuthority(t), other, Identity{Name: "asha", Kind: Operator})
			pool := NewPool(loadFiles(t, files).ClientConfig())
			defer pool.Close()
			_, err := readIdentity(pool, server.addr)
			So(NotSent(err), ShouldBeTrue)
			So(err.Error(), ShouldContainSubstring, "unknown authority")

			files.CA = filepath.Join(dir, "ca.pem") // the client trusts the server, the server does not trust the client
			pool2 := NewPool(loadFiles(t, files).ClientConfig())
			defer pool2.Close()
			_, err = readIdentity(pool2, server.addr)
			So(err, ShouldNotBeNil)
		})
	})

	// The client verifies servers itself, so that a replaced authority takes effect at
	// once. Certificates that crypto/tls would reject must still be rejected.
	Convey("A server is refused whose certificate", t, func() {
		cases := []struct {
			name     string
			id       Identity
			host     string
			validity time.Duration
			why      string
		}{
			{"is for another address", Identity{Name: "c1", Kind: VM}, "127.0.0.9", testValidity, "127.0.0.9, not 127.0.0.1"},
			{"has expired", Identity{Name: "c1", Kind: VM}, "127.0.0.1", -time.Minute, "expired"},
		}
		for _, bad := range cases {
			Convey(bad.name, func() {
				dir, a := t.TempDir(), newTestAuthority(t)
				files := issueCert(t, a, dir, bad.id)
				So(a.Issue(bad.id, []string{bad.host}, bad.validity, files.Cert, files.Key), ShouldBeNil)
				server := startServer(t, &controlServer{}, loadFiles(t, files).ServerConfig())
				defer func() { So(server.stop(), ShouldBeNil) }()
				pool := NewPool(loadFiles(t, issueCert(t, a, dir, Identity{Name: "asha", Kind: Operator})).ClientConfig())
				defer pool.Close()
				_, err := readIdentity(pool, server.addr)
				So(NotSent(err), ShouldBeTrue)
				So(err.Error(), ShouldContainSubstring, bad.why)
			})
		}
	})

	Convey("A server with an operator's certificate is refused", t, func() {
		dir, a := t.TempDir(), newTestAuthority(t)
		r := loadFiles(t, issueCert(t, a, dir, Identity{Name: "asha", Kind: Operator}))
		server := startServer(t, &controlServer{}, r.ServerConfig())
		defer func() { So(server.stop(), ShouldBeNil) }()
		pool := NewPool(r.ClientConfig())
		defer pool.Close()
		_, err := readIdentity(pool, server.addr)
		So(NotSent(err), ShouldBeTrue)
	})
}

// Guards against certificates that take effect only after a restart. The authority is
// replaced while daemons run. New connections fail while the client trusts only the old
// authority; once the client's files are replaced, the next handshake must read them.
func TestReplacedFilesAreReloaded(t *testing.T) {
	Convey("Replaced files are used by the next handshake", t, func() {
		serverDir, clientDir, old := t.TempDir(), t.TempDir(), newTestAuthority(t)
		c1, asha := Identity{Name: "c1", Kind: VM}, Identity{Name: "asha", Kind: Operator}
		serverFiles := loadFiles(t, issueCert(t, old, serverDir, c1))
		clientFiles := loadFiles(t, issueCert(t, old, clientDir, asha))
		server := startServer(t, &controlServer{}, serverFiles.ServerConfig())
		defer func() { So(server.stop(), ShouldBeNil) }()
		conf := clientFiles.ClientConfig()
		call := func() error {
			pool := NewPool(conf)
			defer pool.Close()
			_, err := readIdentity(pool, server.addr)
			return err
		}
		So(call(), ShouldBeNil)

		fresh := newTestAuthority(t)
		issueCert(t, fresh, serverDir, c1)
		So(NotSent(call()), ShouldBeTrue)

		issueCert(t, fresh, clientDir, asha)
		So(call(), ShouldBeNil)
	})

	Convey("A key that does not match its certificate leaves the previous pair in use", t, func() {
		dir, a := t.TempDir(), newTestAuthority(t)
		files := issueCert(t, a, dir, Identity{Name: "c1", Kind: VM})
		r := loadFiles(t, files)
		before := r.get()
		So(a.Issue(Identity{Name: "c1", Kind: VM}, nil, testValidity, filepath.Join(dir, "x.pem"), files.Key), ShouldBeNil)
		So(r.get(), ShouldEqual, before)
	})
}

// Guards against calls that are cut off by a planned stop. Serve must not return, and must
// not close the connection of a call in flight, before the call has been answered.
func TestServeAnswersCallsInFlightBeforeReturning(t *testing.T) {
	Convey("Serve answers the call in flight before it returns", t, func() {
		c := &controlServer{entered: make(chan struct{}), hold: make(chan struct{})}
		server := startServer(t, c, nil)
		pool := NewPool(nil)
		defer pool.Close()
		type outcome struct {
			reply *wire.StatusReply
			err   error
		}
		got := make(chan outcome, 1)
		go func() {
			conn, _ := pool.Conn(context.Background(), server.addr)
			reply, err := wire.NewDRPCControlClient(conn).Status(context.Background(), &wire.StatusRequest{})
			got <- outcome{reply, err}
		}()
		<-c.entered
		server.cancel()
		select {
		case <-server.done:
			t.Fatal("Serve returned with a call in flight")
		case <-time.After(2 * drainGrace):
		}
		_, err := readIdentity(NewPool(nil), server.addr)
		So(NotSent(err), ShouldBeTrue) // the server no longer accepts connections
		close(c.hold)
		out := <-got
		So(out.err, ShouldBeNil)
		So(out.reply.Term, ShouldEqual, 7)
		So(<-server.done, ShouldBeNil)
	})
}

func TestPlainText(t *testing.T) {
	Convey("Plain text", t, func() {
		Convey("is refused on addresses that other machines reach", func() {
			lis, err := net.Listen("tcp", "0.0.0.0:0")
			So(err, ShouldBeNil)
			So(Serve(context.Background(), lis, drpcmux.New(), nil), ShouldNotBeNil)
			_, err = readIdentity(NewPool(nil), "192.0.2.1:7000")
			So(NotSent(err), ShouldBeTrue)
			So(err.Error(), ShouldContainSubstring, "plain text is refused")
		})

		Convey("carries the operator's name from the metadata", func() {
			server := startServer(t, &controlServer{}, nil)
			defer func() { So(server.stop(), ShouldBeNil) }()
			pool := NewPool(nil)
			defer pool.Close()
			conn, err := pool.Conn(context.Background(), server.addr)
			So(err, ShouldBeNil)
			reply, err := wire.NewDRPCControlClient(conn).Read(WithOperator(context.Background(), "ravi"), &wire.ReadRequest{})
			So(err, ShouldBeNil)
			So(reply.Redirect, ShouldEqual, "operator/ravi")
		})

		Convey("answers a panic with an error and keeps serving", func() {
			server := startServer(t, &controlServer{}, nil)
			defer func() { So(server.stop(), ShouldBeNil) }()
			pool := NewPool(nil)
			defer pool.Close()
			conn, err := pool.Conn(context.Background(), server.addr)
			So(err, ShouldBeNil)
			_, err = wire.NewDRPCControlClient(conn).Audit(context.Background(), &wire.AuditRequest{})
			So(err, ShouldNotBeNil)
			_, err = readIdentity(pool, server.addr)
			So(err, ShouldBeNil)
		})
	})
}

// manualDeadline is a context whose deadline passes when the test closes passed.
type manualDeadline struct {
	context.Context
	passed chan struct{}
}

func (m *manualDeadline) Done() <-chan struct{} { return m.passed }

func (m *manualDeadline) Err() error {
	select {
	case <-m.passed:
		return context.DeadlineExceeded
	default:
		return nil
	}
}

// Guards against reuse of a silent connection. The other side accepts a call and never
// answers, as after a silent network cut. The call must end at its deadline without the
// claim that it was not sent, and its connection must not be reused.
func TestSilentConnectionIsNotReused(t *testing.T) {
	Convey("A call on a silent connection ends at its deadline, and the next call dials again", t, func() {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer lis.Close()
		pool := NewPool(nil)
		defer pool.Close()
		conn, err := pool.Conn(context.Background(), lis.Addr().String())
		So(err, ShouldBeNil)
		for range 2 { // two calls, two connections
			ctx := &manualDeadline{Context: context.Background(), passed: make(chan struct{})}
			failed := make(chan error, 1)
			go func() {
				_, err := wire.NewDRPCControlClient(conn).Read(ctx, &wire.ReadRequest{})
				failed <- err
			}()
			silent, err := lis.Accept()
			So(err, ShouldBeNil)
			_, err = silent.Read(make([]byte, 1)) // the call has arrived
			So(err, ShouldBeNil)
			close(ctx.passed)
			err = <-failed
			So(err, ShouldNotBeNil)
			So(NotSent(err), ShouldBeFalse)
			So(silent.Close(), ShouldBeNil)
		}
	})
}
