package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"pearmoor/internal/journal"
	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/quorum/quorumpb"
	"pearmoor/internal/vm"
)

// Seat is a VM's place in a control group that keeps itself whole: it founds the
// group with the others that were named, joins one when its data folder is empty,
// and joins anew when the group has let it go.
type Seat struct {
	cfg  SeatConfig
	node atomic.Pointer[Node]
}

// SeatConfig is what a Seat needs. Config.ID, Bootstrap and Voters are the seat's
// to fill in.
type SeatConfig struct {
	Config
	// Found is true when the whole tier starts for the first time.
	Found bool
	// Founders returns the peer addresses of the group's founders, the same on each,
	// once they are known.
	Founders func(ctx context.Context) []string
	// Contacts returns peer addresses where the group may be found, best first.
	Contacts func() []string
	// OnNode is called when the seat has another node, nil for none. What the
	// node serves is its caller's to offer and to take back.
	OnNode func(*Node)
}

const (
	joinRetry    = 200 * time.Millisecond
	joinTimeout  = time.Second
	refusalCheck = 200 * time.Millisecond
	// refusalAfter is how long the group must have refused this VM before it
	// gives its disk up: one refusal may be of a message sent under an older group.
	refusalAfter = time.Second
)

// NewSeat returns a seat that does nothing until Run.
func NewSeat(cfg SeatConfig) *Seat {
	cfg.Config = cfg.Config.withDefaults()
	return &Seat{cfg: cfg}
}

// Node returns the node in the seat, nil while there is none.
func (s *Seat) Node() *Node { return s.node.Load() }

// Run keeps the seat until ctx ends. An error means that the process must end.
func (s *Seat) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		cfg, err := s.prepare(ctx)
		if err != nil {
			return err
		}
		if cfg == nil {
			return nil // ctx ended
		}
		if err := s.sit(ctx, *cfg); err != nil {
			return err
		}
	}
	return nil
}

// sit runs a node until ctx ends or the group has refused it for long.
func (s *Seat) sit(ctx context.Context, cfg Config) error {
	node, err := Open(cfg)
	if err != nil {
		return err
	}
	klog.Infof("control: member %d opens with version %d, commit %d", cfg.ID, node.state.Version(), node.lead.Load().status.Commit)
	s.node.Store(node)
	s.cfg.OnNode(node)
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- node.Run(inner) }()
	refused := s.watch(inner, node, done)
	if refused {
		klog.Warningf("control: the group has let member %d go; its data folder is given up and the VM joins anew", cfg.ID)
		cancel()
	}
	err = <-done
	s.node.Store(nil)
	s.cfg.OnNode(nil)
	if err == nil && refused {
		err = s.clear()
	}
	return err
}

// watch returns true when the group has refused the node for refusalAfter, and
// false when ctx or the node has ended.
func (s *Seat) watch(ctx context.Context, node *Node, done chan error) bool {
	ticker := time.NewTicker(refusalCheck)
	defer ticker.Stop()
	var since vm.Instant
	for {
		select {
		case <-ctx.Done():
			return false
		case err := <-done:
			done <- err
			return false
		case <-ticker.C:
		}
		now := s.cfg.Clock()
		switch {
		case node.lead.Load().status.Refused == quorumpb.Refusal_NONE:
			since = 0
		case since == 0:
			since = now
		case now.Sub(since) >= refusalAfter:
			return true
		}
	}
}

// prepare returns the node's configuration: of the disk's own identity, else of a
// founder, else of one that has just joined. It is nil when ctx has ended.
func (s *Seat) prepare(ctx context.Context) (*Config, error) {
	id, err := journal.ReadIdentity(s.cfg.FS, s.cfg.DataDir)
	if err != nil {
		return nil, err
	}
	cfg := s.cfg.Config
	var founders []string
	if s.cfg.Found && (id == nil || !s.holdsLog()) {
		founders = s.cfg.Founders(ctx)
	}
	at := slices.Index(founders, cfg.PeerAddr)
	if at >= 0 {
		cfg.Bootstrap, cfg.Voters = true, make(map[uint64]string)
		for i, addr := range founders {
			cfg.Voters[uint64(i+1)] = addr
		}
	}
	if id != nil {
		cfg.ID = id.Id
		cfg.Bootstrap = cfg.Bootstrap && id.Id == uint64(at+1)
		return &cfg, nil
	}
	// Without an identity nothing on this disk was ever promised to anybody, or
	// its removal was broken off by a loss of power.
	if err := s.clear(); err != nil {
		return nil, err
	}
	if cfg.Bootstrap {
		cfg.ID = uint64(at + 1)
		klog.Infof("control: founds the group as member %d of %v", cfg.ID, founders)
		return &cfg, nil
	}
	return s.join(ctx, cfg)
}

