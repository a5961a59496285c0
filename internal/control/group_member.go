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
	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"pearmoor/internal/journal"
	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/quorum/quorumpb"
	"pearmoor/internal/relay"
	"pearmoor/internal/vm"
)

// GroupMember keeps a VM a member of the control group without an operator. It founds the
// group together with the other founders, joins an existing group if the data folder is
// empty, and joins again with an empty data folder after the group has removed the VM.
//
// A disk takes part in at most one founding. Once it has belonged to a group, its identity
// names that group, also after the group has removed the VM, and the VM joins no other one.
type GroupMember struct {
	cfg   GroupMemberConfig
	guard *relay.GroupGuard
	node  atomic.Pointer[Node]

	// The following fields are used by Run only.
	group      vm.GroupID // the last group that this VM was a member of
	left       bool       // a node of this process was removed from its group
	firstSeeds []string   // the seeds at the first start, if the disk was used then
	founders   []string   // as named by the last founder that offered this VM its former place
}

// GroupMemberConfig configures a GroupMember, which sets Config.ID, Config.Bootstrap and
// Config.Voters itself.
type GroupMemberConfig struct {
	Config
	// FirstStart is true when the whole tier starts for the first time. Only a disk that was
	// in use then may found the group, also in a later process, and only before this VM has
	// been a member.
	FirstStart bool
	// Seeds returns the peer addresses of the VMs that this VM is told of.
	Seeds func() []string
	// Founders waits until it is known which of the seeds found the group and returns them.
	// The result must be identical on every founder. It is empty if a group exists already.
	Founders func(ctx context.Context, seeds []string) []string
	// Contacts returns peer addresses of VMs to ask for admission to the group, in
	// order of preference.
	Contacts func() []string
	// Followed returns the control group whose state this VM's daemon uses, or the zero
	// value while none is known. A VM with an unused disk joins no other one. It may be nil.
	Followed func() vm.GroupID
	// OnNodeChange is called with each new node, and with nil after the node has
	// stopped. It is responsible for registering the node's RPC services and for
	// removing them.
	OnNodeChange func(*Node)
}

const (
	joinRetryInterval    = 200 * time.Millisecond
	joinTimeout          = time.Second
	refusalCheckInterval = 200 * time.Millisecond
	// fullDiskRetryInterval is the pause after an attempt to use a disk that is full.
	fullDiskRetryInterval = time.Second
	// refusalTimeout is how long the group must reject this VM before it deletes its
	// data. A single rejection may concern a message sent under an older membership.
	refusalTimeout = time.Second
)

var (
	groupsFounded = metrics.GetOrRegisterCounter("control.group.founded", metrics.DefaultRegistry)
	removals      = metrics.GetOrRegisterCounter("control.group.removals", metrics.DefaultRegistry)
	fullDiskWaits = metrics.GetOrRegisterCounter("control.group.full_disk_waits", metrics.DefaultRegistry)
)

// NewGroupMember returns a GroupMember. It does nothing until Run.
func NewGroupMember(cfg GroupMemberConfig) *GroupMember {
	cfg.Config = cfg.Config.withDefaults()
	return &GroupMember{cfg: cfg, guard: relay.NewGroupGuard(cfg.Clock)}
}

// Node returns the running node, or nil if there is none.
func (m *GroupMember) Node() *Node { return m.node.Load() }

// Run runs nodes and joins the group again when needed, until ctx is done. After an error
// the process must exit.
func (m *GroupMember) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		cfg, err := m.prepareConfig(ctx)
		if err != nil {
			return err
		}
		if cfg == nil {
			return nil // ctx is done
		}
		if err := m.runNode(ctx, *cfg); err != nil {
			return err
		}
	}
	return nil
}

