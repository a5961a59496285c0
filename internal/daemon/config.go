package daemon

import (
	"net"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"pearmoor/internal/contract"
)

// Ranges of the numeric and duration flags.
const (
	minPlatformInterval = 200 * time.Millisecond
	maxPlatformInterval = time.Hour
	minSyncInterval     = 50 * time.Millisecond
	maxSyncInterval     = 10 * time.Second
	minFanout           = 2
	maxFanout           = 1024
	maxRelayThreshold   = 4096
)

// Config is the configuration of a daemon, from flags and environment variables.
type Config struct {
	Name   string // VM name, unique in the tier
	Domain string // failure domain
	Region string

	CallerListen     string // host:port that callers connect to
	CallerURL        string // base URL advertised to callers; empty: derived from CallerListen
	CallerCert       string // PEM files; both empty: callers use plain HTTP
	CallerKey        string
	PeerListen       string // host:port that other daemons connect to
	PeerAddr         string // host:port advertised to other daemons; empty: derived from PeerListen
	MemoryMB         int64  // memory of the VM in MiB, from which the share of clients is taken; 0: not known
	MaxDescriptors   int    // limit on open files of the process; 0: not known
	OperatorListen   string // host:port for metrics, health, readiness, status and profiles
	ReadyFile        string // written with the bound addresses once serving
	PlaintextPeers   bool   // no TLS between daemons; loopback only
	PeerCA           string // PEM files for mutual TLS between daemons
	PeerCert         string
	PeerKey          string
	LeafCA           string        // PEM file; empty: the system's certificate authorities
	PlatformURL      string        // base URL of the platform's VM list; empty: none
	PlatformInterval time.Duration // interval between reads of the VM list
	SyncInterval     time.Duration // heartbeat interval
	RelayThreshold   int           // maximum number of daemons that sync directly with the leader; a larger tier uses relays
	RelayFanout      int           // number of daemons below one relay
	ServeCallers     bool          // serve callers; false on a dedicated control VM
	ControlAddrs     []string      // peer addresses of the control VMs
	ControlID        uint64        // this control VM's id; 0: not a control VM
	DataDir          string        // data directory of a control VM
	Bootstrap        bool          // create a new control group
	BootstrapVoters  []string      // id=host:port of every initial voter; empty with Bootstrap: only this VM
}

// IsControl reports whether this daemon is a control VM.
func (c *Config) IsControl() bool { return c.ControlID != 0 }

// Validate returns all faults of c as contract.Faults, or nil.
func (c *Config) Validate() error {
	var faults contract.Faults
	faults = append(faults, c.identityFaults()...)
	faults = append(faults, c.listenFaults()...)
	faults = append(faults, c.tlsFaults()...)
	faults = append(faults, c.controlFaults()...)
	faults = append(faults, c.rangeFaults()...)
	return faults.ErrOrNil()
}

func (c *Config) identityFaults() (faults contract.Faults) {
	names := []struct{ flag, value string }{
		{"--name", c.Name}, {"--domain", c.Domain}, {"--region", c.Region},
	}
	for _, n := range names {
		switch {
		case n.value == "":
			faults = append(faults, fault(n.flag, n.value, "is required", "name this VM's own"))
		case strings.ContainsAny(n.value, " /,=@\t\n"):
			faults = append(faults, fault(n.flag, n.value, "has a space or one of / , = @", "use letters, digits, '-' and '.'"))
		}
	}
	return faults
}

