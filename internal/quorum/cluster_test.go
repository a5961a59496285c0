package quorum

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
)

// TestMain sets a fixed seed, so that every run has the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	fixed := map[string]string{"rapid.seed": "20261202", "rapid.checks": "1200", "rapid.steps": "50"}
	for name, value := range fixed {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// fataler is implemented by *testing.T, *testing.B and *rapid.T.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// host is a control VM with its disk. Only id, disk and persisted survive a crash.
type host struct {
	id, disk uint64
	m        *Machine // nil while down
	stored   Stored   // state that was synced
	state    appState
}

type position struct{ index, term uint64 }

// cluster runs machines on a simulated network that can lose, delay, reorder and
// duplicate messages, and checks the invariants of the group at every step.
type cluster struct {
	t     failer
	rng   *rand.Rand
	hosts map[uint64]*host // by disk
	wire  [][]byte
	cut   map[[2]uint64]bool // from disk, to disk
	disks uint64

	loss, repeat, delay float64 // probabilities per message
	eager               float64 // probability that messages are delivered before a sync is complete
	fragile             float64 // probability of a crash while a Ready is processed
	nested              bool

	leaders   map[uint64]uint64     // term -> disk
	entries   map[position]string   // content and term of the predecessor
	committed map[uint64]string     // index -> content
	terms     map[uint64]uint64     // index -> term, committed
	chains    map[uint64]uint64     // index -> hash of the application state
	asked     map[uint64]uint64     // read token -> highest committed index at the time of the request
	reads     map[uint64]*ReadState // finished
	newest    uint64                // highest index in committed
	group     *Conf                 // last committed one, from the entry at committedConfIndex
	groupAt   uint64
	tokens    uint64
	onApply   func(h *host, e *Entry, swapped bool)
	onRead    func(h *host, r ReadState)
}

func newCluster(t failer, seed uint64, n int) *cluster {
	c := &cluster{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), hosts: map[uint64]*host{}, cut: map[[2]uint64]bool{},
		leaders: map[uint64]uint64{}, entries: map[position]string{}, committed: map[uint64]string{},
		terms: map[uint64]uint64{}, chains: map[uint64]uint64{}, asked: map[uint64]uint64{}, reads: map[uint64]*ReadState{},
	}
	var members []*Member
	for id := 1; id <= n; id++ {
		members = append(members, &Member{Id: uint64(id), Name: fmt.Sprint("vm", id)})
	}
	genesis, err := Bootstrap(members)
	if err != nil {
		t.Fatalf("bootstrap: %v", err)
	}
	for id := 1; id <= n; id++ {
		c.addHost(uint64(id), genesis)
	}
	return c
}

// addHost starts a VM on a new disk.
func (c *cluster) addHost(id uint64, genesis *Snapshot) *host {
	c.disks++
	h := &host{id: id, disk: 1000 + c.disks}
	h.stored = Stored{HardState: &HardState{Disk: h.disk}, Snapshot: genesis}
	c.hosts[h.disk] = h
	c.start(h)
	return h
}

func (c *cluster) start(h *host) {
	cfg := DefaultConfig(h.id, c.rng.Uint64())
	cfg.MaxAppendBytes, cfg.MaxInflight = 120, 3
	m, err := New(cfg, h.stored)
	if err != nil {
		c.t.Fatalf("start of %d: %v", h.id, err)
	}
	h.m, h.state = m, decodeState(h.stored.Snapshot.GetData())
}

func (c *cluster) sorted() []*host {
	var hs []*host
	for _, h := range c.hosts {
		hs = append(hs, h)
	}
	slices.SortFunc(hs, func(a, b *host) int { return int(a.disk) - int(b.disk) })
	return hs
}

// runningHosts returns the running hosts, ordered by disk.
func (c *cluster) up() []*host {
	return slices.DeleteFunc(c.sorted(), func(h *host) bool { return h.m == nil })
}

func (c *cluster) host(id uint64) *host {
	for _, h := range c.up() {
		if h.id == id {
			return h
		}
	}
	return nil
}

func (c *cluster) leader() *host {
	var best *host
	for _, h := range c.up() {
		if h.m.role == Leader && (best == nil || h.m.hard.Term > best.m.hard.Term) {
			best = h
		}
	}
	return best
}

// Points at which the processing of a Ready may be interrupted by a crash.
const (
	afterEarly = iota
	afterSync
	afterSend
	wholly
)

// isolate blocks all links of a VM in both directions.
func (c *cluster) isolate(h *host) {
	for _, o := range c.sorted() {
		c.cut[[2]uint64{h.disk, o.disk}] = true
		c.cut[[2]uint64{o.disk, h.disk}] = true
	}
}

// processReady does the work of a Ready up to the given point.
func (c *cluster) carryOut(h *host, until int) {
	rd := h.m.Ready()
	c.post(rd.Early)
	if !c.nested && c.rng.Float64() < c.eager {
		c.nested = true
		c.deliver()
		c.nested = false
	}
	if until == afterEarly {
		return
	}
	h.sync(rd)
	c.checkEntries(h, rd.Entries)
	if until == afterSync {
		return
	}
	c.post(rd.Messages)
	if until == afterSend {
		return
	}
	if rd.Snapshot != nil {
		h.state = decodeState(rd.Snapshot.Data)
		c.checkChain(h)
	}
	for _, e := range rd.Committed {
		c.apply(h, e)
	}
	for _, r := range rd.Reads {
		c.finishRead(h, r)
	}
	h.m.Advance()
	c.checkLeader(h)
}

