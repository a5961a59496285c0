package entryvm

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/vm"
	"pearmoor/internal/work"
)

const (
	// announceInterval is how often a control VM sends the addresses of the control group
	// to each seed.
	tellEvery = time.Second
	// exchangeRetryInterval is how often a daemon without a configuration, or whose
	// configuration has not been confirmed for disconnectedAfter, asks the seeds, and how
	// often a control VM retries the seeds that it has not reached yet. When the whole
	// tier restarts, the VMs come back within half a second of one another.
	askEvery  = 50 * time.Millisecond
	lostAfter = 3 * time.Second
	// exchangeTimeout bounds one exchange with a seed.
	exchangeTime = 700 * time.Millisecond
	// maxContacts bounds the number of learned addresses.
	mostContacts = 16
)

// learnedContacts holds the addresses of control VMs that other daemons have sent, in
// addition to those that the control group itself sends to its members and daemons.
//
// A process starts with the seeds only, and none of them need be a control VM. Without
// this exchange, after a power loss of the whole tier the control VMs would find each
// other but the other daemons would not find them.
type contacts struct {
	mu      sync.Mutex
	learned []string // newest first
}

func (c *contacts) learn(addrs []string) (news bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range slices.Backward(addrs) {
		at := slices.Index(c.learned, a)
		if at == 0 {
			continue
		}
		if at > 0 {
			c.learned = slices.Delete(c.learned, at, at+1)
		} else {
			news = true
		}
		c.learned = slices.Insert(c.learned, 0, a)
	}
	c.learned = c.learned[:min(len(c.learned), mostContacts)]
	return news
}

func (c *contacts) list() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.learned)
}

// controlGroup returns the peer addresses of the control group as known to this daemon,
// and whether this VM is a member.
func (v *VM) group() (addrs []string, member bool) {
	if n := v.node(); n != nil {
		if g := n.Group(); slices.Contains(g, v.conf.PeerAddr) {
			return g, true
		}
	}
	return v.client.ControlGroup(), false
}

// contactsServer serves the Contacts service to other daemons.
type contactsServer struct{ *VM }

// Exchange implements wire.DRPCContactsServer.
func (s contactsServer) Exchange(_ context.Context, req *wire.ContactsRequest) (*wire.ContactsReply, error) {
	if req.Member {
		s.learn(req.Control)
	}
	known, _ := s.group()
	for _, a := range s.heard.list() {
		if !slices.Contains(known, a) {
			known = append(known, a)
		}
	}
	return &wire.ContactsReply{Control: known, Disk: s.conf.DataDir != ""}, nil
}

func (v *VM) learn(addrs []string) {
	if v.heard.learn(addrs) {
		klog.Infof("entry: control group heard of at %v", addrs)
		v.client.SetSeeds(v.contacts())
	}
}

// exchangeContacts announces the control group to the seeds if this VM is a member, and
// otherwise asks them for it while disconnected, until ctx ends. Seeds are called
// concurrently, so one that does not answer does not delay the others.
func (v *VM) findGroup(ctx context.Context) {
	var asked work.Each
	defer asked.Wait()
	var told sync.Map // by seed: time of the last announcement
	for ctx.Err() == nil {
		group, member := v.group()
		if member || v.lost() {
			for _, addr := range *v.seeds.Load() {
				v.exchangeWith(ctx, &asked, &told, addr, group, member)
			}
		}
		vm.Sleep(ctx, askEvery)
	}
}

// startExchange starts an exchange with a seed unless one is in progress, the seed is a
// member of the group, or the group was announced to it within announceInterval.
func (v *VM) exchangeWith(ctx context.Context, asked *work.Each, told *sync.Map, addr string, group []string, member bool) {
	if addr == v.conf.PeerAddr || member && slices.Contains(group, addr) {
		return
	}
	if at, ok := told.Load(addr); member && ok && vm.Monotonic().Sub(at.(vm.Instant)) < tellEvery {
		return
	}
	asked.Go(addr, func() {
		reply, err := v.exchange(ctx, addr, group, member)
		switch {
		case err != nil:
		case member:
			told.Store(addr, vm.Monotonic())
		default:
			v.learn(reply.Control)
		}
	})
}

// disconnected reports whether this daemon has no configuration, or none confirmed within
// disconnectedAfter.
func (v *VM) lost() bool {
	view := v.client.Current()
	return view.Tree == nil || vm.Now().Sub(view.Lease) > lostAfter
}

func (v *VM) exchange(ctx context.Context, addr string, group []string, member bool) (*wire.ContactsReply, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTime)
	defer cancel()
	conn, err := v.controlConns.Conn(ctx, addr)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	return wire.NewDRPCContactsClient(conn).Exchange(ctx, &wire.ContactsRequest{Control: group, Member: member})
}

// founders returns the seeds that have a disk, in the same order on every daemon. It waits
// until every seed has answered: VMs with different sets of founders would create separate
// control groups.
func (v *VM) founders(ctx context.Context) []string {
	seeds := slices.Compact(slices.Sorted(slices.Values(*v.seeds.Load())))
	disk := map[string]bool{v.conf.PeerAddr: v.conf.DataDir != ""}
	for ctx.Err() == nil {
		var out []string
		for _, addr := range seeds {
			if _, said := disk[addr]; !said {
				if reply, err := v.exchange(ctx, addr, nil, false); err == nil {
					disk[addr] = reply.Disk
				}
			}
			if disk[addr] {
				out = append(out, addr)
			}
		}
		if allSaid(disk, seeds) {
			return out
		}
		vm.Sleep(ctx, askEvery)
	}
	return nil
}

func allSaid(disk map[string]bool, seeds []string) bool {
	for _, s := range seeds {
		if _, ok := disk[s]; !ok {
			return false
		}
	}
	return true
}
