package control

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"pearmoor/internal/link/wire"
)

// cluster is a control group on loopback.
type cluster struct {
	t   testing.TB
	vms map[uint64]*testVM
}

// startCluster founds a group of n control VMs.
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

// stopAll stops every VM at once.
func (c *cluster) stopAll() {
	c.cancelAll()
	for _, v := range c.vms {
		v.stop()
	}
}

// leader waits for a leader other than those excluded.
func (c *cluster) leader(except ...uint64) *testVM {
	c.t.Helper()
	var found *testVM
	eventually(c.t, "a leader", func() bool {
		for id, v := range c.vms {
			excluded := false
			for _, e := range except {
				excluded = excluded || e == id
			}
			if !excluded && v.leads() {
				found = v
				return true
			}
		}
		return false
	})
	return found
}

// addBlank starts a VM without a group and returns it.
func (c *cluster) addBlank(id uint64, adjust ...func(*Config)) *testVM {
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

// change sends one request to whoever leads, following the leader and resending
// under one change id until the outcome is known; nil if it never is.
func (c *cluster) change(req *wire.ChangeRequest) *wire.ChangeReply {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(pollEvery) {
		for _, v := range c.vms {
			if !v.node.lead.Load().self {
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
		c.t.Fatalf("not within %v: the outcome of change %s", patience, id)
	}
	return r
}

// mustGroup changes the group through whoever leads, until it is done.
func (c *cluster) mustGroup(req *wire.GroupRequest) {
	c.t.Helper()
	why := ""
	eventually(c.t, "the group's change", func() bool {
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

// cut stops everything between one VM and the others, or lets it pass again.
func (c *cluster) cut(v *testVM, cut bool) {
	for _, o := range c.vms {
		if o != v {
			v.links.set(o.cfg.PeerAddr, cut)
			o.links.set(v.cfg.PeerAddr, cut)
		}
	}
}
