package test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"pearmoor/internal/cli"
	"pearmoor/internal/freeport"
	"pearmoor/internal/standin"
)

// Paths in the configuration tree of every test.
const (
	region = "valley"
	desk   = "valley/desk"   // three query services with two leaves of two slots each
	ledger = "valley/ledger" // one query service with three leaves of three slots each
)

const (
	deskServices = 3
	deskSlots    = 2
	ledgerSlots  = 3
	deskCap      = 30
	leaseSetting = 3 * time.Second
)

var failureDomains = []string{"hall-a", "hall-b", "hall-c"}

// tierConfig describes the tier that a test starts.
type shape struct {
	controls int
	entries  int
	network  bool              // route peer connections through the test's network
	tree     map[string]string // root settings in addition to the defaults of writeTree
	region   map[string]string // region settings in addition to the defaults of writeTree
	entry    []string          // additional flags of each entry VM
}

// tier is a running tier: daemons as processes, and stand-in leaves in the test process.
type tier struct {
	t        *testing.T
	dir      string
	fleet    *standin.Fleet
	network  *network
	controls []*process
	entries  []*process
}

// startTier starts the control VMs, applies the tree, starts the entry VMs and waits
// until all of them are ready and answer with full coverage.
func startTier(t *testing.T, s shape) *tier {
	t.Helper()
	tr := &tier{t: t, dir: t.TempDir()}
	if s.network {
		tr.network = newNetwork(t)
	}
	tr.startLeaves()
	tr.startControl(s.controls)
	tr.must("apply", tr.writeTree(s), "--reason=the tree of this test", "--wait=20s")
	for i := range s.entries {
		tr.entries = append(tr.entries, tr.newEntry(fmt.Sprintf("entry-%d", i+1), i, s.entry))
	}
	for _, p := range tr.entries {
		p.launch()
	}
	for _, p := range tr.entries {
		p.serves()
	}
	tr.awaitReady(tr.entries...)
	tr.awaitWhole()
	return tr
}

func (tr *tier) startLeaves() {
	tr.t.Helper()
	b := standin.DefaultBehavior()
	b.Slots, b.Connections = deskSlots, deskCap
	var services []standin.ServiceSpec
	for i := range deskServices {
		services = append(services, standin.ServiceSpec{
			Path: fmt.Sprintf("%s/search-%d", desk, i+1), Leaves: leafNames(fmt.Sprintf("search-%d", i+1), 2), Behavior: b, Shards: 3,
		})
	}
	b.Slots = ledgerSlots
	services = append(services, standin.ServiceSpec{Path: ledger, Leaves: leafNames("ledger", 3), Behavior: b})
	fleet, err := standin.StartFleet(standin.FleetConfig{Services: services, Host: "127.0.0.1", Seed: 1})
	if err != nil {
		tr.t.Fatal(err)
	}
	tr.fleet = fleet
	tr.t.Cleanup(fleet.Close)
}

func leafNames(service string, n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("%s-%c", service, 'a'+i))
	}
	return names
}

// writeTree writes the configuration tree with the addresses of the leaves, whose
// ports were picked by the kernel, and returns its path.
func (tr *tier) writeTree(s shape) string {
	tr.t.Helper()
	var b strings.Builder
	b.WriteString("settings:\n")
	writeSettings(&b, "  ", map[string]string{
		"daemon-lease": leaseSetting.String(), "address-lifetime": "1s", "resend-window": "1m",
		"deadline-default": "800ms", "deadline-max": "1s",
	}, s.tree)
	fmt.Fprintf(&b, "nodes:\n  %s:\n    settings:\n", region)
	writeSettings(&b, "      ", map[string]string{
		"connect-cost": "0s", "ramp": "0s", "probe-interval": "100ms",
		"leaf-slots": fmt.Sprint(deskSlots), "leaf-connections": fmt.Sprint(deskCap),
	}, s.region)
	b.WriteString("    nodes:\n      desk:\n        nodes:\n")
	for i := range deskServices {
		name := fmt.Sprintf("search-%d", i+1)
		fmt.Fprintf(&b, "          %s:\n            settings:\n", name)
		tr.writeLeaves(&b, "              ", desk+"/"+name, leafNames(name, 2))
	}
	fmt.Fprintf(&b, "      ledger:\n        settings:\n          leaf-slots: %d\n          hedge-budget: 0\n          retry-budget: 0\n", ledgerSlots)
	tr.writeLeaves(&b, "          ", ledger, leafNames("ledger", 3))
	path := filepath.Join(tr.dir, "tree.yaml")
	if err := os.WriteFile(path, []byte(b.String()), 0o600); err != nil {
		tr.t.Fatal(err)
	}
	return path
}

