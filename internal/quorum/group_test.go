package quorum

import (
	"bytes"
	"errors"
	"testing"

	"google.golang.org/protobuf/proto"

	"pearmoor/internal/quorum/quorumpb"
)

// commonGroup returns the identity that all running members report, or nil if they differ.
func (c *cluster) commonGroup() []byte {
	var group []byte
	for i, h := range c.runningHosts() {
		g := h.m.Status().Group
		if i > 0 && !bytes.Equal(g, group) {
			return nil
		}
		group = g
	}
	return group
}

func TestFirstLeaderNamesGroup(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.waitForLeader()
	c.runTicks(60)
	group := c.commonGroup()
	if len(group) == 0 {
		t.Fatalf("the members have no common identity: %s", c)
	}
	for _, h := range c.sortedHosts() {
		c.crash(h, afterAll)
		c.runTicks(60)
		c.start(h)
	}
	c.runTicks(60)
	if now := c.commonGroup(); !bytes.Equal(now, group) {
		t.Errorf("the identity changed from %q to %q", group, now)
	}
}

// Guards against an upgrade that loses the log of a group founded without an identity.
func TestGroupWithoutIdentityIsNamedDuringUpgrade(t *testing.T) {
	c := newClusterWithoutIdentity(t, 7, 3)
	c.waitForLeader()
	c.runTicks(60)
	if group := c.commonGroup(); len(group) != 0 {
		t.Fatalf("a release without identities has named the group %q", group)
	}
	commit := c.waitForLeader().m.Status().Commit
	c.withoutIdentity = false
	for _, h := range c.sortedHosts() {
		c.crash(h, afterAll)
		c.runTicks(60)
		c.start(h)
		c.runTicks(60)
	}
	if group := c.commonGroup(); len(group) == 0 || c.waitForLeader().m.Status().Commit <= commit {
		t.Errorf("group %q after the upgrade, commit %d before it: %s", group, commit, c)
	}
}

// Guards against a member that follows, votes for or is refused by members of another group
// that use the same ids.
func TestMessagesOfAnotherGroupHaveNoEffect(t *testing.T) {
	c := newCluster(t, 5, 3)
	c.waitForLeader()
	c.runTicks(60)
	for _, h := range c.runningHosts() {
		for kind := range quorumpb.Kind_name {
			if quorumpb.Kind(kind) == quorumpb.Kind_UNKNOWN {
				continue
			}
			from := c.host(h.id%3 + 1)
			before, status := proto.CloneOf(&h.m.hardState), h.m.Status()
			err := h.m.Step(&Message{
				Kind: quorumpb.Kind(kind), From: from.id, FromDisk: from.disk, To: h.id, ToDisk: h.disk, Term: before.Term + 5,
				Refusal: quorumpb.Refusal_REMOVED, Index: 100, Commit: 100, Group: []byte("another group"),
			})
			var other *OtherGroupError
			if !errors.As(err, &other) {
				t.Errorf("%v: got error %v", quorumpb.Kind(kind), err)
			}
			now := h.m.Status()
			if !proto.Equal(before, &h.m.hardState) || now.Role != status.Role || now.Refusal != quorumpb.Refusal_NONE || h.m.HasReady() {
				t.Errorf("%v of another group changed member %d from %+v to %+v", quorumpb.Kind(kind), h.id, status, now)
			}
		}
	}
}

func TestDiskOfAnotherGroupIsRefused(t *testing.T) {
	c := newCluster(t, 9, 3)
	h := c.waitForLeader()
	c.runTicks(60)
	cfg := DefaultConfig(h.id, 1)
	cfg.Group = []byte("another group")
	if _, err := New(cfg, h.persisted); err == nil {
		t.Error("a machine starts with the log of one group on the disk of another")
	}
}
