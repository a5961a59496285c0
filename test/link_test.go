package test

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
)

// network forwards the connections between daemons. It can hold back the inbound or
// outbound data of a daemon while its connections stay open.
type network struct {
	mu           sync.Mutex
	changed      *sync.Cond
	inboundHeld  map[*process]bool // data sent to the daemon is held back
	outboundHeld map[*process]bool // data sent by the daemon is held back
	members      []*process
	conns        map[net.Conn]bool
	lis          []net.Listener
	closed       bool
	done         sync.WaitGroup
}

func newNetwork(t *testing.T) *network {
	n := &network{inboundHeld: map[*process]bool{}, outboundHeld: map[*process]bool{}, conns: map[net.Conn]bool{}}
	n.changed = sync.NewCond(&n.mu)
	t.Cleanup(n.close)
	return n
}

// join gives p a peer address that forwards to p.peerListenAddr.
func (n *network) join(t *testing.T, p *process) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.peerAddr = lis.Addr().String()
	n.mu.Lock()
	n.members = append(n.members, p)
	n.lis = append(n.lis, lis)
	n.mu.Unlock()
	n.done.Go(func() { n.accept(lis, p) })
}

// hold sets whether the inbound and the outbound data of p is held back. release
// delivers held data.
func (n *network) hold(p *process, inbound, outbound bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inboundHeld[p], n.outboundHeld[p] = inbound, outbound
	n.changed.Broadcast()
}

func (n *network) release(p *process) { n.hold(p, false, false) }

func (n *network) accept(lis net.Listener, to *process) {
	for {
		in, err := lis.Accept()
		if err != nil {
			return
		}
		n.done.Go(func() { n.forward(in, to) })
	}
}

func (n *network) forward(in net.Conn, to *process) {
	if !n.track(in) {
		return
	}
	defer n.closeConn(in)
	from := n.processAt(in.RemoteAddr().String())
	if !n.awaitReleased(from, to) {
		return
	}
	out, err := net.Dial("tcp", to.peerListenAddr)
	if err != nil || !n.track(out) {
		return
	}
	defer n.closeConn(out)
	var both sync.WaitGroup
	both.Go(func() { n.copy(out, in, from, to) })
	both.Go(func() { n.copy(in, out, to, from) })
	both.Wait()
}

// copy forwards bytes from source to sink until either connection is closed.
func (n *network) copy(dst, src net.Conn, source, sink *process) {
	defer dst.Close()
	buf := make([]byte, 32<<10)
	for {
		k, err := src.Read(buf)
		if k > 0 {
			if !n.awaitReleased(source, sink) {
				return
			}
			if _, err := dst.Write(buf[:k]); err != nil {
				src.Close()
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// awaitReleased waits until data may pass from source to sink. It returns false if the
// network was closed.
func (n *network) awaitReleased(source, sink *process) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for !n.closed && (n.outboundHeld[source] || n.inboundHeld[sink]) {
		n.changed.Wait()
	}
	return !n.closed
}

func (n *network) track(c net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		c.Close()
		return false
	}
	n.conns[c] = true
	return true
}

func (n *network) closeConn(c net.Conn) {
	c.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

func (n *network) close() {
	n.mu.Lock()
	n.closed = true
	for _, l := range n.lis {
		l.Close()
	}
	for c := range n.conns {
		c.Close()
	}
	n.changed.Broadcast()
	n.mu.Unlock()
	n.done.Wait()
}

// processAt returns the daemon that owns the socket with local address addr, or nil for
// a caller or operator.
func (n *network) processAt(addr string) *process {
	inode := socketInode(addr)
	if inode == "" {
		return nil
	}
	n.mu.Lock()
	members := n.members
	n.mu.Unlock()
	for _, p := range members {
		if p.pid.Load() != 0 && holdsSocket(int(p.pid.Load()), inode) {
			return p
		}
	}
	return nil
}

// socketInode returns the inode of the IPv4 TCP socket with the given local address, or
// "" if there is none.
func socketInode(addr string) string {
	tcp, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil {
		return ""
	}
	ip := tcp.IP.To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port)
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer f.Close()
	const localColumn, inodeColumn = 1, 9
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		cols := strings.Fields(lines.Text())
		if len(cols) > inodeColumn && cols[localColumn] == local {
			return cols[inodeColumn]
		}
	}
	return ""
}

func holdsSocket(pid int, inode string) bool {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	d, err := os.Open(dir)
	if err != nil {
		return false
	}
	defer d.Close()
	for {
		names, err := d.Readdirnames(64)
		for _, name := range names {
			if at, _ := os.Readlink(dir + "/" + name); at == "socket:["+inode+"]" {
				return true
			}
		}
		if err != nil {
			return false
		}
	}
}
