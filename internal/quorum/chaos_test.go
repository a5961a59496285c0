package quorum

import (
	"testing"

	"pgregory.net/rapid"
)

// randomCluster is a cluster with the actions that rapid runs on it.
type randomCluster struct {
	*cluster
	nextID    uint64
	lostDisks int // number of voters' disks that were replaced
}

// Random sequences of commands, reads, membership changes and faults: VMs crash while
// they process a Ready, disks are replaced, links fail in one direction, and messages are
// lost, duplicated and reordered. No term may have two leaders, no committed entry may be
// lost or changed, and no read may be stale. When the faults end, the group must commit
// again.
func TestSafetyUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 3, 4, 5, 2, 1}).Draw(t, "voters")
		w := &randomCluster{cluster: newCluster(t, rapid.Uint64().Draw(t, "seed"), n), nextID: uint64(n) + 1}
		if rapid.Bool().Draw(t, "formed") {
			w.waitForLeader()
			w.runTicks(5)
		}
		w.crashRate = rapid.SampledFrom([]float64{0, 0.01, 0.1}).Draw(t, "fragile")
		t.Repeat(map[string]func(*rapid.T){
			"":         w.runRandomTicks, // runs after each of the other actions
			"elect":    w.actElect,
			"network":  w.actNetwork,
			"cut":      w.actBlockLink,
			"split":    w.actPartition,
			"deliver":  w.actDeliver,
			"propose":  w.actPropose,
			"again":    w.actPropose, // twice as often as the rest
			"revive":   w.actRestart,
			"bounce":   w.actCrashAndRestart,
			"usurp":    w.actDeposeLeader,
			"heal":     w.actHeal,
			"read":     w.actRead,
			"crash":    w.actCrash,
			"restart":  w.actRestart,
			"compact":  w.actCompact,
			"add":      w.actAdd,
			"promote":  w.actPromote,
			"remove":   w.actRemove,
			"replace":  w.actReplace,
			"handOver": w.actTransfer,
		})
		w.healAndCheckProgress()
	})
}

func (w *randomCluster) pickHost(t *rapid.T) *host {
	hs := w.runningHosts()
	if len(hs) == 0 {
		t.Skip("all hosts are down")
	}
	return hs[rapid.IntRange(0, len(hs)-1).Draw(t, "host")]
}

// pickLeader returns a host in the Leader role, which may be a stale leader.
func (w *randomCluster) pickLeader(t *rapid.T) *host {
	var hs []*host
	for _, h := range w.runningHosts() {
		if h.m.role == Leader {
			hs = append(hs, h)
		}
	}
	if len(hs) == 0 {
		t.Skip("no host leads")
	}
	return hs[rapid.IntRange(0, len(hs)-1).Draw(t, "leader")]
}

func (w *randomCluster) runRandomTicks(t *rapid.T) {
	w.runTicks(rapid.SampledFrom([]int{0, 0, 1, 2, 5, 12, 30}).Draw(t, "rounds"))
	for _, h := range w.runningHosts() {
		w.checkConfs(h)
	}
}

// actElect lets one VM's election timeout expire at once, to provoke split votes.
func (w *randomCluster) actElect(t *rapid.T) {
	h := w.pickHost(t)
	if h.m.role != Leader {
		h.m.electionDeadline = h.m.tick
		h.m.Tick()
		w.processAllReady(h)
	}
}

func (w *randomCluster) actNetwork(t *rapid.T) {
	w.lossRate = rapid.SampledFrom([]float64{0, 0, 0.1, 0.4}).Draw(t, "loss")
	w.duplicateRate = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "repeat")
	w.deliverBeforeSyncRate = rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "eager")
	w.delayRate = rapid.SampledFrom([]float64{0, 0.3, 0.8}).Draw(t, "delay")
}

func (w *randomCluster) actBlockLink(t *rapid.T) {
	a, b := w.pickHost(t), w.pickHost(t)
	w.blockedLinks[[2]uint64{a.disk, b.disk}] = true
	if rapid.Bool().Draw(t, "both ways") {
		w.blockedLinks[[2]uint64{b.disk, a.disk}] = true
	}
}

func (w *randomCluster) actHeal(t *rapid.T) { clear(w.blockedLinks) }

// actPartition splits the VMs into two sides that can't reach each other.
func (w *randomCluster) actPartition(t *rapid.T) {
	side := rapid.Uint64().Draw(t, "side")
	for i, a := range w.sortedHosts() {
		for j, b := range w.sortedHosts() {
			w.blockedLinks[[2]uint64{a.disk, b.disk}] = side>>i&1 != side>>j&1
		}
	}
}

// actDeliver delivers some messages without any ticks.
func (w *randomCluster) actDeliver(t *rapid.T) {
	for range rapid.IntRange(1, 10).Draw(t, "n") {
		if n := len(w.inFlight); n > 0 {
			i := w.rng.IntN(n)
			b := w.inFlight[i]
			w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...)
			w.deliverMessage(b)
		}
	}
}

func (w *randomCluster) actPropose(t *rapid.T) {
	w.actProposeAt(t, w.pickLeader(t))
}

func (w *randomCluster) actProposeAt(t *rapid.T, h *host) {
	for range rapid.IntRange(1, 8).Draw(t, "n") {
		_, _, _ = h.m.Propose(command(h.state.value, w.rng.Uint64N(5), 0))
	}
	if rapid.Bool().Draw(t, "pump") {
		w.processAllReady(h)
	}
}

func (w *randomCluster) actRead(t *rapid.T) {
	h := w.pickLeader(t)
	w.read(h)
	w.processAllReady(h)
}

