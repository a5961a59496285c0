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
type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

// host is a control VM with its disk. Only id, disk and persisted survive a crash.
type host struct {
	id, disk  uint64
	m         *Machine    // nil while down
	persisted StoredState // state that was synced
	state     appState
}

type entryID struct{ index, term uint64 }

// cluster runs machines on a simulated network that can lose, delay, reorder and
// duplicate messages, and checks the invariants of the group at every step.
type cluster struct {
	t            fataler
	rng          *rand.Rand
	hosts        map[uint64]*host // by disk
	inFlight     [][]byte
	blockedLinks map[[2]uint64]bool // from disk, to disk
	lastDisk     uint64

	lossRate, duplicateRate, delayRate float64 // probabilities per message
	deliverBeforeSyncRate              float64 // probability that messages are delivered before a sync is complete
	crashRate                          float64 // probability of a crash while a Ready is processed
	deliveringBeforeSync               bool
	withoutIdentity                    bool // machines start as those of a release without group identities

	leaders            map[uint64]uint64     // term -> disk
	entries            map[entryID]string    // content and term of the predecessor
	committed          map[uint64]string     // index -> content
	committedTerms     map[uint64]uint64     // index -> term, committed
	stateHashes        map[uint64]uint64     // index -> hash of the application state
	commitAtRead       map[uint64]uint64     // read token -> highest committed index at the time of the request
	reads              map[uint64]*ReadState // finished
	newestCommitted    uint64                // highest index in committed
	committedConf      *Conf                 // last committed one, from the entry at committedConfIndex
	committedConfIndex uint64
	lastToken          uint64
	onApply            func(h *host, e *Entry, swapped bool)
	onRead             func(h *host, r ReadState)
}

func newCluster(t fataler, seed uint64, n int) *cluster {
	c := &cluster{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), hosts: map[uint64]*host{}, blockedLinks: map[[2]uint64]bool{},
		leaders: map[uint64]uint64{}, entries: map[entryID]string{}, committed: map[uint64]string{},
		committedTerms: map[uint64]uint64{}, stateHashes: map[uint64]uint64{}, commitAtRead: map[uint64]uint64{}, reads: map[uint64]*ReadState{},
	}
	var members []*Member
	for id := 1; id <= n; id++ {
		members = append(members, &Member{Id: uint64(id), Name: fmt.Sprint("vm", id)})
	}
	bootSnapshot, err := Bootstrap(members)
	if err != nil {
		t.Fatalf("bootstrap: %v", err)
	}
	for id := 1; id <= n; id++ {
		c.addHost(uint64(id), bootSnapshot)
	}
	return c
}

// newClusterWithoutIdentity returns a cluster whose members know no group identities.
func newClusterWithoutIdentity(t fataler, seed uint64, n int) *cluster {
	c := newCluster(t, seed, n)
	c.withoutIdentity = true
	for _, h := range c.sortedHosts() {
		c.start(h)
	}
	return c
}

// addHost starts a VM on a new disk.
func (c *cluster) addHost(id uint64, bootSnapshot *Snapshot) *host {
	c.lastDisk++
	h := &host{id: id, disk: 1000 + c.lastDisk}
	h.persisted = StoredState{HardState: &HardState{Disk: h.disk}, Snapshot: bootSnapshot}
	c.hosts[h.disk] = h
	c.start(h)
	return h
}

func (c *cluster) start(h *host) {
	cfg := DefaultConfig(h.id, c.rng.Uint64())
	cfg.MaxAppendBytes, cfg.MaxInflight = 120, 3
	if !c.withoutIdentity {
		cfg.NewGroup = fmt.Appendf(nil, "group of %d", h.disk)
	}
	m, err := New(cfg, h.persisted)
	if err != nil {
		c.t.Fatalf("start of %d: %v", h.id, err)
	}
	h.m, h.state = m, decodeState(h.persisted.Snapshot.GetData())
}

