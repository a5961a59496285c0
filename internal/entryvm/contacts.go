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
	// tellEvery is how often a control VM tells the seeds where the group is.
	tellEvery = time.Second
	// askEvery is how often a daemon that knows no configuration, or was not
	// confirmed for lostAfter, asks the seeds, and how often a control VM tries to tell
	// those that it could not reach yet. In a restart of everything the VMs are back
	// within half a second of one another, and none knows when the others are.
	askEvery  = 50 * time.Millisecond
	lostAfter = 3 * time.Second
	// exchangeTime bounds one exchange; a seed that is lost must not hold up the
	// others.
	exchangeTime = 700 * time.Millisecond
	mostContacts = 16
)

// contacts is what this daemon has learned from others of where the control group
// is, beside what the group itself tells its members and daemons.
//
// Seeds are the only other daemons that a process is told of, and none of them
// need be of the group: a tier that lost power at once would otherwise come back
// with its control VMs among themselves and every other daemon asking in vain.
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

// group returns the peer addresses of the control group as this daemon knows them,
// and whether it is a member.
func (v *VM) group() (addrs []string, member bool) {
	if n := v.node(); n != nil {
		if g := n.Group(); slices.Contains(g, v.conf.PeerAddr) {
			return g, true
		}
	}
	return v.client.ControlGroup(), false
}

// contactsServer answers daemons that look for the control group.
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

// findGroup tells the seeds where the control group is, or asks them, until ctx
// ends. A seed that does not answer holds up nobody but itself.
func (v *VM) findGroup(ctx context.Context) {
	var asked work.Each
	defer asked.Wait()
	var told sync.Map // by seed: when it was told last
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

// exchangeWith speaks to a seed unless a call to it is under way, it is of the group
// already, or it was told a moment ago.
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

// lost reports whether this daemon has not found the group.
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

// founders returns the seeds that have a disk, in the order in which all see them.
// It waits until each of them has said: two of them that took different VMs for
// founders would found two groups.
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