// runNode runs a node until ctx is done or the group has rejected the node for
// refusalTimeout. In the latter case it clears the data folder.
func (m *GroupMember) runNode(ctx context.Context, cfg Config) error {
	node, err := m.open(ctx, cfg)
	if node == nil || err != nil {
		return err
	}
	klog.Infof("control: member %d starts at version %d, commit %d, group=%s", cfg.ID, node.state.Version(), node.leadership.Load().status.Commit, node.GroupID())
	m.node.Store(node)
	m.cfg.OnNodeChange(node)
	nodeCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- node.Run(nodeCtx) }()
	refused := m.waitUntilRefused(nodeCtx, node, done)
	if refused {
		removals.Inc(1)
		klog.Warningf("control: member %d was removed from group=%s; clearing the data folder and joining under a new id", cfg.ID, node.GroupID())
		cancel()
	}
	err = <-done
	m.node.Store(nil)
	m.cfg.OnNodeChange(nil)
	if !refused || err != nil {
		return err
	}
	m.left = true
	if group := node.GroupID(); group != "" {
		m.group = group
	}
	return m.untilRoom(ctx, m.clear)
}

// open opens the node's data folder, waiting for room on its disk. The result is nil if ctx
// is done.
func (m *GroupMember) open(ctx context.Context, cfg Config) (node *Node, err error) {
	err = m.untilRoom(ctx, func() error {
		node, err = Open(cfg)
		return err
	})
	return node, err
}

// untilRoom calls f until it returns something other than journal.ErrFull or ctx is done. A
// VM whose disk is full serves callers without a place in the group.
func (m *GroupMember) untilRoom(ctx context.Context, f func() error) error {
	for {
		err := f()
		if !errors.Is(err, journal.ErrFull) {
			return err
		}
		fullDiskWaits.Inc(1)
		klog.Warningf("control: the disk is full; this VM is no member of the group until there is room")
		if !vm.Sleep(ctx, fullDiskRetryInterval) {
			return nil
		}
	}
}

// waitUntilRefused returns true when the group has rejected the node for refusalTimeout,
// and false when ctx is done or the node has stopped.
func (m *GroupMember) waitUntilRefused(ctx context.Context, node *Node, done chan error) bool {
	ticker := time.NewTicker(refusalCheckInterval)
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
		now := m.cfg.Clock()
		switch {
		case node.leadership.Load().status.Refusal == quorumpb.Refusal_NONE:
			since = 0
		case since == 0:
			since = now
		case now.Sub(since) >= refusalTimeout:
			return true
		}
	}
}

// prepareConfig returns the configuration of the next node. The member ID is that of the
// identity on disk, if there is one. Otherwise it is a founder's ID if this VM is a
// founder, or the ID that the group assigns when the VM joins. The result is nil if ctx
// is done.
func (m *GroupMember) prepareConfig(ctx context.Context) (*Config, error) {
	id, err := journal.ReadIdentity(m.cfg.FS, m.cfg.DataDir)
	if err != nil {
		return nil, err
	}
	if group := vm.GroupID(id.GetGroup()); group != "" {
		m.group = group
	}
	if m.firstSeeds, err = m.recordFirstSeeds(ctx, id); err != nil {
		return nil, err
	}
	cfg := m.cfg.Config
	var founders []string
	mayFound := m.mayFound(id)
	if mayFound && slices.Contains(m.firstSeeds, cfg.PeerAddr) {
		founders = m.cfg.Founders(ctx, m.firstSeeds)
	}
	found := cfg.foundWith(founders)
	if id.GetId() != 0 {
		cfg.Bootstrap, cfg.Invited = found && id.Id == cfg.ID, id.Invited
		cfg.ID = id.Id
		return &cfg, nil
	}
	// Without a member ID, this disk has never been used as a member, or clear has
	// removed the log. Either way it holds no votes or entries that the group relies on.
	if err := m.untilRoom(ctx, m.clear); err != nil {
		return nil, err
	}
	if found {
		logFounding(&cfg, founders)
		return &cfg, nil
	}
	return m.join(ctx, cfg, mayFound)
}

