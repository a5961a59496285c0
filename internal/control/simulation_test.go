package control

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"pearmoor/internal/journal"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/vm"
)

// memFS is a file system in memory. The process that uses it can be killed at any time:
// fork returns what it has written so far.
type memFS struct {
	mu    sync.Mutex
	files map[string][]byte
}

func newMemFS() *memFS { return &memFS{files: make(map[string][]byte)} }

func (f *memFS) fork() *memFS {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := newMemFS()
	for name, b := range f.files {
		out.files[name] = slices.Clone(b)
	}
	return out
}

func (f *memFS) MkdirAll(string) error { return nil }

func (f *memFS) ReadDir(dir string) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for name := range f.files {
		if filepath.Dir(name) == dir {
			out = append(out, filepath.Base(name))
		}
	}
	slices.Sort(out)
	return out, nil
}

func (f *memFS) ReadFile(path string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b, ok := f.files[path]
	if !ok {
		return nil, os.ErrNotExist
	}
	return slices.Clone(b), nil
}

func (f *memFS) Create(path string) (journal.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.files[path] = nil
	return &memFile{fs: f, path: path}, nil
}

func (f *memFS) Append(path string, size int64) (journal.File, error) {
	file := &memFile{fs: f, path: path}
	return file, file.Truncate(size)
}

func (f *memFS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.files[to] = f.files[from]
	delete(f.files, from)
	return nil
}

func (f *memFS) Remove(path string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.files, path)
	return nil
}

func (f *memFS) SyncDir(string) error           { return nil }
func (f *memFS) Free(string) (uint64, error)    { return 1 << 40, nil }
func (f *memFS) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

type memFile struct {
	fs   *memFS
	path string
}

func (m *memFile) Write(b []byte) (int, error) {
	m.fs.mu.Lock()
	defer m.fs.mu.Unlock()
	m.fs.files[m.path] = append(m.fs.files[m.path], b...)
	return len(b), nil
}

func (m *memFile) Truncate(size int64) error {
	m.fs.mu.Lock()
	defer m.fs.mu.Unlock()
	b := m.fs.files[m.path]
	if int(size) > len(b) {
		return errors.Newf("%s is shorter than %d", m.path, size)
	}
	m.fs.files[m.path] = b[:size:size]
	return nil
}

func (m *memFile) Sync() error  { return nil }
func (m *memFile) Close() error { return nil }

// rpcTable is a drpc.Mux whose unary calls are made without a connection.
type rpcTable map[string]func(ctx context.Context, in any) (drpc.Message, error)

// Register implements drpc.Mux.
func (t rpcTable) Register(srv any, desc drpc.Description) error {
	for i := range desc.NumMethods() {
		if rpc, _, receiver, _, ok := desc.Method(i); ok {
			t[rpc] = func(ctx context.Context, in any) (drpc.Message, error) { return receiver(srv, ctx, in, nil) }
		}
	}
	return nil
}

// simNetwork carries unary calls between processes in virtual time. Messages are lost,
// delayed, and held back while an end is cut off; those on their way outlive their callers.
type simNetwork struct {
	mu       sync.Mutex
	rng      *rand.Rand
	servers  map[string]*simProcess
	lossRate float64
	maxDelay time.Duration
	cut      map[string]bool          // messages from and to the address are lost
	held     map[string]chan struct{} // messages from and to the address wait until it is closed
}

const simCallTimeout = 10 * time.Second // upper limit of the calls of the simulation

var errSimLost = errors.New("simulation: message lost")

