package quorum

import (
	"testing"

	"pgregory.net/rapid"
)

// randomCluster is a cluster with the actions that rapid runs on it.
type world struct {
	*cluster
	nextID uint64
	lost   int // number of voters' disks that were replaced
}

// Random sequences of commands, reads, membership changes and faults: VMs crash while
// they process a Ready, disks are replaced, links fail in one direction, and messages are
// lost, duplicated and reordered. No term may have two leaders, no committed entry may be
// lost or changed, and no read may be stale. When the faults end, the group must commit
// again.
func TestGroupSurvivesFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 3, 4, 5, 2, 1}).Draw(t, "voters")
		w := &world{cluster: newCluster(t, rapid.Uint64().Draw(t, "seed"), n), nextID: uint64(n) + 1}
		if rapid.Bool().Draw(t, "formed") {
			w.mustLead()
			w.rounds(5)
		}
		w.fragile = rapid.SampledFrom([]float64{0, 0.01, 0.1}).Draw(t, "fragile")
		t.Repeat(map[string]func(*rapid.T){
			"":         w.passTime, // runs after each of the other actions
			"elect":    w.actElect,
			"network":  w.actNetwork,
			"cut":      w.actCut,
			"split":    w.actSplit,
			"deliver":  w.actDeliver,
			"propose":  w.actPropose,
			"again":    w.actPropose, // twice as often as the rest
			"revive":   w.actRestart,
			"bounce":   w.actBounce,
			"usurp":    w.actUsurp,
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
		w.finish()
	})
}

func (w *world) pick(t *rapid.T) *host {
	hs := w.up()
	if len(hs) == 0 {
		t.Skip("all hosts are down")
	}
	return hs[rapid.IntRange(0, len(hs)-1).Draw(t, "host")]
}

// pickLeader returns a host in the Leader role, which may be a stale leader.
func (w *world) pickLeader(t *rapid.T) *host {
	var hs []*host
	for _, h := range w.up() {
		if h.m.role == Leader {
			hs = append(hs, h)
		}
	}
	if len(hs) == 0 {
		t.Skip("no host leads")
	}
	return hs[rapid.IntRange(0, len(hs)-1).Draw(t, "leader")]
}

func (w *world) passTime(t *rapid.T) {
	w.rounds(rapid.SampledFrom([]int{0, 0, 1, 2, 5, 12, 30}).Draw(t, "rounds"))
	for _, h := range w.up() {
		w.checkConfs(h)
	}
}

// actElect lets one VM's election timeout expire at once, to provoke split votes.
func (w *world) actElect(t *rapid.T) {
	h := w.pick(t)
	if h.m.role != Leader {
		h.m.timeoutAt = h.m.tick
		h.m.Tick()
		w.pump(h)
	}
}

func (w *world) actNetwork(t *rapid.T) {
	w.loss = rapid.SampledFrom([]float64{0, 0, 0.1, 0.4}).Draw(t, "loss")
	w.repeat = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "repeat")
	w.eager = rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "eager")
	w.delay = rapid.SampledFrom([]float64{0, 0.3, 0.8}).Draw(t, "delay")
}

func (w *world) actCut(t *rapid.T) {
	a, b := w.pick(t), w.pick(t)
	w.cut[[2]uint64{a.disk, b.disk}] = true
	if rapid.Bool().Draw(t, "both ways") {
		w.cut[[2]uint64{b.disk, a.disk}] = true
	}
}

func (w *world) actHeal(t *rapid.T) { clear(w.cut) }

// actPartition splits the VMs into two sides that can't reach each other.
func (w *world) actSplit(t *rapid.T) {
	side := rapid.Uint64().Draw(t, "side")
	for i, a := range w.sorted() {
		for j, b := range w.sorted() {
			w.cut[[2]uint64{a.disk, b.disk}] = side>>i&1 != side>>j&1
		}
	}
}

// actDeliver delivers some messages without any ticks.
func (w *world) actDeliver(t *rapid.T) {
	for range rapid.IntRange(1, 10).Draw(t, "n") {
		if n := len(w.wire); n > 0 {
			i := w.rng.IntN(n)
			b := w.wire[i]
			w.wire = append(w.wire[:i], w.wire[i+1:]...)
			w.handOver(b)
		}
	}
}

func (w *world) actPropose(t *rapid.T) {
	w.actProposeAt(t, w.pickLeader(t))
}

func (w *world) actProposeAt(t *rapid.T, h *host) {
	for range rapid.IntRange(1, 8).Draw(t, "n") {
		_, _, _ = h.m.Propose(command(h.state.value, w.rng.Uint64N(5), 0))
	}
	if rapid.Bool().Draw(t, "pump") {
		w.pump(h)
	}
}