// writeSettings writes the settings in defaults, as changed by overrides.
func writeSettings(b *strings.Builder, indent string, base, own map[string]string) {
	for name, value := range own {
		base[name] = value
	}
	for name, value := range base {
		fmt.Fprintf(b, "%s%s: %s\n", indent, name, value)
	}
}

func (tr *tier) writeLeaves(b *strings.Builder, indent, service string, names []string) {
	fmt.Fprintf(b, "%sleaves:\n", indent)
	for i, name := range names {
		fmt.Fprintf(b, "%s  - %s=%s@%s\n", indent, name, tr.fleet.Addr(service, name), failureDomains[i%len(failureDomains)])
	}
}

// newProcess returns a daemon with its addresses and flags. It does not start it.
func (tr *tier) newProcess(name string, place int, flags ...string) *process {
	tr.t.Helper()
	host := newHost()
	p := &process{t: tr.t, name: name, dir: tr.dir, log: &logBuffer{}}
	addrs, err := freeport.Addrs(host, 3)
	if err != nil {
		tr.t.Fatal(err)
	}
	p.bound, p.oper, p.entry = addrs[0], addrs[1], addrs[2]
	p.peer = p.bound
	p.args = append([]string{
		"--name=" + name, "--region=" + region, "--domain=" + failureDomains[place%len(failureDomains)],
		"--peer-listen=" + p.bound, "--operator-listen=" + p.oper, "--sync-every=200ms", "--platform-every=200ms",
	}, flags...)
	if tr.network != nil {
		tr.network.join(tr.t, p)
		p.args = append(p.args, "--peer-address="+p.peer)
	}
	tr.t.Cleanup(p.close)
	return p
}

func (tr *tier) newEntry(name string, place int, flags []string) *process {
	tr.t.Helper()
	p := tr.newProcess(name, place, flags...)
	p.caller = "http://" + p.entry
	p.args = append(p.args, "--caller-listen="+p.entry, "--control="+tr.controlAddrs())
	return p
}

// newControl returns a control VM that is not started. startControlVMs adds the
// bootstrap flags for the first members.
func (tr *tier) newControl(id, place int) *process {
	tr.t.Helper()
	return tr.newProcess(fmt.Sprintf("control-%d", id), place,
		"--no-entry", fmt.Sprintf("--control-id=%d", id), "--data-dir="+tr.dataDir(id))
}

func (tr *tier) dataDir(id int) string { return filepath.Join(tr.dir, fmt.Sprintf("control-%d", id)) }

func (tr *tier) startControl(n int) {
	tr.t.Helper()
	for id := 1; id <= n; id++ {
		tr.controls = append(tr.controls, tr.newControl(id, id-1))
	}
	found := []string{"--bootstrap"}
	for i, p := range tr.controls {
		found = append(found, fmt.Sprintf("--bootstrap-voter=%d=%s", i+1, p.peer))
	}
	for _, p := range tr.controls {
		own := p.args
		p.args = append(slices.Clone(own), found...)
		p.launch()
		p.args = own // a restart must not bootstrap the group again
	}
	for _, p := range tr.controls {
		p.serves()
	}
}

func (tr *tier) controlAddrs() string {
	var addrs []string
	for _, p := range tr.controls {
		addrs = append(addrs, p.peer)
	}
	return strings.Join(addrs, ",")
}

// runCLI runs the operator's command-line tool against all control VMs.
func (tr *tier) operate(args ...string) (code int, out, errOut string) {
	return operate("asha", tr.controlAddrs(), args...)
}

func operate(operator, control string, args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	args = append([]string{"--plaintext-peers", "--operator-name=" + operator, "--control=" + control}, args...)
	code = cli.Run(context.Background(), args, strings.NewReader(""), &o, &e, "test")
	return code, o.String(), e.String()
}

