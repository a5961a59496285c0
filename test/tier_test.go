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
	region     = "valley"
	deskPath   = "valley/desk"   // three query services with two leaves of two slots each
	ledgerPath = "valley/ledger" // one query service with three leaves of three slots each
)

const (
	deskServices    = 3
	deskSlots       = 2
	ledgerSlots     = 3
	deskConnections = 30
	leaseDuration   = 3 * time.Second
)

var failureDomains = []string{"hall-a", "hall-b", "hall-c"}

// tierConfig describes the tier that a test starts.
type tierConfig struct {
	controls       int
	entries        int
	useNetwork     bool              // route peer connections through the test's network
	rootSettings   map[string]string // root settings in addition to the defaults of writeTree
	regionSettings map[string]string // region settings in addition to the defaults of writeTree
	entryFlags     []string          // additional flags of each entry VM
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
func startTier(t *testing.T, cfg tierConfig) *tier {
	t.Helper()
	tr := &tier{t: t, dir: t.TempDir()}
	if cfg.useNetwork {
		tr.network = newNetwork(t)
	}
	tr.startLeaves()
	tr.startControlVMs(cfg.controls)
	tr.mustRun("apply", tr.writeTree(cfg), "--reason=the tree of this test", "--wait=20s")
	for i := range cfg.entries {
		tr.entries = append(tr.entries, tr.newEntry(fmt.Sprintf("entry-%d", i+1), i, cfg.entryFlags))
	}
	for _, p := range tr.entries {
		p.launch()
	}
	for _, p := range tr.entries {
		p.awaitServing()
	}
	tr.awaitReady(tr.entries...)
	tr.awaitFullCoverage()
	return tr
}

func (tr *tier) startLeaves() {
	tr.t.Helper()
	b := standin.DefaultBehavior()
	b.Slots, b.Connections = deskSlots, deskConnections
	var services []standin.ServiceSpec
	for i := range deskServices {
		services = append(services, standin.ServiceSpec{
			Path: fmt.Sprintf("%s/search-%d", deskPath, i+1), Leaves: leafNames(fmt.Sprintf("search-%d", i+1), 2), Behavior: b, Shards: 3,
		})
	}
	b.Slots = ledgerSlots
	services = append(services, standin.ServiceSpec{Path: ledgerPath, Leaves: leafNames("ledger", 3), Behavior: b})
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
func (tr *tier) writeTree(cfg tierConfig) string {
	tr.t.Helper()
	var b strings.Builder
	b.WriteString("settings:\n")
	writeSettings(&b, "  ", map[string]string{
		"daemon-lease": leaseDuration.String(), "address-lifetime": "1s", "resend-window": "1m",
		"deadline-default": "800ms", "deadline-max": "1s",
	}, cfg.rootSettings)
	fmt.Fprintf(&b, "nodes:\n  %s:\n    settings:\n", region)
	writeSettings(&b, "      ", map[string]string{
		"connect-cost": "0s", "ramp": "0s", "probe-interval": "100ms",
		"leaf-slots": fmt.Sprint(deskSlots), "leaf-connections": fmt.Sprint(deskConnections),
	}, cfg.regionSettings)
	b.WriteString("    nodes:\n      desk:\n        nodes:\n")
	for i := range deskServices {
		name := fmt.Sprintf("search-%d", i+1)
		fmt.Fprintf(&b, "          %s:\n            settings:\n", name)
		tr.writeLeaves(&b, "              ", deskPath+"/"+name, leafNames(name, 2))
	}
	fmt.Fprintf(&b, "      ledger:\n        settings:\n          leaf-slots: %d\n          hedge-budget: 0\n          retry-budget: 0\n", ledgerSlots)
	tr.writeLeaves(&b, "          ", ledgerPath, leafNames("ledger", 3))
	path := filepath.Join(tr.dir, "tree.yaml")
	if err := os.WriteFile(path, []byte(b.String()), 0o600); err != nil {
		tr.t.Fatal(err)
	}
	return path
}

// writeSettings writes the settings in defaults, as changed by overrides.
func writeSettings(b *strings.Builder, indent string, defaults, overrides map[string]string) {
	for name, value := range overrides {
		defaults[name] = value
	}
	for name, value := range defaults {
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
func (tr *tier) newProcess(name string, domainIndex int, flags ...string) *process {
	tr.t.Helper()
	host := newHost()
	p := &process{t: tr.t, name: name, dir: tr.dir, log: &logBuffer{}}
	addrs, err := freeport.Addrs(host, 3)
	if err != nil {
		tr.t.Fatal(err)
	}
	p.peerListenAddr, p.operatorAddr, p.callerAddr = addrs[0], addrs[1], addrs[2]
	p.peerAddr = p.peerListenAddr
	p.args = append([]string{
		"--name=" + name, "--region=" + region, "--domain=" + failureDomains[domainIndex%len(failureDomains)],
		"--peer-listen=" + p.peerListenAddr, "--operator-listen=" + p.operatorAddr, "--sync-every=200ms", "--platform-every=200ms",
	}, flags...)
	if tr.network != nil {
		tr.network.join(tr.t, p)
		p.args = append(p.args, "--peer-address="+p.peerAddr)
	}
	tr.t.Cleanup(p.close)
	return p
}

func (tr *tier) newEntry(name string, domainIndex int, flags []string) *process {
	tr.t.Helper()
	p := tr.newProcess(name, domainIndex, flags...)
	p.callerURL = "http://" + p.callerAddr
	p.args = append(p.args, "--caller-listen="+p.callerAddr, "--control="+tr.controlAddrs())
	return p
}

// newControl returns a control VM that is not started. startControlVMs adds the
// bootstrap flags for the first members.
func (tr *tier) newControl(id, domainIndex int) *process {
	tr.t.Helper()
	return tr.newProcess(fmt.Sprintf("control-%d", id), domainIndex,
		"--no-entry", fmt.Sprintf("--control-id=%d", id), "--data-dir="+tr.dataDir(id))
}

func (tr *tier) dataDir(id int) string { return filepath.Join(tr.dir, fmt.Sprintf("control-%d", id)) }

func (tr *tier) startControlVMs(n int) {
	tr.t.Helper()
	for id := 1; id <= n; id++ {
		tr.controls = append(tr.controls, tr.newControl(id, id-1))
	}
	bootstrapFlags := []string{"--bootstrap"}
	for i, p := range tr.controls {
		bootstrapFlags = append(bootstrapFlags, fmt.Sprintf("--bootstrap-voter=%d=%s", i+1, p.peerAddr))
	}
	for _, p := range tr.controls {
		args := p.args
		p.args = append(slices.Clone(args), bootstrapFlags...)
		p.launch()
		p.args = args // a restart must not bootstrap the group again
	}
	for _, p := range tr.controls {
		p.awaitServing()
	}
}

func (tr *tier) controlAddrs() string {
	var addrs []string
	for _, p := range tr.controls {
		addrs = append(addrs, p.peerAddr)
	}
	return strings.Join(addrs, ",")
}

// runCLI runs the operator's command-line tool against all control VMs.
func (tr *tier) runCLI(args ...string) (code int, out, errOut string) {
	return runCLIAs("asha", tr.controlAddrs(), args...)
}

func runCLIAs(operator, control string, args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	args = append([]string{"--plaintext-peers", "--operator-name=" + operator, "--control=" + control}, args...)
	code = cli.Run(context.Background(), args, strings.NewReader(""), &o, &e, "test")
	return code, o.String(), e.String()
}

// mustRun runs the operator's command-line tool and fails the test unless it succeeds.
func (tr *tier) mustRun(args ...string) string {
	tr.t.Helper()
	code, out, errOut := tr.runCLI(args...)
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
	tr.decodeJSON(tr.mustRun("status", "--output=json"), &st)
	return st.ConfigVersion
}

func (tr *tier) decodeJSON(text string, into any) {
	tr.t.Helper()
	if err := json.Unmarshal([]byte(text), into); err != nil {
		tr.t.Fatalf("%v in %q", err, text)
	}
}

func (tr *tier) awaitReady(ps ...*process) {
	tr.t.Helper()
	for _, p := range ps {
		var reason string
		for deadline := time.Now().Add(waitTimeout); ; time.Sleep(pollInterval) {
			var ok bool
			if ok, reason = p.ready(); ok {
				break
			}
			if time.Now().After(deadline) {
				st, _ := p.status()
				tr.t.Fatalf("%s is not ready: %s; status %+v", p.name, reason, st)
			}
		}
	}
}

// awaitFullCoverage waits until every running entry VM answers queries of the desk
// and of the ledger with full coverage.
func (tr *tier) awaitFullCoverage() {
	tr.t.Helper()
	for _, p := range tr.entries {
		if p.cmd == nil {
			continue
		}
		await(tr.t, "full coverage through "+p.name, func() bool {
			r := tr.send(p, tr.newQuery(deskPath))
			s := tr.send(p, tr.newQuery(ledgerPath))
			return fullCoverage(r.answer) && fullCoverage(s.answer)
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
func (tr *tier) updateBehavior(service string, change func(*standin.Behavior)) {
	tr.t.Helper()
	for _, l := range tr.fleet.Leaves() {
		if service != "" && !strings.HasPrefix(l.Stats(false).Services[0], service) {
			continue
		}
		tr.updateLeafBehavior(l, change)
	}
}

// setLatency sets how long the leaves of a service take to run a request.
func (tr *tier) setLatency(service string, run time.Duration) {
	tr.t.Helper()
	tr.updateBehavior(service, func(b *standin.Behavior) { b.Latency = standin.Duration(run) })
}

func (tr *tier) updateLeafBehavior(l *standin.Leaf, change func(*standin.Behavior)) {
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
func (tr *tier) checkLeafLimits() {
	tr.t.Helper()
	for _, l := range tr.fleet.Stats(false).Leaves {
		if l.PeakInFlight > l.Slots {
			tr.t.Errorf("leaf %s had %d requests in flight, more than its %d slots", l.Name, l.PeakInFlight, l.Slots)
		}
		if l.PeakOpen > l.Connections {
			tr.t.Errorf("leaf %s had %d open connections, more than its limit of %d", l.Name, l.PeakOpen, l.Connections)
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