func (n *simNetwork) transit(ctx context.Context, ends ...string) error {
	n.mu.Lock()
	lost, delay := n.rng.Float64() < n.lossRate, time.Duration(n.rng.Int64N(int64(n.maxDelay)))
	n.mu.Unlock()
	if !vm.Sleep(ctx, delay) {
		return ctx.Err()
	}
	for _, end := range ends {
		n.mu.Lock()
		lost = lost || n.cut[end]
		held := n.held[end]
		n.mu.Unlock()
		if held != nil {
			select {
			case <-held:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
	if lost {
		<-ctx.Done()
		return errSimLost
	}
	return nil
}

type simConns struct {
	network *simNetwork
	from    string
}

// Conn implements relay.Conns.
func (c simConns) Conn(_ context.Context, addr string) (drpc.Conn, error) {
	return simConn{simConns: c, to: addr}, nil
}

type simConn struct {
	simConns
	to string
}

func (simConn) Close() error            { return nil }
func (simConn) Closed() <-chan struct{} { return nil }
func (simConn) NewStream(context.Context, string, drpc.Encoding) (drpc.Stream, error) {
	return nil, errors.New("simulation: streams are not supported")
}

// Invoke implements drpc.Conn.
func (c simConn) Invoke(ctx context.Context, rpc string, _ drpc.Encoding, in, out drpc.Message) error {
	type result struct {
		reply drpc.Message
		err   error
	}
	done := make(chan result, 1)
	request := proto.Clone(in.(proto.Message))
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), simCallTimeout)
		defer cancel()
		reply, err := c.call(ctx, rpc, request)
		done <- result{reply, err}
	}()
	select {
	case r := <-done:
		if r.err == nil {
			proto.Merge(out.(proto.Message), r.reply.(proto.Message))
		}
		return r.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c simConn) call(ctx context.Context, rpc string, in any) (drpc.Message, error) {
	if err := c.network.transit(ctx, c.from, c.to); err != nil {
		return nil, err
	}
	c.network.mu.Lock()
	server := c.network.servers[c.to]
	c.network.mu.Unlock()
	if server == nil {
		return nil, errors.Newf("simulation: connection refused by %s", c.to)
	}
	reply, err := server.handle(ctx, rpc, in)
	if err := c.network.transit(ctx, c.to, c.from); err != nil {
		return nil, err
	}
	return reply, err
}

// simVM is a VM with a disk. Its process may be down.
type simVM struct {
	addr       string
	seeds      []string
	fs         *memFS
	process    *simProcess
	used       bool // the disk has had an identity
	firstStart bool
}

// simProcess is one run of a VM.
type simProcess struct {
	sim    *simulation
	addr   string
	fs     *memFS
	member *GroupMember
	ctx    context.Context
	cancel context.CancelFunc

	mu    sync.Mutex
	table rpcTable
	node  *Node // the latest, which may have ended
}

func (p *simProcess) handle(ctx context.Context, rpc string, in any) (drpc.Message, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(p.ctx, cancel)()
	p.mu.Lock()
	f := p.table[rpc]
	p.mu.Unlock()
	if f == nil {
		return nil, errors.Newf("simulation: %s does not serve %s", p.addr, rpc)
	}
	reply, err := f(ctx, in)
	if err != nil {
		return nil, err
	}
	return proto.Clone(reply.(proto.Message)), nil
}

// setNode offers the node's services, next to those that every process has.
func (p *simProcess) setNode(n *Node) {
	table := make(rpcTable)
	_ = wire.DRPCRegisterContacts(table, &simContacts{simProcess: p})
	if n != nil {
		_ = n.Register(table)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table = table
	if n != nil {
		p.node = n
	}
}

// simContacts answers exchanges of contacts as a VM with a disk does.
type simContacts struct {
	wire.DRPCContactsUnimplementedServer
	*simProcess
}

// Exchange implements wire.DRPCContactsServer.
func (c *simContacts) Exchange(context.Context, *wire.ContactsRequest) (*wire.ContactsReply, error) {
	reply := &wire.ContactsReply{Disk: true}
	if n := c.member.Node(); n != nil {
		reply.Group = n.GroupID().Wire()
	}
	return reply, nil
}

// founders returns the seeds of the VM, after each of them has answered, or none if one
// follows a group.
func (p *simProcess) founders(ctx context.Context, seeds []string) []string {
	answered := map[string]bool{p.addr: true}
	for ctx.Err() == nil {
		for _, addr := range seeds {
			if answered[addr] {
				continue
			}
			callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
			reply, err := wire.NewDRPCContactsClient(p.conn(addr)).Exchange(callCtx, &wire.ContactsRequest{})
			cancel()
			if err == nil && len(reply.Group) > 0 {
				return nil
			}
			answered[addr] = err == nil
		}
		if !slices.ContainsFunc(seeds, func(a string) bool { return !answered[a] }) {
			return seeds
		}
		vm.Sleep(ctx, joinRetryInterval)
	}
	return nil
}

func (p *simProcess) conn(addr string) drpc.Conn {
	return simConn{simConns: simConns{network: p.sim.network, from: p.addr}, to: addr}
}

// contacts returns the addresses that the process has learned from its last node, and the
// seeds.
func (p *simProcess) contacts() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var known []string
	if p.node != nil {
		known = p.node.GroupAddrs()
	}
	return slices.Concat(known, p.sim.seedsOf(p.addr))
}

// simulation is a tier of VMs with disks.
type simulation struct {
	rng     *rand.Rand
	start   time.Time
	network *simNetwork
	running sync.WaitGroup

	mu  sync.Mutex
	vms map[string]*simVM
	err []error // errors of group members that were not killed
}

func newSimulation(seed uint64) *simulation {
	return &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), start: time.Now(), vms: make(map[string]*simVM),
		network: &simNetwork{
			rng: rand.New(rand.NewPCG(seed, 2)), servers: make(map[string]*simProcess), maxDelay: time.Millisecond,
			cut: make(map[string]bool), held: make(map[string]chan struct{}),
		},
	}
}