// recordFirstSeeds returns the seeds of the first start, given the identity on the disk, which
// may be nil. At the first start they are written to the disk before they are used: a process
// that is killed while it waits for the other founders goes on in its next run, whose settings
// no longer say that it is the first start and may name other seeds.
func (m *GroupMember) recordFirstSeeds(ctx context.Context, id *wire.DiskIdentity) ([]string, error) {
	if recorded := id.GetFirstSeeds(); len(recorded) > 0 || !m.cfg.FirstStart {
		return recorded, nil
	}
	seeds := m.cfg.Seeds()
	if id != nil || m.left {
		return seeds, nil
	}
	return seeds, m.untilRoom(ctx, func() error {
		return m.writeIdentity(&wire.DiskIdentity{Name: m.cfg.Name, FirstSeeds: seeds})
	})
}

// foundWith makes the VM a founding member of a group if it is one of the founders. Their
// member IDs follow from their order.
func (c *Config) foundWith(founders []string) bool {
	index := slices.Index(founders, c.PeerAddr)
	if index < 0 {
		return false
	}
	c.ID, c.Bootstrap, c.Voters = uint64(index+1), true, make(map[uint64]string)
	for i, addr := range founders {
		c.Voters[uint64(i+1)] = addr
	}
	return true
}

func logFounding(cfg *Config, founders []string) {
	groupsFounded.Inc(1)
	klog.Infof("control: founding the group as member %d of %v", cfg.ID, founders)
}

// mayFound reports whether this VM, if it is a founder, may take part in the founding of a group,
// given the identity on its disk, which may be nil. A VM that a group has removed would otherwise
// found another group, which acknowledges changes that the rest of the tier never receives.
func (m *GroupMember) mayFound(id *wire.DiskIdentity) bool {
	unused := id == nil || len(id.Group) == 0 && (id.Id == 0 && len(id.FirstSeeds) > 0 || id.Id != 0 && !m.hasLog())
	return unused && !m.left && m.group == ""
}

// hasLog reports whether the data folder contains a log. If so, the group has already
// been founded and the founders are not needed.
func (m *GroupMember) hasLog() bool {
	names, err := m.cfg.FS.ReadDir(m.cfg.DataDir)
	return err == nil && slices.ContainsFunc(names, journal.IsLogFile)
}

// join asks for admission to the group until it is granted, and writes the identity with
// the assigned ID to disk. The result is nil if ctx is done.
//
// If no group is founded yet, this VM is one of the founders and mayFound is set, it takes part
// in the founding.
func (m *GroupMember) join(ctx context.Context, cfg Config, mayFound bool) (*Config, error) {
	disk := rand.Uint64() | 1
	for ctx.Err() == nil {
		id, group, founders := m.requestID(ctx, disk)
		if id == 0 && mayFound && m.expectedGroup() == "" && cfg.foundWith(founders) {
			cfg.Invited = true
			logFounding(&cfg, founders)
			return &cfg, nil
		}
		if id == 0 {
			vm.Sleep(ctx, joinRetryInterval/2+rand.N(joinRetryInterval))
			continue
		}
		identity := &wire.DiskIdentity{Disk: disk, Id: id, Name: cfg.Name, Group: group.Wire()}
		if err := journal.WriteIdentity(cfg.FS, cfg.DataDir, identity); errors.Is(err, journal.ErrFull) {
			klog.Warningf("control: the disk is full; the VM can't join the group yet")
			vm.Sleep(ctx, joinTimeout)
			continue
		} else if err != nil {
			return nil, err
		}
		cfg.ID = id
		klog.Infof("control: admitted to group=%s as member %d", group, id)
		return &cfg, nil
	}
	return nil, nil
}

// expectedGroup returns the only group that this VM may join, or the zero value if it may
// join any.
func (m *GroupMember) expectedGroup() vm.GroupID {
	if m.group == "" && m.cfg.Followed != nil {
		return m.cfg.Followed()
	}
	return m.group
}