func (c *cluster) sortedHosts() []*host {
	var hs []*host
	for _, h := range c.hosts {
		hs = append(hs, h)
	}
	slices.SortFunc(hs, func(a, b *host) int { return int(a.disk) - int(b.disk) })
	return hs
}

// runningHosts returns the running hosts, ordered by disk.
func (c *cluster) runningHosts() []*host {
	return slices.DeleteFunc(c.sortedHosts(), func(h *host) bool { return h.m == nil })
}

func (c *cluster) host(id uint64) *host {
	for _, h := range c.runningHosts() {
		if h.id == id {
			return h
		}
	}
	return nil
}

func (c *cluster) leader() *host {
	var best *host
	for _, h := range c.runningHosts() {
		if h.m.role == Leader && (best == nil || h.m.hardState.Term > best.m.hardState.Term) {
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
	afterAll
)

// isolate blocks all links of a VM in both directions.
func (c *cluster) isolate(h *host) {
	for _, o := range c.sortedHosts() {
		c.blockedLinks[[2]uint64{h.disk, o.disk}] = true
		c.blockedLinks[[2]uint64{o.disk, h.disk}] = true
	}
}

// processReady does the work of a Ready up to the given point.
func (c *cluster) processReady(h *host, until int) {
	rd := h.m.Ready()
	c.enqueue(rd.EarlyMessages)
	if !c.deliveringBeforeSync && c.rng.Float64() < c.deliverBeforeSyncRate {
		c.deliveringBeforeSync = true
		c.deliver()
		c.deliveringBeforeSync = false
	}
	if until == afterEarly {
		return
	}
	h.persist(rd)
	c.checkEntries(h, rd.Entries)
	if until == afterSync {
		return
	}
	c.enqueue(rd.Messages)
	if until == afterSend {
		return
	}
	if rd.Snapshot != nil {
		h.state = decodeState(rd.Snapshot.Data)
		c.checkStateHash(h)
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

func (h *host) persist(rd Ready) {
	if rd.Snapshot != nil {
		h.persisted.Snapshot, h.persisted.Entries = rd.Snapshot, nil
	}
	if rd.HardState != nil {
		h.persisted.HardState = proto.CloneOf(rd.HardState)
	}
	if len(rd.Entries) > 0 {
		es := h.persisted.Entries
		for len(es) > 0 && es[len(es)-1].Index >= rd.Entries[0].Index {
			es = es[:len(es)-1]
		}
		h.persisted.Entries = append(es, rd.Entries...)
	}
}

func (c *cluster) processAllReady(h *host) {
	for h.m != nil && h.m.HasReady() {
		if c.rng.Float64() < c.crashRate {
			c.crash(h, c.rng.IntN(afterAll))
			c.start(h)
			return
		}
		c.processReady(h, afterAll)
	}
}

func (c *cluster) enqueue(msgs []*Message) {
	for _, msg := range msgs {
		b, err := Encode(msg)
		if err != nil {
			c.t.Fatalf("encode: %v", err)
		}
		for copies := 1; copies > 0; copies-- {
			c.inFlight = append(c.inFlight, b)
			if c.rng.Float64() < c.duplicateRate {
				copies++
			}
		}
	}
}

// deliver delivers every message that is in flight, in random order if delayRate is
// set. Replies stay in flight until the next call.
func (c *cluster) deliver() {
	pending := c.inFlight
	c.inFlight = nil
	if c.delayRate > 0 {
		c.rng.Shuffle(len(pending), func(i, j int) { pending[i], pending[j] = pending[j], pending[i] })
	}
	for _, b := range pending {
		switch {
		case c.rng.Float64() < c.lossRate:
		case c.rng.Float64() < c.delayRate:
			c.inFlight = append(c.inFlight, b)
		default:
			c.deliverMessage(b)
		}
	}
}

func (c *cluster) deliverMessage(b []byte) {
	msg, err := Decode(b)
	if err != nil {
		c.t.Fatalf("decode: %v", err)
	}
	for _, h := range c.runningHosts() {
		// A message for an id reaches every running disk with that id.
		if h.id != msg.To || c.blockedLinks[[2]uint64{msg.FromDisk, h.disk}] {
			continue
		}
		_ = h.m.Step(msg)
		c.checkLeader(h)
		c.processAllReady(h)
	}
}

// runTicks runs n ticks at every VM, with 3 deliveries after each.
func (c *cluster) runTicks(n int) {
	for range n {
		for _, h := range c.runningHosts() {
			h.m.Tick()
			c.checkLeader(h)
			c.processAllReady(h)
		}
		for range 3 {
			c.deliver()
		}
	}
}

// crash stops a VM after it has processed its next Ready up to the given point.
func (c *cluster) crash(h *host, until int) {
	if h.m.HasReady() && until != afterAll {
		c.processReady(h, until)
	}
	h.m = nil
}

func (c *cluster) compact(h *host, keep uint64) {
	s, err := h.m.Snapshot(h.state.applied, h.state.encode())
	if err != nil {
		return // nothing was applied since the last snapshot
	}
	h.m.Compact(s, keep)
	h.persisted.Snapshot = s
	h.persisted.Entries = slices.DeleteFunc(slices.Clone(h.persisted.Entries), func(e *Entry) bool { return e.Index <= s.Index })
}

func (c *cluster) read(h *host) uint64 {
	c.lastToken++
	c.commitAtRead[c.lastToken] = c.newestCommitted
	if h.m.ReadIndex(c.lastToken) != nil {
		return 0
	}
	return c.lastToken
}

// healNetwork ends all faults and then runs the given number of ticks.
func (c *cluster) healNetwork(ticks int) {
	c.lossRate, c.duplicateRate, c.delayRate, c.deliverBeforeSyncRate, c.crashRate = 0, 0, 0, 0, 0
	clear(c.blockedLinks)
	c.runTicks(ticks)
}

// waitForLeader runs ticks until a leader with an active quorum has committed in its
// term.
func (c *cluster) waitForLeader() *host {
	c.t.Helper()
	for range 100 {
		if h := c.leader(); h != nil && h.m.committedInTerm() && h.m.QuorumActive() {
			return h
		}
		c.runTicks(1)
	}
	c.t.Fatalf("no leader after 100 ticks: %s", c)
	return nil
}

// proposeAndWait proposes a command, runs 20 ticks and checks that it is committed.
func (c *cluster) proposeAndWait(h *host) uint64 {
	c.t.Helper()
	index, term, err := h.m.Propose(command(h.state.value, h.state.value+1, 0))
	if err != nil {
		c.t.Fatalf("propose: %v", err)
	}
	c.processAllReady(h)
	c.runTicks(20)
	if c.committedTerms[index] != term {
		c.t.Fatalf("entry %d of term %d was not committed: %s", index, term, c)
	}
	return index
}

// changeMembership proposes a membership change, runs 20 ticks and checks that it is
// committed.
func (c *cluster) changeMembership(h *host, op ConfOp, member *Member) {
	c.t.Helper()
	index, term, err := h.m.ProposeConf(ConfChange{op, member})
	if err != nil {
		c.t.Fatalf("%s member %d: %v", op, member.Id, err)
	}
	c.processAllReady(h)
	c.runTicks(20)
	if c.committedTerms[index] != term {
		c.t.Fatalf("%s member %d was not committed: %s", op, member.Id, c)
	}
}

func (c *cluster) String() string {
	s := ""
	for _, h := range c.runningHosts() {
		st := h.m.Status()
		s += fmt.Sprintf("\n%d/%d %s term %d leader %d commit %d last %d members %v", h.id, h.disk, st.Role, st.Term,
			st.Leader, st.Commit, st.LastIndex, st.Conf.GetMembers())
	}
	return s
}