// clock starts at one second, as instant 0 means never.
func (s *simulation) clock() vm.Instant { return vm.Instant(time.Second + time.Since(s.start)) }

func (s *simulation) seedsOf(addr string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(slices.Values(s.vms[addr].seeds))
}

func (s *simulation) setSeeds(addr string, seeds []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms[addr].seeds = slices.Clone(seeds)
}

func (s *simulation) addrs() []string { return slices.Sorted(maps.Keys(s.vms)) }

// addVM adds a VM with an empty disk, which is not started.
func (s *simulation) addVM(addr string, seeds []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms[addr] = &simVM{addr: addr, seeds: seeds, fs: newMemFS(), firstStart: true}
}

const (
	simRemoveSilentAfter = 3 * time.Second
	simDataDir           = "/data"
)

func (s *simulation) startVM(addr string) {
	v := s.vms[addr]
	p := &simProcess{sim: s, addr: addr, fs: v.fs}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.member = NewGroupMember(GroupMemberConfig{
		Config: Config{
			Name: "vm-" + addr, DataDir: simDataDir, PeerAddr: addr, FS: v.fs, Clock: s.clock,
			Conns: simConns{network: s.network, from: addr}, SnapshotEntries: 10,
			Maintenance: MaintenanceConfig{MinVoters: 3, RemoveSilentAfter: simRemoveSilentAfter},
		},
		FirstStart: v.firstStart, Seeds: func() []string { return s.seedsOf(addr) }, Founders: p.founders, Contacts: p.contacts, OnNodeChange: p.setNode,
	})
	p.setNode(nil)
	v.process = p
	s.network.mu.Lock()
	s.network.servers[addr] = p
	s.network.mu.Unlock()
	s.running.Go(func() {
		if err := p.member.Run(p.ctx); err != nil && p.ctx.Err() == nil {
			s.mu.Lock()
			s.err = append(s.err, errors.Wrapf(err, "%s", addr))
			s.mu.Unlock()
		}
	})
}

// killVM ends the process of a VM at once. What it writes from now on is lost.
func (s *simulation) killVM(addr string) {
	v := s.vms[addr]
	if v.process == nil {
		return
	}
	v.fs = v.fs.fork()
	id, _ := journal.ReadIdentity(v.fs, simDataDir)
	v.used = v.used || id != nil
	s.network.mu.Lock()
	delete(s.network.servers, addr)
	s.network.mu.Unlock()
	v.process.cancel()
	v.process = nil
}

// leader returns a node that leads and can't have been replaced, or nil.
func (s *simulation) leader() *Node {
	for _, addr := range s.addrs() {
		if p := s.vms[addr].process; p != nil {
			if n := p.member.Node(); n != nil && n.IsLeader() {
				return n
			}
		}
	}
	return nil
}

// isolate cuts a VM off. Its messages are lost, or held back until the VM is healed.
func (s *simulation) isolate(addr string, hold bool) {
	s.network.mu.Lock()
	defer s.network.mu.Unlock()
	if hold && s.network.held[addr] == nil {
		s.network.held[addr] = make(chan struct{})
	}
	s.network.cut[addr] = !hold
}

func (s *simulation) heal(addr string) {
	s.network.mu.Lock()
	defer s.network.mu.Unlock()
	delete(s.network.cut, addr)
	if ch := s.network.held[addr]; ch != nil {
		close(ch)
		delete(s.network.held, addr)
	}
}

func (s *simulation) setQuality(lossRate float64, maxDelay time.Duration) {
	s.network.mu.Lock()
	defer s.network.mu.Unlock()
	s.network.lossRate, s.network.maxDelay = lossRate, maxDelay
}

func (s *simulation) stop() {
	for _, addr := range s.addrs() {
		s.heal(addr)
		s.killVM(addr)
	}
	s.running.Wait()
	time.Sleep(2 * simCallTimeout)
}

// simAddr returns the address of the i-th VM.
func simAddr(i int) string { return fmt.Sprintf("vm-%d:1", i) }
