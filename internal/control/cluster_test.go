package control

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"pearmoor/internal/link/wire"
)

// cluster is a control group whose VMs listen on loopback ports.
type cluster struct {
	t   testing.TB
	vms map[uint64]*testVM
}

// startCluster starts a new group of n control VMs.
func startCluster(t testing.TB, n int, adjust ...func(*Config)) *cluster {
	t.Helper()
	c := &cluster{t: t, vms: make(map[uint64]*testVM)}
	voters, listeners := make(map[uint64]string), make(map[uint64]net.Listener)
	for id := uint64(1); id <= uint64(n); id++ {
		listeners[id] = listen(t, "127.0.0.1:0")
		voters[id] = listeners[id].Addr().String()
	}
	for id, lis := range listeners {
		cfg := Config{ID: id, Name: fmt.Sprint("ctl-", id), DataDir: t.TempDir(), Bootstrap: true, Voters: voters}
		for _, f := range adjust {
			f(&cfg)
		}
		c.vms[id] = startVM(t, cfg, lis)
	}
	return c
}

func (c *cluster) cancelAll() {
	for _, v := range c.vms {
		v.cancel()
	}
}

// stopAll stops all VMs concurrently.
func (c *cluster) stopAll() {
	c.cancelAll()
	for _, v := range c.vms {
		v.stop()
	}
}

// leader waits for a leader whose ID is not in except and returns it.
func (c *cluster) leader(except ...uint64) *testVM {
	c.t.Helper()
	var found *testVM
	eventually(c.t, "a leader", func() bool {
		for id, v := range c.vms {
			excluded := false
			for _, e := range except {
				excluded = excluded || e == id
			}
			if !excluded && v.isLeader() {
				found = v
				return true
			}
		}
		return false
	})
	return found
}

// addEmptyVM starts a VM with an empty data folder that belongs to no group.
func (c *cluster) addEmptyVM(id uint64, adjust ...func(*Config)) *testVM {
	cfg := Config{ID: id, Name: fmt.Sprint("ctl-", id), DataDir: c.t.TempDir()}
	for _, f := range adjust {
		f(&cfg)
	}
	v := startVM(c.t, cfg, listen(c.t, "127.0.0.1:0"))
	c.vms[id] = v
	return v
}

func (c *cluster) stop(id uint64) {
	c.vms[id].stop()
	delete(c.vms, id)
}

// change sends req to the current leader and resends it, with the same change id, until
// the outcome is known. It returns nil if that does not happen within waitTimeout.
func (c *cluster) change(req *wire.ChangeRequest) *wire.ChangeReply {
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		for _, v := range c.vms {
			if !v.node.leadership.Load().isLeader {
				continue
			}
			if r, err := tryChange(c.t, v, req); err == nil && r.Redirect == "" {
				return r
			}
		}
	}
	return nil
}

func (c *cluster) mustChange(id string, base uint64, lease string) *wire.ChangeReply {
	c.t.Helper()
	r := c.change(changeRequest(id, base, "daemon-lease", lease))
	if r == nil {
		c.t.Fatalf("outcome of change not known within %v: change %s", waitTimeout, id)
	}
	return r
}

// mustChangeGroup sends req to the current leader and retries until the group is changed.
func (c *cluster) mustChangeGroup(req *wire.GroupRequest) {
	c.t.Helper()
	why := ""
	eventually(c.t, "the group is changed", func() bool {
		for _, v := range c.vms {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			cl := dialVM(c.t, v)
			r, err := cl.control().Group(ctx, req)
			cl.close()
			cancel()
			if err == nil && r.Done {
				return true
			}
			if now := fmt.Sprint(err, r.GetError()); now != why {
				why = now
				c.t.Log(why)
			}
		}
		return false
	})
}

func tryChange(t testing.TB, v *testVM, req *wire.ChangeRequest) (*wire.ChangeReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	c := dialVM(t, v)
	defer c.close()
	return c.control().Change(ctx, req)
}

// setPartitioned blocks all connections between v and the other VMs, or unblocks them.
func (c *cluster) setPartitioned(v *testVM, partitioned bool) {
	for _, o := range c.vms {
		if o != v {
			v.conns.setBlocked(o.cfg.PeerAddr, partitioned)
			o.conns.setBlocked(v.cfg.PeerAddr, partitioned)
		}
	}
}