// mustRun runs the operator's command-line tool and fails the test unless it succeeds.
func (tr *tier) must(args ...string) string {
	tr.t.Helper()
	code, out, errOut := tr.operate(args...)
	if code != cli.ExitOK {
		tr.t.Fatalf("pearmoor %v: exit %d: %s%s", args, code, out, errOut)
	}
	return out
}

// version returns the newest accepted configuration version.
func (tr *tier) version() uint64 {
	tr.t.Helper()
	var st struct {
		ConfigVersion uint64 `json:"config_version"`
	}
	tr.decode(tr.must("status", "--output=json"), &st)
	return st.ConfigVersion
}

func (tr *tier) decode(text string, into any) {
	tr.t.Helper()
	if err := json.Unmarshal([]byte(text), into); err != nil {
		tr.t.Fatalf("%v in %q", err, text)
	}
}

func (tr *tier) awaitReady(ps ...*process) {
	tr.t.Helper()
	for _, p := range ps {
		var why string
		for end := time.Now().Add(patience); ; time.Sleep(poll) {
			var ok bool
			if ok, why = p.ready(); ok {
				break
			}
			if time.Now().After(end) {
				st, _ := p.status()
				tr.t.Fatalf("%s is not ready: %s; status %+v", p.name, why, st)
			}
		}
	}
}

// awaitFullCoverage waits until every running entry VM answers queries of the desk
// and of the ledger with full coverage.
func (tr *tier) awaitWhole() {
	tr.t.Helper()
	for _, p := range tr.entries {
		if p.cmd == nil {
			continue
		}
		await(tr.t, "full coverage through "+p.name, func() bool {
			r := tr.send(p, tr.query(desk))
			s := tr.send(p, tr.query(ledger))
			return whole(r.answer) && whole(s.answer)
		})
	}
}

// leaf returns the leaf with the given name.
func (tr *tier) leaf(name string) *standin.Leaf {
	tr.t.Helper()
	for _, l := range tr.fleet.Leaves() {
		if l.Name() == name {
			return l
		}
	}
	tr.t.Fatalf("no leaf %s", name)
	return nil
}

// updateBehavior changes the behavior of the leaves whose service path starts with
// service; "" selects all leaves.
func (tr *tier) behave(service string, change func(*standin.Behavior)) {
	tr.t.Helper()
	for _, l := range tr.fleet.Leaves() {
		if service != "" && !strings.HasPrefix(l.Stats(false).Services[0], service) {
			continue
		}
		tr.behaveLeaf(l, change)
	}
}

// setLatency sets how long the leaves of a service take to run a request.
func (tr *tier) slow(service string, run time.Duration) {
	tr.t.Helper()
	tr.behave(service, func(b *standin.Behavior) { b.Latency = standin.Duration(run) })
}

func (tr *tier) behaveLeaf(l *standin.Leaf, change func(*standin.Behavior)) {
	tr.t.Helper()
	b := l.Behavior()
	change(&b)
	if err := l.SetBehavior(b); err != nil {
		tr.t.Fatal(err)
	}
}

// checkLeafLimits fails the test for each leaf that ever had more requests in flight
// than it has slots, or more open connections than its limit. A connection that the
// leaf refuses counts as open.
func (tr *tier) checkSlots() {
	tr.t.Helper()
	for _, l := range tr.fleet.Stats(false).Leaves {
		if l.MostInFlight > l.Slots {
			tr.t.Errorf("leaf %s had %d requests in flight, more than its %d slots", l.Name, l.MostInFlight, l.Slots)
		}
		if l.MostOpen > l.Connections {
			tr.t.Errorf("leaf %s had %d open connections, more than its limit of %d", l.Name, l.MostOpen, l.Connections)
		}
	}
}

// homesOf returns the entry VMs that are homes of a service, and the other entry VMs.
func (tr *tier) homesOf(service string) (homes, others []*process) {
	tr.t.Helper()
	for _, p := range tr.entries {
		if s, ok := p.status(); ok && slices.Contains(s.Services, service) {
			homes = append(homes, p)
		} else {
			others = append(others, p)
		}
	}
	return homes, others
}