func (w *world) actRead(t *rapid.T) {
	h := w.pickLeader(t)
	w.read(h)
	w.pump(h)
}

func (w *world) actCrash(t *rapid.T) {
	w.crash(w.pick(t), rapid.IntRange(afterEarly, wholly).Draw(t, "until"))
}

// actCrashAndRestart crashes a VM, possibly while it processes a Ready, and restarts it
// at once.
func (w *world) actBounce(t *rapid.T) {
	h := w.pick(t)
	if rapid.Bool().Draw(t, "vote") && h.m.role != Leader {
		h.m.timeoutAt = h.m.tick
		h.m.Tick()
	}
	w.crash(h, rapid.IntRange(afterEarly, wholly).Draw(t, "until"))
	w.start(h)
}

// actDeposeLeader isolates the leader, lets it append entries that no other member
// receives, and lets the other members elect a new leader and append entries of theirs.
func (w *world) actUsurp(t *rapid.T) {
	h := w.pickLeader(t)
	w.isolate(h)
	w.actProposeAt(t, h)
	w.rounds(rapid.IntRange(15, 40).Draw(t, "n"))
	if l := w.leader(); l != nil {
		w.actProposeAt(t, l)
	}
}

func (w *world) actRestart(t *rapid.T) {
	for _, h := range w.sorted() {
		if h.m == nil && !w.isLost(h) {
			w.start(h)
		}
	}
}

// isDiskReplaced reports whether a newer disk uses the id of h.
func (w *world) isLost(h *host) bool {
	for _, o := range w.hosts {
		if o.id == h.id && o.disk > h.disk {
			return true
		}
	}
	return false
}

func (w *world) actCompact(t *rapid.T) {
	w.compact(w.pick(t), rapid.Uint64Range(0, 5).Draw(t, "keep"))
}

func (w *world) actAdd(t *rapid.T) {
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
	w.pump(h)
}

func (w *world) actPromote(t *rapid.T) {
	h := w.pickLeader(t)
	for _, b := range h.m.conf().Members {
		if b.Learner {
			_, _, _ = h.m.ProposeConf(ConfChange{Promote, b})
		}
	}
	w.pump(h)
}

func (w *world) actRemove(t *rapid.T) {
	h := w.pickLeader(t)
	bs := h.m.conf().Members
	b := bs[rapid.IntRange(0, len(bs)-1).Draw(t, "member")]
	_, _, _ = h.m.ProposeConf(ConfChange{Remove, b})
	w.pump(h)
}

// actReplace replaces a VM's disk by a blank one and restarts the VM under the same id
// with the same start-up flags, which is an operator error. The group must tolerate one
// such loss at a time.
func (w *world) actReplace(t *rapid.T) {
	h := w.pick(t)
	if w.lost > 0 {
		t.Skip("one disk at a time")
	}
	for _, o := range w.up() {
		if voterCount(o.m.conf()) == 1 {
			t.Skip("the only copy may be on this disk")
		}
	}
	w.lost++
	genesis := h.stored.Snapshot
	if genesis.GetIndex() != 0 || voterCount(genesis.GetConf()) == 1 {
		genesis = nil // a single-member group must not be bootstrapped again, see Bootstrap
	}
	h.m = nil
	w.addHost(h.id, genesis)
}

func (w *world) actTransfer(t *rapid.T) {
	h := w.pickLeader(t)
	_ = h.m.Transfer(0)
	w.pump(h)
}

// healAndCheckProgress ends all faults. If a quorum of disks is left, the group must
// elect a leader and commit an entry, and all members must apply it.
func (w *world) finish() {
	for _, h := range w.sorted() {
		if h.m == nil && !w.isLost(h) {
			w.start(h)
		}
	}
	w.calm(150)
	if !w.canDecide() {
		return
	}
	h := w.mustLead()
	index := w.mustCommit(h)
	for _, b := range h.m.conf().Members {
		o := w.hosts[b.Disk]
		if o != nil && o.m != nil && o.state.applied < index {
			w.t.Fatalf("member %d has applied %d of %d after the faults ended: %s", o.id, o.state.applied, index, w)
		}
	}
}

// hasQuorumOfDisks reports whether a quorum of disks is left, both for the last committed
// configuration and for every later one that a running VM uses.
func (w *world) canDecide() bool {
	if w.group == nil {
		return w.lost == 0 // a group without bound disks needs all of its first disks
	}
	groups := []*Conf{w.group}
	for _, h := range w.up() {
		if h.m.confs.newest().index > w.groupAt {
			groups = append(groups, h.m.conf())
		}
	}
	for _, c := range groups {
		n := 0
		for _, b := range c.Members {
			if o := w.hosts[b.Disk]; !b.Learner && o != nil && o.m != nil {
				n++
			}
		}
		if n < quorumSize(c) {
			return false
		}
	}
	return true
}