func (h *host) sync(rd Ready) {
	if rd.Snapshot != nil {
		h.stored.Snapshot, h.stored.Entries = rd.Snapshot, nil
	}
	if rd.HardState != nil {
		h.stored.HardState = proto.CloneOf(rd.HardState)
	}
	if len(rd.Entries) > 0 {
		es := h.stored.Entries
		for len(es) > 0 && es[len(es)-1].Index >= rd.Entries[0].Index {
			es = es[:len(es)-1]
		}
		h.stored.Entries = append(es, rd.Entries...)
	}
}

func (c *cluster) pump(h *host) {
	for h.m != nil && h.m.HasReady() {
		if c.rng.Float64() < c.fragile {
			c.crash(h, c.rng.IntN(wholly))
			c.start(h)
			return
		}
		c.carryOut(h, wholly)
	}
}

func (c *cluster) post(msgs []*Message) {
	for _, msg := range msgs {
		b, err := Encode(msg)
		if err != nil {
			c.t.Fatalf("encode: %v", err)
		}
		for copies := 1; copies > 0; copies-- {
			c.wire = append(c.wire, b)
			if c.rng.Float64() < c.repeat {
				copies++
			}
		}
	}
}

// deliver delivers every message that is in flight, in random order if delayRate is
// set. Replies stay in flight until the next call.
func (c *cluster) deliver() {
	wire := c.wire
	c.wire = nil
	if c.delay > 0 {
		c.rng.Shuffle(len(wire), func(i, j int) { wire[i], wire[j] = wire[j], wire[i] })
	}
	for _, b := range wire {
		switch {
		case c.rng.Float64() < c.loss:
		case c.rng.Float64() < c.delay:
			c.wire = append(c.wire, b)
		default:
			c.handOver(b)
		}
	}
}

func (c *cluster) handOver(b []byte) {
	msg, err := Decode(b)
	if err != nil {
		c.t.Fatalf("decode: %v", err)
	}
	for _, h := range c.up() {
		// A message for an id reaches every running disk with that id.
		if h.id != msg.To || c.cut[[2]uint64{msg.FromDisk, h.disk}] {
			continue
		}
		_ = h.m.Step(msg)
		c.checkLeader(h)
		c.pump(h)
	}
}

// runTicks runs n ticks at every VM, with 3 deliveries after each.
func (c *cluster) rounds(n int) {
	for range n {
		for _, h := range c.up() {
			h.m.Tick()
			c.checkLeader(h)
			c.pump(h)
		}
		for range 3 {
			c.deliver()
		}
	}
}

// crash stops a VM after it has processed its next Ready up to the given point.
func (c *cluster) crash(h *host, until int) {
	if h.m.HasReady() && until != wholly {
		c.carryOut(h, until)
	}
	h.m = nil
}

func (c *cluster) compact(h *host, keep uint64) {
	s, err := h.m.Compact(h.state.applied, h.state.encode(), keep)
	if err != nil {
		return // nothing was applied since the last snapshot
	}
	h.stored.Snapshot = s
	h.stored.Entries = slices.DeleteFunc(slices.Clone(h.stored.Entries), func(e *Entry) bool { return e.Index <= s.Index })
}

func (c *cluster) read(h *host) uint64 {
	c.tokens++
	c.asked[c.tokens] = c.newest
	if h.m.ReadIndex(c.tokens) != nil {
		return 0
	}
	return c.tokens
}

// healNetwork ends all faults and then runs the given number of ticks.
func (c *cluster) calm(rounds int) {
	c.loss, c.repeat, c.delay, c.eager, c.fragile = 0, 0, 0, 0, 0
	clear(c.cut)
	c.rounds(rounds)
}

// waitForLeader runs ticks until a leader with an active quorum has committed in its
// term.
func (c *cluster) mustLead() *host {
	c.t.Helper()
	for range 100 {
		if h := c.leader(); h != nil && h.m.committedInTerm() && h.m.QuorumActive() {
			return h
		}
		c.rounds(1)
	}
	c.t.Fatalf("no leader after 100 ticks: %s", c)
	return nil
}

// proposeAndWait proposes a command, runs 20 ticks and checks that it is committed.
func (c *cluster) mustCommit(h *host) uint64 {
	c.t.Helper()
	index, term, err := h.m.Propose(command(h.state.value, h.state.value+1, 0))
	if err != nil {
		c.t.Fatalf("propose: %v", err)
	}
	c.pump(h)
	c.rounds(20)
	if c.terms[index] != term {
		c.t.Fatalf("entry %d of term %d was not committed: %s", index, term, c)
	}
	return index
}

// changeMembership proposes a membership change, runs 20 ticks and checks that it is
// committed.
func (c *cluster) mustChange(h *host, op ConfOp, b *Member) {
	c.t.Helper()
	index, term, err := h.m.ProposeConf(ConfChange{op, b})
	if err != nil {
		c.t.Fatalf("%s member %d: %v", op, b.Id, err)
	}
	c.pump(h)
	c.rounds(20)
	if c.terms[index] != term {
		c.t.Fatalf("%s member %d was not committed: %s", op, b.Id, c)
	}
}

func (c *cluster) String() string {
	s := ""
	for _, h := range c.up() {
		st := h.m.Status()
		s += fmt.Sprintf("\n%d/%d %s term %d leader %d commit %d last %d members %v", h.id, h.disk, st.Role, st.Term,
			st.Leader, st.Commit, st.LastIndex, st.Conf.GetMembers())
	}
	return s
}
