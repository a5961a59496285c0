package peer

import (
	"context"
	"net"
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"
)

// fullListener returns a loopback listener with a full accept queue and the connection
// that fills it. The SYNs of further connections are dropped, like those to a VM that is
// still starting.
func fullListener(t *testing.T) (net.Listener, net.Conn) {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	So(err, ShouldBeNil)
	So(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), ShouldBeNil)
	So(unix.Listen(fd, 0), ShouldBeNil)
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	lis, err := net.FileListener(file)
	So(err, ShouldBeNil)
	first, err := net.Dial("tcp", lis.Addr().String())
	So(err, ShouldBeNil)
	return lis, first
}

// Guards against dials that take a second longer than needed. The SYN to a VM that is
// still starting is lost, and the kernel retransmits it only after a second, even if the
// VM is up a moment later. A second parallel connect avoids the delay.
func TestDialSucceedsWhileOtherSideStarts(t *testing.T) {
	Convey("Given a VM that drops the first SYN and is up after 100 ms", t, func() {
		lis, first := fullListener(t)
		defer lis.Close()
		defer first.Close()
		time.AfterFunc(100*time.Millisecond, func() {
			for {
				if _, err := lis.Accept(); err != nil {
					return
				}
			}
		})
		began := time.Now()
		conn, err := dial(context.Background(), lis.Addr().String(), nil, true)
		So(err, ShouldBeNil)
		defer conn.Close()

		Convey("dial connects before the kernel retransmits the SYN", func() {
			So(time.Since(began), ShouldBeLessThan, 700*time.Millisecond)
		})
	})
}
