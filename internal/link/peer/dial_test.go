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

// fullListener listens on loopback and takes nothing from its queue, which one
// connection fills: the opening packets of further ones are dropped, as they are on
// their way to a VM that is only starting.
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

// A daemon asks a VM that is still starting. The opening packet of its connection
// is lost, and the kernel sends it again only after a second, though the VM is up a
// moment later: without a second connection the daemon is a second late.
func TestDialWhileTheOtherSideStarts(t *testing.T) {
	Convey("Given a VM that drops the first opening packet and is up after 100 ms", t, func() {
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

		Convey("a call is connected before the kernel repeats the packet", func() {
			So(time.Since(began), ShouldBeLessThan, 700*time.Millisecond)
		})
	})
}
