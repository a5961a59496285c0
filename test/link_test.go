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

// network forwards the connections between daemons, and can hold back silently
// what one daemon sends or is sent: connections stay open, nothing arrives.
type network struct {
	mu      sync.Mutex
	changed *sync.Cond
	deaf    map[*process]bool // nothing reaches it
	mute    map[*process]bool // nothing that it sends arrives
	members []*process
	conns   map[net.Conn]bool
	lis     []net.Listener
	closed  bool
	done    sync.WaitGroup
}

func newNetwork(t *testing.T) *network {
	n := &network{deaf: map[*process]bool{}, mute: map[*process]bool{}, conns: map[net.Conn]bool{}}
	n.changed = sync.NewCond(&n.mu)
	t.Cleanup(n.close)
	return n
}

// join puts a forwarding address before p, which listens on p.bound.
func (n *network) join(t *testing.T, p *process) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.peer = lis.Addr().String()
	n.mu.Lock()
	n.members = append(n.members, p)
	n.lis = append(n.lis, lis)
	n.mu.Unlock()
	n.done.Go(func() { n.accept(lis, p) })
}

// cut holds back what p is sent and sends, as chosen; heal lets it through.
func (n *network) cut(p *process, deaf, mute bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.deaf[p], n.mute[p] = deaf, mute
	n.changed.Broadcast()
}

func (n *network) heal(p *process) { n.cut(p, false, false) }

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
	defer n.drop(in)
	from := n.owner(in.RemoteAddr().String())
	if !n.pass(from, to) {
		return
	}
	out, err := net.Dial("tcp", to.bound)
	if err != nil || !n.track(out) {
		return
	}
	defer n.drop(out)
	var both sync.WaitGroup
	both.Go(func() { n.copy(out, in, from, to) })
	both.Go(func() { n.copy(in, out, to, from) })
	both.Wait()
}

// copy moves bytes that source sends to sink until either end closes.
func (n *network) copy(dst, src net.Conn, source, sink *process) {
	defer dst.Close()
	buf := make([]byte, 32<<10)
	for {
		k, err := src.Read(buf)
		if k > 0 {
			if !n.pass(source, sink) {
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

// pass waits until bytes go from source to sink; false when the network closes.
func (n *network) pass(source, sink *process) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for !n.closed && (n.mute[source] || n.deaf[sink]) {
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

func (n *network) drop(c net.Conn) {
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

// owner returns the daemon that holds the local end addr of a connection, nil
// for a caller or operator.
func (n *network) owner(addr string) *process {
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

// socketInode looks up the inode of the IPv4 TCP socket with a local address.
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
