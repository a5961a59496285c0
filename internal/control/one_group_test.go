package control

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"pearmoor/internal/link/wire"
	"pearmoor/internal/vm"
)

var (
	schedules     = flag.Int("schedules", 40, "number of schedules of TestAcknowledgedReleasesStayInOneGroup")
	firstSchedule = flag.Uint64("first-schedule", 1, "seed of the first of them")
)

// scheduleSteps is the number of steps with faults in a schedule.
const scheduleSteps = 40

// groupSchedule is a random sequence of faults and releases. As the platform promises, the
// settings of the first start are the same on all VMs, a VM with a new disk is not told that
// it is the first start, and no second disk is lost before the first has been replaced. While
// the group is being founded one disk may be lost, and what is killed may or may not be told
// that it is the first start.
type groupSchedule struct {
	*simulation
	seeds  []string // of the first start
	number uint64   // of the last release sent
	acked  uint64   // the highest acknowledged release
	groups map[vm.GroupID]string
	// lostFirst tells whether a disk was lost before the group was founded.
	lostFirst bool
	healAt    map[string]vm.Instant
	startAt   map[string]vm.Instant
	killAt    map[string]vm.Instant
	trace     bytes.Buffer
}

func (s *groupSchedule) logf(format string, args ...any) {
	fmt.Fprintf(&s.trace, "%8.3f %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
}

func (s *groupSchedule) chance(p float64) bool { return s.rng.Float64() < p }

func (s *groupSchedule) between(from, to time.Duration) time.Duration {
	return from + time.Duration(s.rng.Int64N(int64(to-from)))
}

func (s *groupSchedule) in(from, to time.Duration) vm.Instant {
	return s.clock().Add(s.between(from, to))
}

func (s *groupSchedule) pick() string { return s.addrs()[s.rng.IntN(len(s.vms))] }

// subset returns n random addresses.
func (s *groupSchedule) subset(n int) []string {
	addrs := s.addrs()
	s.rng.Shuffle(len(addrs), func(i, k int) { addrs[i], addrs[k] = addrs[k], addrs[i] })
	return addrs[:n]
}

// pause lets time pass and carries out what is due.
func (s *groupSchedule) pause(d time.Duration) {
	const step = 50 * time.Millisecond
	for end := s.clock().Add(d); s.clock() < end; {
		time.Sleep(step)
		synctest.Wait()
		for _, addr := range s.addrs() {
			if due(s.killAt, addr, s.clock()) {
				s.logf("kill %s", addr)
				s.killVM(addr)
				s.startAt[addr] = s.in(0, 4*time.Second)
			}
			if due(s.healAt, addr, s.clock()) {
				s.logf("heal %s", addr)
				s.heal(addr)
			}
			if due(s.startAt, addr, s.clock()) && s.vms[addr].process == nil {
				s.restart(addr)
			}
		}
	}
}

func due(at map[string]vm.Instant, addr string, now vm.Instant) bool {
	t, ok := at[addr]
	if !ok || now < t {
		return false
	}
	delete(at, addr)
	return true
}

// restart starts a VM on the disk that it has. Its settings may still say that it is the first
// start, unless the group is in use and the disk never was.
func (s *groupSchedule) restart(addr string) {
	v := s.vms[addr]
	if s.acked > 0 && !v.used || v.used && s.chance(0.3) {
		v.firstStart = false
	}
	s.logf("start %s first=%v used=%v seeds=%v", addr, v.firstStart, v.used, v.seeds)
	s.startVM(addr)
}

// putReleases sends a release to each VM. Only leaders acknowledge it.
func (s *groupSchedule) putReleases() error {
	for _, addr := range s.addrs() {
		p := s.vms[addr].process
		if p == nil || p.member.Node() == nil {
			continue
		}
		n := p.member.Node()
		s.number++
		body, err := json.Marshal(testRelease(s.number, time.Second))
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		reply, err := (&operatorServer{n}).PutRelease(ctx, &wire.ReleaseRequest{Release: body})
		cancel()
		if err != nil || reply.Redirect != "" {
			continue
		}
		if len(reply.Faults) > 0 {
			return errors.Newf("faults of release %d: %v", s.number, reply.Faults)
		}
		s.logf("%s acknowledged release %d in group %s as member %d", addr, s.number, n.GroupID(), n.cfg.ID)
		s.acked = max(s.acked, s.number)
		s.groups[n.GroupID()] = addr
		if len(s.groups) > 1 {
			return errors.Newf("releases acknowledged in %d groups: %v", len(s.groups), s.groups)
		}
	}
	return nil
}

// mayLoseDisk reports whether every voter still has its disk and enough of them remain.
func (s *groupSchedule) mayLoseDisk() bool {
	n := s.leader()
	if n == nil {
		return false
	}
	l := n.leadership.Load()
	voters := 0
	for _, m := range l.conf.GetMembers() {
		v := s.vms[m.PeerAddr]
		if m.Learner || v == nil || v.process == nil || v.process.member.Node() == nil || v.process.member.Node().cfg.ID != m.Id {
			return false
		}
		voters++
	}
	return l.status.ConfCommitted && voters >= 3
}

func (s *groupSchedule) actIsolate() {
	addr := s.pick()
	if len(s.healAt) > 1 {
		return
	}
	hold := s.chance(0.5)
	s.logf("isolate %s hold=%v", addr, hold)
	s.isolate(addr, hold)
	s.healAt[addr] = s.in(500*time.Millisecond, 4*simRemoveSilentAfter)
	if s.chance(0.5) {
		s.killAt[addr] = s.healAt[addr].Add(s.between(0, 3*time.Second))
	}
}

func (s *groupSchedule) actKill() {
	addr := s.pick()
	s.logf("kill %s", addr)
	s.killVM(addr)
	s.startAt[addr] = s.in(0, 3*simRemoveSilentAfter)
}

func (s *groupSchedule) actKillAll() {
	s.logf("kill all")
	for _, addr := range s.addrs() {
		s.killVM(addr)
		s.startAt[addr] = s.in(0, time.Second)
	}
}

// mayLoseDiskOfFirstStart reports whether a founder may lose its disk before the group is
// founded. The others have to know that it is not.
func (s *groupSchedule) mayLoseDiskOfFirstStart(addr string) bool {
	if s.lostFirst || s.leader() != nil || s.acked > 0 || !slices.Contains(s.seeds, addr) {
		return false
	}
	for _, other := range s.seeds {
		p := s.vms[other].process
		if p == nil {
			return false
		}
		if n := p.member.Node(); other != addr && (n == nil || !n.leadership.Load().status.Unbound) {
			return false
		}
	}
	return len(s.seeds) > 1
}

func (s *groupSchedule) actLoseDiskOfFirstStart() {
	for range 20 {
		addr := s.seeds[s.rng.IntN(len(s.seeds))]
		if s.mayLoseDiskOfFirstStart(addr) {
			s.lostFirst = true
			s.loseDisk(addr)
			return
		}
		s.pause(50 * time.Millisecond)
	}
}

func (s *groupSchedule) actLoseDisk() {
	if addr := s.pick(); s.mayLoseDisk() {
		s.loseDisk(addr)
	}
}

func (s *groupSchedule) loseDisk(addr string) {
	s.logf("lose disk %s", addr)
	s.killVM(addr)
	v := s.vms[addr]
	v.fs, v.used, v.firstStart = newMemFS(), false, false
	s.startAt[addr] = s.in(0, 3*time.Second)
}

func (s *groupSchedule) actExchangeSeeds() {
	if s.acked == 0 {
		return
	}
	for _, addr := range s.subset(1 + s.rng.IntN(len(s.vms))) {
		seeds := []string{addr}
		if s.chance(0.5) {
			seeds = s.subset(1 + s.rng.IntN(3))
		}
		s.logf("seeds of %s are %v", addr, seeds)
		s.setSeeds(addr, seeds)
	}
}

func (s *groupSchedule) actNetwork() {
	loss := []float64{0, 0, 0.05, 0.2}[s.rng.IntN(4)]
	delay := []time.Duration{time.Millisecond, 20 * time.Millisecond, 200 * time.Millisecond, time.Second}[s.rng.IntN(4)]
	s.logf("network loss=%v delay=%v", loss, delay)
	s.setQuality(loss, delay)
}

func (s *groupSchedule) run() error {
	n := 4 + s.rng.IntN(2)
	var all []string
	for i := range n {
		all = append(all, simAddr(i+1))
	}
	s.seeds = all[:1+s.rng.IntN(n)]
	for _, addr := range all {
		s.addVM(addr, s.seeds)
		s.startAt[addr] = s.in(0, 300*time.Millisecond)
	}
	s.logf("%d VMs, seeds %v", n, s.seeds)
	acts := []func(){
		s.actIsolate, s.actIsolate, s.actIsolate, s.actKill, s.actKill, s.actKillAll, s.actLoseDisk, s.actLoseDisk,
		s.actExchangeSeeds, s.actExchangeSeeds, s.actNetwork, func() {},
	}
	if s.chance(0.5) {
		s.actNetwork()
	}
	switch s.rng.IntN(4) {
	case 0:
		s.actLoseDiskOfFirstStart()
	case 1:
		s.pause(s.between(0, time.Second))
		s.actKillAll()
	}
	s.pause(s.between(50*time.Millisecond, 6*time.Second))
	for range scheduleSteps {
		acts[s.rng.IntN(len(acts))]()
		s.pause(s.between(50*time.Millisecond, 2500*time.Millisecond))
		if err := s.putReleases(); err != nil {
			return err
		}
	}
	return s.checkReadBack(all)
}

// checkReadBack ends all faults and returns an error unless the group then has the
// acknowledged releases.
func (s *groupSchedule) checkReadBack(all []string) error {
	const recovery = 2 * time.Minute
	clear(s.killAt)
	s.setQuality(0, time.Millisecond)
	for _, addr := range all {
		s.setSeeds(addr, all)
		s.heal(addr)
	}
	s.pause(10 * time.Second)
	acked := s.acked
	for end := s.clock().Add(recovery); s.clock() < end; s.pause(time.Second) {
		n := s.leader()
		if n == nil {
			continue
		}
		reply, err := (&operatorServer{n}).Newest(context.Background(), &wire.NewestRequest{})
		if err != nil || reply.Redirect != "" {
			continue
		}
		if reply.GetHeld() < acked {
			return errors.Newf("release %d was acknowledged, but %s leads group %s with release %d", acked, n.cfg.PeerAddr, n.GroupID(), reply.GetHeld())
		}
		if err := s.putReleases(); err != nil {
			return err
		}
		if s.acked > acked {
			s.mu.Lock()
			defer s.mu.Unlock()
			return errors.Join(s.err...)
		}
	}
	return errors.Newf("no release is acknowledged %v after the last fault", recovery)
}

// captureLogs collects the log in place of writing it to the standard error until the test
// ends. A test that has failed prints it.
func captureLogs(t *testing.T) *bytes.Buffer {
	logs := &bytes.Buffer{}
	var flags flag.FlagSet
	klog.InitFlags(&flags)
	set := func(values map[string]string) {
		for name, value := range values {
			if err := flags.Set(name, value); err != nil {
				t.Fatal(err)
			}
		}
	}
	previous := make(map[string]string)
	flags.VisitAll(func(f *flag.Flag) { previous[f.Name] = f.Value.String() })
	wanted := map[string]string{"logtostderr": "false", "stderrthreshold": "FATAL", "one_output": "true"}
	set(wanted)
	klog.SetOutput(logs)
	t.Cleanup(func() {
		klog.Flush()
		if t.Failed() {
			t.Logf("%s", logs)
		}
		for name := range wanted {
			wanted[name] = previous[name]
		}
		set(wanted)
	})
	return logs
}

// Two groups in one tier acknowledge changes of which the other one never hears.
func TestAcknowledgedReleasesStayInOneGroup(t *testing.T) {
	logs := captureLogs(t)
	var acked, removed, lost, lostFirst int
	for seed := *firstSchedule; seed < *firstSchedule+uint64(*schedules); seed++ {
		logs.Reset()
		var err error
		var s *groupSchedule
		synctest.Test(t, func(*testing.T) {
			s = &groupSchedule{
				simulation: newSimulation(seed), groups: make(map[vm.GroupID]string),
				healAt: make(map[string]vm.Instant), startAt: make(map[string]vm.Instant), killAt: make(map[string]vm.Instant),
			}
			err = s.run()
			s.stop()
		})
		klog.Flush()
		acked += bytes.Count(s.trace.Bytes(), []byte(" acknowledged "))
		removed += bytes.Count(logs.Bytes(), []byte("was removed from group"))
		lost += bytes.Count(s.trace.Bytes(), []byte(" lose disk "))
		if s.lostFirst {
			lostFirst++
		}
		if err != nil {
			t.Errorf("seed %d: %v\n%s%s", seed, err, s.trace.Bytes(), logs.Bytes())
		}
	}
	t.Logf("%d schedules: %d releases acknowledged, %d members removed, %d disks lost, %d of them before a group was founded", *schedules, acked, removed, lost, lostFirst)
}