// holdsLog reports whether the data folder holds more than its identity: then the
// group was founded already, and who founds it is not asked again.
func (s *Seat) holdsLog() bool {
	names, err := s.cfg.FS.ReadDir(s.cfg.DataDir)
	return err == nil && slices.ContainsFunc(names, journal.IsLog)
}

// join asks for a place in the group until it is given one.
func (s *Seat) join(ctx context.Context, cfg Config) (*Config, error) {
	disk := rand.Uint64() | 1
	for ctx.Err() == nil {
		id := s.ask(ctx, disk)
		if id == 0 {
			vm.Sleep(ctx, joinRetry/2+rand.N(joinRetry))
			continue
		}
		ident := &wire.DiskIdentity{Disk: disk, Id: id, Name: cfg.Name}
		if err := journal.WriteIdentity(cfg.FS, cfg.DataDir, ident); errors.Is(err, journal.ErrFull) {
			klog.Warningf("control: the disk is full, the VM can't join yet")
			vm.Sleep(ctx, joinTimeout)
			continue
		} else if err != nil {
			return nil, err
		}
		cfg.ID = id
		return &cfg, nil
	}
	return nil, nil
}

// ask asks the contacts in turn, following redirects; 0 means that none could.
func (s *Seat) ask(ctx context.Context, disk uint64) uint64 {
	id := uint64(0)
	others := slices.DeleteFunc(slices.Clone(s.cfg.Contacts()), func(a string) bool { return a == s.cfg.PeerAddr })
	peer.Walk(ctx, others, func(addr string) (string, bool) {
		reply, err := s.askOne(ctx, addr, disk)
		if err != nil {
			klog.V(1).Infof("control: %s does not let this VM join: %v", addr, err)
			return "", false
		}
		id = reply.Id
		return reply.Redirect, id != 0
	})
	return id
}

func (s *Seat) askOne(ctx context.Context, addr string, disk uint64) (*wire.JoinReply, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	conn, err := s.cfg.Conns.Conn(ctx, addr)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	return wire.NewDRPCQuorumClient(conn).Join(ctx, &wire.JoinRequest{Name: s.cfg.Name, PeerAddr: s.cfg.PeerAddr, Disk: disk})
}

// clear empties the data folder, the identity last: while that is there, what is
// left of the log still stands under the id it was written for.
func (s *Seat) clear() error {
	fs, dir := s.cfg.FS, s.cfg.DataDir
	if err := fs.MkdirAll(dir); err != nil {
		return errors.Wrap(err, "control: data folder")
	}
	names, err := fs.ReadDir(dir)
	if err != nil {
		return errors.Wrap(err, "control: data folder")
	}
	slices.SortStableFunc(names, func(a, b string) int {
		return rank(a) - rank(b)
	})
	for i, name := range names {
		if rank(name) == 1 && i > 0 {
			if err := fs.SyncDir(dir); err != nil {
				return errors.Wrap(err, "control: data folder")
			}
		}
		if err := fs.Remove(filepath.Join(dir, name)); err != nil {
			return errors.Wrap(err, fmt.Sprintf("control: remove %s", name))
		}
	}
	return errors.Wrap(fs.SyncDir(dir), "control: data folder")
}

func rank(name string) int {
	if name == journal.IdentityName {
		return 1
	}
	return 0
}

// Leads reports whether this VM is the leader beyond doubt.
func (n *Node) Leads() bool { return n.lead.Load().confirmed(n.cfg.Clock()) }

// Quiet returns the names of the members of the tier that the leader has not heard
// for that long; none on any other VM. One that is let go stays among them until every
// daemon knows the membership without it: a daemon that is cut off before it does goes
// on telling callers of the members it knows, and of who of them is silent.
func (n *Node) Quiet(after time.Duration) []string {
	if !n.Leads() {
		return nil
	}
	v := n.view()
	return n.table.Quiet(n.cfg.Clock(), after, v.settled, v.pending)
}

// Group returns the peer addresses of the control group, the leader's first.
func (n *Node) Group() []string {
	l := n.lead.Load()
	out := l.controlAddrs()
	if at := slices.Index(out, l.addr); at > 0 {
		out[0], out[at] = out[at], out[0]
	}
	return out
}