func (c *Config) listenFaults() (faults contract.Faults) {
	listens := []struct {
		flag, value string
		required    bool
	}{
		{"--caller-listen", c.CallerListen, c.ServeCallers},
		{"--peer-listen", c.PeerListen, true},
		{"--operator-listen", c.OperatorListen, true},
		{"--peer-address", c.PeerAddr, false},
	}
	for _, l := range listens {
		if l.value == "" && !l.required {
			continue
		}
		if _, _, err := net.SplitHostPort(l.value); err != nil {
			faults = append(faults, fault(l.flag, l.value, "is not host:port", "write for example 10.0.0.5:7400"))
		}
	}
	faults = append(faults, urlFaults("--caller-url", c.CallerURL)...)
	faults = append(faults, urlFaults("--platform-url", c.PlatformURL)...)
	if host, _, err := net.SplitHostPort(c.PeerListen); err == nil && c.PeerAddr == "" && isWildcard(host) {
		faults = append(faults, fault("--peer-listen", c.PeerListen, "listens on every address, so others can't be told which to use", "set --peer-address"))
	}
	if host, _, err := net.SplitHostPort(c.CallerListen); err == nil && c.CallerURL == "" && isWildcard(host) {
		faults = append(faults, fault("--caller-listen", c.CallerListen, "listens on every address, so callers can't be told which to use", "set --caller-url"))
	}
	return faults
}

func urlFaults(flag, value string) contract.Faults {
	if value == "" {
		return nil
	}
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return contract.Faults{fault(flag, value, "is not an http or https URL", "write for example http://10.0.0.5:7400")}
	}
	return nil
}

func (c *Config) tlsFaults() (faults contract.Faults) {
	files := []struct{ flag, value string }{
		{"--peer-ca", c.PeerCA}, {"--peer-cert", c.PeerCert}, {"--peer-key", c.PeerKey},
	}
	for _, f := range files {
		switch {
		case c.PlaintextPeers && f.value != "":
			faults = append(faults, fault(f.flag, f.value, "has no effect with --plaintext-peers", "drop one of the two"))
		case !c.PlaintextPeers && f.value == "":
			faults = append(faults, fault(f.flag, f.value, "is required for mutual TLS between daemons", "make one with 'pearmoor certs', or set --plaintext-peers on loopback"))
		case f.value != "":
			faults = append(faults, fileFaults(f.flag, f.value)...)
		}
	}
	if c.PlaintextPeers {
		faults = append(faults, loopbackFaults("--peer-listen", c.PeerListen)...)
	}
	if (c.CallerCert == "") != (c.CallerKey == "") {
		faults = append(faults, fault("--caller-cert", c.CallerCert, "needs --caller-key, and the other way round", "set both or neither"))
	}
	faults = append(faults, fileFaults("--caller-cert", c.CallerCert)...)
	faults = append(faults, fileFaults("--caller-key", c.CallerKey)...)
	faults = append(faults, fileFaults("--leaf-ca", c.LeafCA)...)
	return faults
}

func fileFaults(flag, path string) contract.Faults {
	if path == "" {
		return nil
	}
	f, err := os.Open(path)
	if err != nil {
		return contract.Faults{fault(flag, path, "can't be read: "+err.Error(), "check the path and its permissions")}
	}
	f.Close()
	return nil
}

func loopbackFaults(flag, addr string) contract.Faults {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil // reported by listenFaults
	}
	if ip := net.ParseIP(host); ip != nil && ip.IsLoopback() {
		return nil
	}
	return contract.Faults{fault(flag, addr, "is not a loopback address, and --plaintext-peers is set", "use TLS files, or listen on 127.0.0.1")}
}

func (c *Config) controlFaults() (faults contract.Faults) {
	if c.IsControl() && c.DataDir == "" {
		faults = append(faults, fault("--data-dir", c.DataDir, "is required on a control VM", "name a folder on a disk that keeps synced files"))
	}
	if !c.IsControl() && c.DataDir != "" {
		faults = append(faults, fault("--data-dir", c.DataDir, "is only used by a control VM", "set --control-id, or drop it"))
	}
	if !c.IsControl() && c.Bootstrap {
		faults = append(faults, fault("--bootstrap", "true", "needs a control VM", "set --control-id and --data-dir"))
	}
	if !c.IsControl() && len(c.ControlAddrs) == 0 {
		faults = append(faults, fault("--control", "", "names no control VM", "list their peer addresses, for example 10.0.0.1:7500,10.0.1.1:7500"))
	}
	for _, addr := range c.ControlAddrs {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			faults = append(faults, fault("--control", addr, "is not host:port", "write for example 10.0.0.1:7500"))
		}
	}
	if len(c.BootstrapVoters) > 0 && !c.Bootstrap {
		faults = append(faults, fault("--bootstrap-voter", strings.Join(c.BootstrapVoters, ","), "is only used with --bootstrap", "add --bootstrap, or drop it"))
	}
	if _, err := c.voters(); err != nil {
		faults = append(faults, err...)
	}
	return faults
}

