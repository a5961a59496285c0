package entryvm

import (
	"context"
	"slices"
	"strings"
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
	announceInterval = time.Second
	// exchangeRetryInterval is how often a daemon without a configuration, or whose
	// configuration has not been confirmed for disconnectedAfter, asks the seeds, and how
	// often a control VM retries the seeds that it has not reached yet. When the whole
	// tier restarts, the VMs come back within half a second of one another.
	exchangeRetryInterval = 50 * time.Millisecond
	disconnectedAfter     = 3 * time.Second
	// exchangeTimeout bounds one exchange with a seed.
	exchangeTimeout = 700 * time.Millisecond
	// maxContacts bounds the number of learned addresses.
	maxContacts = 16
)

// learnedContacts holds the addresses of control VMs that other daemons have sent, in
// addition to those that the control group itself sends to its members and daemons.
//
// A process starts with the seeds only, and none of them need be a control VM. Without
// this exchange, after a power loss of the whole tier the control VMs would find each
// other but the other daemons would not find them.
type learnedContacts struct {
	mu    sync.Mutex
	addrs []string // newest first
}

func (c *learnedContacts) add(addrs []string) (added bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, addr := range slices.Backward(addrs) {
		index := slices.Index(c.addrs, addr)
		if index == 0 {
			continue
		}
		if index > 0 {
			c.addrs = slices.Delete(c.addrs, index, index+1)
		} else {
			added = true
		}
		c.addrs = slices.Insert(c.addrs, 0, addr)
	}
	c.addrs = c.addrs[:min(len(c.addrs), maxContacts)]
	return added
}

func (c *learnedContacts) list() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.addrs)
}

// controlGroup returns the peer addresses of the control group as known to this daemon,
// and whether this VM is a member.
func (v *VM) controlGroup() (addrs []string, member bool) {
	if n := v.controlNode(); n != nil {
		if group := n.GroupAddrs(); slices.Contains(group, v.conf.PeerAddr) {
			return group, true
		}
	}
	return v.client.ControlGroup(), false
}

// contactsServer serves the Contacts service to other daemons.
type contactsServer struct{ *VM }

// Exchange implements wire.DRPCContactsServer.
func (s contactsServer) Exchange(_ context.Context, req *wire.ContactsRequest) (*wire.ContactsReply, error) {
	group := s.group()
	if req.Member && !s.guard.Refuses(group, vm.GroupID(req.Group), "addresses of a control group", strings.Join(req.Control, ",")) {
		s.addContacts(req.Control)
	}
	known, _ := s.controlGroup()
	for _, a := range s.learned.list() {
		if !slices.Contains(known, a) {
			known = append(known, a)
		}
	}
	return &wire.ContactsReply{Control: known, Disk: s.conf.DataDir != "", Group: group.Wire()}, nil
}

func (v *VM) addContacts(addrs []string) {
	if v.learned.add(addrs) {
		klog.Infof("entry: control group heard of at %v", addrs)
		v.client.SetSeeds(v.contacts())
	}
}

// exchangeContacts announces the control group to the seeds if this VM is a member, and
// otherwise asks them for it while disconnected, until ctx ends. Seeds are called
// concurrently, so one that does not answer does not delay the others.
func (v *VM) exchangeContacts(ctx context.Context) {
	var inFlight work.KeyedRunner
	defer inFlight.Wait()
	var announced sync.Map // by seed: time of the last announcement
	for ctx.Err() == nil {
		group, member := v.controlGroup()
		if member || v.disconnected() {
			for _, addr := range *v.seeds.Load() {
				v.startExchange(ctx, &inFlight, &announced, addr, group, member)
			}
		}
		vm.Sleep(ctx, exchangeRetryInterval)
	}
}

// startExchange starts an exchange with a seed unless one is in progress, the seed is a
// member of the group, or the group was announced to it within announceInterval.
func (v *VM) startExchange(ctx context.Context, inFlight *work.KeyedRunner, announced *sync.Map, addr string, group []string, member bool) {
	if addr == v.conf.PeerAddr || member && slices.Contains(group, addr) {
		return
	}
	if at, ok := announced.Load(addr); member && ok && vm.Monotonic().Sub(at.(vm.Instant)) < announceInterval {
		return
	}
	inFlight.Go(addr, func() {
		reply, err := v.exchange(ctx, addr, group, member)
		switch {
		case err != nil:
		case member:
			announced.Store(addr, vm.Monotonic())
		case v.guard.Refuses(v.group(), vm.GroupID(reply.Group), "addresses of a control group", addr):
		default:
			v.addContacts(reply.Control)
		}
	})
}

// disconnected reports whether this daemon has no configuration, or none confirmed within
// disconnectedAfter.
func (v *VM) disconnected() bool {
	view := v.client.Current()
	return view.Tree == nil || vm.Now().Sub(view.LeaseEnd) > disconnectedAfter
}

func (v *VM) exchange(ctx context.Context, addr string, group []string, member bool) (*wire.ContactsReply, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	conn, err := v.controlConns.Conn(ctx, addr)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	return wire.NewDRPCContactsClient(conn).Exchange(ctx, &wire.ContactsRequest{Control: group, Member: member, Group: v.group().Wire()})
}

// founders returns those of the seeds that have a disk, in the same order on every daemon. It waits
// until every seed has answered: VMs with different sets of founders would create separate
// control groups. If a seed or this VM follows a group there are no founders, since this VM is
// late or has lost its disk, and has to join that group.
func (v *VM) founders(ctx context.Context, seeds []string) []string {
	seeds = slices.Compact(slices.Sorted(slices.Values(seeds)))
	hasDisk := map[string]bool{v.conf.PeerAddr: v.conf.DataDir != ""}
	for ctx.Err() == nil {
		if group := v.group(); group != "" {
			klog.Infof("entry: founding no control group, this VM follows group=%s", group)
			return nil
		}
		var out []string
		for _, addr := range seeds {
			if addr != v.conf.PeerAddr {
				reply, err := v.exchange(ctx, addr, nil, false)
				if err == nil && len(reply.Group) > 0 {
					klog.Infof("entry: founding no control group, seed %s follows group=%s", addr, vm.GroupID(reply.Group))
					return nil
				}
				if err == nil {
					hasDisk[addr] = reply.Disk
				}
			}
			if hasDisk[addr] {
				out = append(out, addr)
			}
		}
		if allKnown(hasDisk, seeds) {
			return out
		}
		vm.Sleep(ctx, exchangeRetryInterval)
	}
	return nil
}

func allKnown(hasDisk map[string]bool, seeds []string) bool {
	for _, s := range seeds {
		if _, ok := hasDisk[s]; !ok {
			return false
		}
	}
	return true
}