// requestID asks the contacts in turn for admission, following redirects. It returns the
// assigned member ID and the group, or 0 if no contact granted admission. If no group is founded
// yet and this VM may take part in the founding, it returns the founders.
func (m *GroupMember) requestID(ctx context.Context, disk uint64) (id uint64, group vm.GroupID, founders []string) {
	offers := make(map[string]*wire.JoinReply)
	contacts := slices.Concat(m.cfg.Contacts(), m.founders)
	contacts = slices.DeleteFunc(contacts, func(a string) bool { return a == m.cfg.PeerAddr })
	peer.TryEach(ctx, contacts, func(addr string) (string, bool) {
		reply, err := m.requestJoin(ctx, addr, disk)
		if err != nil {
			klog.V(1).Infof("control: join request to %s failed: %v", addr, err)
			return "", false
		}
		if m.guard.Refuses(m.expectedGroup(), vm.GroupID(reply.Group), "an admission", addr) {
			return "", false
		}
		if len(reply.Founders) > 0 {
			offers[addr], m.founders = reply, reply.Founders
		}
		id, group = reply.Id, vm.GroupID(reply.Group)
		return reply.Redirect, id != 0
	})
	if id == 0 {
		founders = offeredPlace(m.cfg.PeerAddr, offers)
	}
	return id, group, founders
}

func (m *GroupMember) requestJoin(ctx context.Context, addr string, disk uint64) (*wire.JoinReply, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	conn, err := m.cfg.Conns.Conn(ctx, addr)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	return wire.NewDRPCQuorumClient(conn).Join(ctx, &wire.JoinRequest{Name: m.cfg.Name, PeerAddr: m.cfg.PeerAddr, Disk: disk, Group: m.expectedGroup().Wire()})
}

// clear removes all files from the data folder. Last, the identity of a disk that was used
// is replaced by one without a member ID: if clearing is interrupted, the rest of the log
// still belongs to the ID it was written under. The identity that remains keeps the disk
// from another founding, also if its VM was removed before it knew its group. That of a disk
// which was never a member's keeps the seeds of the first start.
func (m *GroupMember) clear() error {
	fs, dir := m.cfg.FS, m.cfg.DataDir
	if err := fs.MkdirAll(dir); err != nil {
		return errors.Wrap(err, "control: data folder")
	}
	names, err := fs.ReadDir(dir)
	if err != nil {
		return errors.Wrap(err, "control: data folder")
	}
	used := m.group != ""
	for _, name := range names {
		if name == journal.IdentityFile {
			used = true
			continue
		}
		if err := fs.Remove(filepath.Join(dir, name)); err != nil {
			return errors.Wrap(err, fmt.Sprintf("control: remove %s", name))
		}
	}
	if err := fs.SyncDir(dir); err != nil || !used {
		return errors.Wrap(err, "control: data folder")
	}
	id := &wire.DiskIdentity{Name: m.cfg.Name, Group: m.group.Wire()}
	if !m.left && m.group == "" {
		id.FirstSeeds = m.firstSeeds
	}
	return m.writeIdentity(id)
}

func (m *GroupMember) writeIdentity(id *wire.DiskIdentity) error {
	if err := m.cfg.FS.MkdirAll(m.cfg.DataDir); err != nil {
		return errors.Wrap(err, "control: data folder")
	}
	return journal.WriteIdentity(m.cfg.FS, m.cfg.DataDir, id)
}

// IsLeader reports whether this VM leads and no other VM can have been elected by now.
func (n *Node) IsLeader() bool { return n.leadership.Load().confirmed(n.cfg.Clock()) }

// SilentMembers returns the names of the tier's members that the leader has not heard from
// for at least after. On any other VM the result is empty. A member that is being removed
// is included until the membership without it has settled: a daemon that is partitioned
// before it learns of that membership keeps telling callers about the removed member, and
// must know that it is silent.
func (n *Node) SilentMembers(after time.Duration) []string {
	if !n.IsLeader() {
		return nil
	}
	v := n.stateView()
	return n.daemons.SilentMembers(n.cfg.Clock(), after, v.settled, v.pending)
}

// GroupAddrs returns the peer addresses of the control group, with the leader's first if
// it is known.
func (n *Node) GroupAddrs() []string {
	l := n.leadership.Load()
	out := l.controlAddrs()
	if at := slices.Index(out, l.leaderAddr); at > 0 {
		out[0], out[at] = out[at], out[0]
	}
	return out
}