// voters parses BootstrapVoters into addresses by id.
func (c *Config) voters() (map[uint64]string, contract.Faults) {
	var faults contract.Faults
	voters := make(map[uint64]string, len(c.BootstrapVoters))
	for _, v := range c.BootstrapVoters {
		id, addr, why := parseVoter(v)
		if why != "" {
			faults = append(faults, fault("--bootstrap-voter", v, why, "write id=host:port with a different id for each, 1 or higher"))
			continue
		}
		if _, duplicate := voters[id]; duplicate {
			faults = append(faults, fault("--bootstrap-voter", v, "repeats an id", "give every control VM its own"))
		}
		voters[id] = addr
	}
	if _, hasOwn := voters[c.ControlID]; len(voters) > 0 && !hasOwn {
		faults = append(faults, fault("--bootstrap-voter", strings.Join(c.BootstrapVoters, ","), "does not name this VM's own --control-id", "list every first voter, this VM too"))
	}
	return voters, faults
}

func parseVoter(v string) (id uint64, addr, why string) {
	idText, addr, ok := strings.Cut(v, "=")
	if !ok {
		return 0, "", "has no '='"
	}
	id, err := strconv.ParseUint(idText, 10, 64)
	if err != nil || id == 0 {
		return 0, "", "has no positive id"
	}
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return 0, "", "has no host:port"
	}
	return id, addr, ""
}

// maxMemoryMB is more than any VM has, and can be converted to bytes.
const maxMemoryMB = 1 << 30

func (c *Config) rangeFaults() (faults contract.Faults) {
	if c.PlatformInterval < minPlatformInterval || c.PlatformInterval > maxPlatformInterval {
		faults = append(faults, fault("--platform-every", c.PlatformInterval.String(), "is out of range", "choose 200ms to 1h"))
	}
	if c.SyncInterval < minSyncInterval || c.SyncInterval > maxSyncInterval {
		faults = append(faults, fault("--sync-every", c.SyncInterval.String(), "is out of range", "choose 50ms to 10s"))
	}
	if c.RelayThreshold < 1 || c.RelayThreshold > maxRelayThreshold {
		faults = append(faults, fault("--relay-above", strconv.Itoa(c.RelayThreshold), "is out of range", "choose 1 to 4096"))
	}
	if c.MemoryMB < 0 || c.MemoryMB > maxMemoryMB {
		faults = append(faults, fault("--memory-mb", strconv.FormatInt(c.MemoryMB, 10), "is out of range", "give the memory in MiB, or 0"))
	}
	if c.MaxDescriptors < 0 {
		faults = append(faults, fault("--max-descriptors", strconv.Itoa(c.MaxDescriptors), "is below 0", "give the limit, or 0"))
	}
	if c.RelayFanout < minFanout || c.RelayFanout > maxFanout {
		faults = append(faults, fault("--relay-fanout", strconv.Itoa(c.RelayFanout), "is out of range", "choose 2 to 1024"))
	}
	return faults
}

func isWildcard(host string) bool {
	ip := net.ParseIP(host)
	return host == "" || (ip != nil && ip.IsUnspecified())
}

func fault(field, value, why, fix string) contract.Fault {
	return contract.Fault{Field: field, Value: value, Why: why, Fix: fix}
}