func (w *randomCluster) actCrash(t *rapid.T) {
	w.crash(w.pickHost(t), rapid.IntRange(afterEarly, afterAll).Draw(t, "until"))
}

// actCrashAndRestart crashes a VM, possibly while it processes a Ready, and restarts it
// at once.
func (w *randomCluster) actCrashAndRestart(t *rapid.T) {
	h := w.pickHost(t)
	if rapid.Bool().Draw(t, "vote") && h.m.role != Leader {
		h.m.electionDeadline = h.m.tick
		h.m.Tick()
	}
	w.crash(h, rapid.IntRange(afterEarly, afterAll).Draw(t, "until"))
	w.start(h)
}

// actDeposeLeader isolates the leader, lets it append entries that no other member
// receives, and lets the other members elect a new leader and append entries of theirs.
func (w *randomCluster) actDeposeLeader(t *rapid.T) {
	h := w.pickLeader(t)
	w.isolate(h)
	w.actProposeAt(t, h)
	w.runTicks(rapid.IntRange(15, 40).Draw(t, "n"))
	if l := w.leader(); l != nil {
		w.actProposeAt(t, l)
	}
}

func (w *randomCluster) actRestart(t *rapid.T) {
	for _, h := range w.sortedHosts() {
		if h.m == nil && !w.isDiskReplaced(h) {
			w.start(h)
		}
	}
}

// isDiskReplaced reports whether a newer disk uses the id of h.
func (w *randomCluster) isDiskReplaced(h *host) bool {
	for _, o := range w.hosts {
		if o.id == h.id && o.disk > h.disk {
			return true
		}
	}
	return false
}

func (w *randomCluster) actCompact(t *rapid.T) {
	w.compact(w.pickHost(t), rapid.Uint64Range(0, 5).Draw(t, "keep"))
}

func (w *randomCluster) actAdd(t *rapid.T) {
	h := w.pickLeader(t)
	if w.nextID > 9 {
		t.Skip("enough VMs")
	}
	n := w.addHost(w.nextID, nil)
	w.nextID++
	_, _, err := h.m.ProposeConf(ConfChange{AddLearner, &Member{Id: n.id, Disk: n.disk}})
	if err != nil {
		delete(w.hosts, n.disk) // no member knows of it
		return
	}
	w.processAllReady(h)
}

func (w *randomCluster) actPromote(t *rapid.T) {
	h := w.pickLeader(t)
	for _, member := range h.m.conf().Members {
		if member.Learner {
			_, _, _ = h.m.ProposeConf(ConfChange{Promote, member})
		}
	}
	w.processAllReady(h)
}

func (w *randomCluster) actRemove(t *rapid.T) {
	h := w.pickLeader(t)
	members := h.m.conf().Members
	member := members[rapid.IntRange(0, len(members)-1).Draw(t, "member")]
	_, _, _ = h.m.ProposeConf(ConfChange{Remove, member})
	w.processAllReady(h)
}

// actReplace replaces a VM's disk by a blank one and restarts the VM under the same id
// with the same start-up flags, which is an operator error. The group must tolerate one
// such loss at a time.
func (w *randomCluster) actReplace(t *rapid.T) {
	h := w.pickHost(t)
	if w.lostDisks > 0 {
		t.Skip("one disk at a time")
	}
	for _, o := range w.runningHosts() {
		if voterCount(o.m.conf()) == 1 {
			t.Skip("the only copy may be on this disk")
		}
	}
	w.lostDisks++
	bootSnapshot := h.persisted.Snapshot
	if bootSnapshot.GetIndex() != 0 || voterCount(bootSnapshot.GetConf()) == 1 {
		bootSnapshot = nil // a single-member group must not be bootstrapped again, see Bootstrap
	}
	h.m = nil
	w.addHost(h.id, bootSnapshot)
}

func (w *randomCluster) actTransfer(t *rapid.T) {
	h := w.pickLeader(t)
	_ = h.m.TransferLeadership(0)
	w.processAllReady(h)
}

// healAndCheckProgress ends all faults. If a quorum of disks is left, the group must
// elect a leader and commit an entry, and all members must apply it.
func (w *randomCluster) healAndCheckProgress() {
	for _, h := range w.sortedHosts() {
		if h.m == nil && !w.isDiskReplaced(h) {
			w.start(h)
		}
	}
	w.healNetwork(150)
	if !w.hasQuorumOfDisks() {
		return
	}
	h := w.waitForLeader()
	index := w.proposeAndWait(h)
	for _, member := range h.m.conf().Members {
		o := w.hosts[member.Disk]
		if o != nil && o.m != nil && o.state.applied < index {
			w.t.Fatalf("member %d has applied %d of %d after the faults ended: %s", o.id, o.state.applied, index, w)
		}
	}
}

// hasQuorumOfDisks reports whether a quorum of disks is left, both for the last committed
// configuration and for every later one that a running VM uses.
func (w *randomCluster) hasQuorumOfDisks() bool {
	if w.committedConf == nil {
		return w.lostDisks == 0 // a group without bound disks needs all of its first disks
	}
	confs := []*Conf{w.committedConf}
	for _, h := range w.runningHosts() {
		if h.m.confs.latest().index > w.committedConfIndex {
			confs = append(confs, h.m.conf())
		}
	}
	for _, c := range confs {
		n := 0
		for _, member := range c.Members {
			if o := w.hosts[member.Disk]; !member.Learner && o != nil && o.m != nil {
				n++
			}
		}
		if n < quorumSize(c) {
			return false
		}
	}
	return true
}
