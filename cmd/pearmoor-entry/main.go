// Command pearmoor-entry runs one VM of a tier on a platform that supplies a settings
// file. It serves callers and, if the VM has a disk, is a member of the control group.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"pearmoor/internal/contract"
	"pearmoor/internal/decision"
	"pearmoor/internal/entryvm"
	"pearmoor/internal/intake"
	"pearmoor/internal/policy"
	"pearmoor/platform"
)

// version is set by the linker: -ldflags "-X main.version=…".
var version = "development"

const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// options are the command-line options: the path of the settings file, and what the
// file does not configure.
type options struct {
	settingsPath string
	metricsPort  string
	peersListen  string
	gcPercent    int
}

func main() { os.Exit(run(os.Args[1:])) }

func parseFlags(args []string) (options, error) {
	var opts options
	app := kingpin.New("pearmoor-entry", "One VM of a pearmoor tier on a platform that supplies its settings file.")
	app.Version(version)
	app.Flag("settings", "The platform's settings file.").Envar(platform.SettingsVariable).Required().StringVar(&opts.settingsPath)
	app.Flag("metrics-port", "Port of the metrics, on the VM's own address; 0 is none.").Envar("PEARMOOR_METRICS_PORT").Default("9464").StringVar(&opts.metricsPort)
	app.Flag("peers-listen", "Address to take other daemons' connections at, as IP:PORT, where it is not the one they are told of, as behind a forwarder.").Envar("PEARMOOR_PEERS_LISTEN").StringVar(&opts.peersListen)
	app.Flag("gc-percent", "Garbage collection target, in percent of the live heap. A low one costs processor time and keeps the process small.").Envar("PEARMOOR_GC_PERCENT").Default("50").IntVar(&opts.gcPercent)
	_, err := app.Parse(args)
	return opts, err
}

func run(args []string) int {
	opts, err := parseFlags(args)
	if err != nil {
		fmt.Fprintf(os.Stderr, "pearmoor-entry: %v; try --help\n", err)
		return exitUsage
	}
	decisionLog := decision.New(os.Stdout)
	defer decisionLog.Close()
	if err := decisionLog.RedirectKlog(); err != nil {
		fmt.Fprintf(os.Stderr, "pearmoor-entry: %v\n", err)
		return exitFailure
	}
	debug.SetGCPercent(opts.gcPercent)
	settings, err := platform.ReadSettings(opts.settingsPath)
	if err != nil {
		logFaults(err)
		return exitUsage
	}
	if limit := policy.GoHeapLimit(settings.VM.MemoryBytes); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	klog.Infof("entry: start version=%s vm=%s domain=%s disk=%q first_start=%v seeds=%v", version, settings.VM.Name, settings.VM.Domain, settings.VM.DataDir, settings.VM.FirstStart, settings.VM.Seeds)
	if err := serve(opts, settings, decisionLog); err != nil {
		klog.Errorf("entry: stopped: %v", err)
		return exitFailure
	}
	klog.Infof("entry: stop vm=%s", settings.VM.Name)
	return exitOK
}

// logFaults logs err, or each fault of a contract.Faults on its own line.
func logFaults(err error) {
	var faults contract.Faults
	if !errors.As(err, &faults) {
		klog.Errorf("entry: %v", err)
		return
	}
	for _, fault := range faults {
		klog.Errorf("entry: setting %s", fault)
	}
}

func serve(opts options, settings *platform.Settings, decisionLog *decision.Log) error {
	var listAddr atomic.Pointer[string]
	listAddr.Store(&settings.ListAddr)
	conf := settings.VM
	conf.Source = platform.NewLeafList(func() string { return *listAddr.Load() })
	conf.Dialect, conf.Log = platform.Dialect(), decisionLog
	v, err := entryvm.New(conf)
	if err != nil {
		return err
	}
	listeners, closeAll, err := listen(opts, settings, v)
	if err != nil {
		return err
	}
	defer closeAll()
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	// SIGHUP may arrive while the VM drains. Without a handler it would end the
	// process and lose every request in flight.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go reloadSettings(ctx, hup, opts.settingsPath, v, &listAddr)
	return v.Run(ctx, listeners)
}

// listen binds every address that the VM serves, and starts the HTTP servers for readiness,
// operators, the directory and metrics. These run until closeAll is called, because
// readiness must be served while the VM drains.
func listen(opts options, settings *platform.Settings, v *entryvm.VM) (entryvm.Listeners, func(), error) {
	var open []net.Listener
	closeAll := func() {
		for _, l := range open {
			_ = l.Close()
		}
	}
	bind := func(name, addr string) (net.Listener, error) {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			closeAll()
			return nil, errors.Wrapf(err, "entry: %s", name)
		}
		open = append(open, l)
		return l, nil
	}
	var out entryvm.Listeners
	var err error
	peersAddr := settings.VM.PeerAddr
	if opts.peersListen != "" {
		peersAddr = opts.peersListen
	}
	if out.Peers, err = bind("peers", peersAddr); err != nil {
		return out, nil, err
	}
	if settings.CallerAddr != "" {
		if out.Callers, err = bind("callers", settings.CallerAddr); err != nil {
			return out, nil, err
		}
	}
	host, _, _ := net.SplitHostPort(settings.VM.PeerAddr) // can't fail: ReadSettings joined it from an IP and a port
	sideServers := []struct {
		name, addr string
		share      policy.IntakeShare
		handler    http.Handler
	}{
		{"readiness", settings.ReadinessAddr, policy.CallerShare, platform.ReadinessHandler(v)},
		{"operators", settings.OperatorAddr, policy.OperatorShare, platform.OperatorHandler(v, settings.OperatorAddr)},
		{"directory", settings.DirectoryAddr, policy.CallerShare, platform.DirectoryHandler(v)},
		{metricsServer, metricsAddr(host, opts.metricsPort), policy.CallerShare, entryvm.MetricsHandler()},
	}
	for _, s := range sideServers {
		if s.addr == "" {
			continue
		}
		l, err := bind(s.name, s.addr)
		if err != nil {
			return out, nil, err
		}
		go serveSideServer(s.name, l, s.share, s.handler, v)
	}
	return out, closeAll, nil
}

func metricsAddr(host, port string) string {
	if port == "" || port == "0" {
		return ""
	}
	return net.JoinHostPort(host, port)
}

const (
	sideReadHeaderTimeout = 5 * time.Second
	sideIdleTimeout       = 30 * time.Second
	sideReadTimeout       = time.Minute // of a whole request
	sideHeaderBytes       = 16 << 10
	// configurationCost is the memory, in bytes, of each byte of a configuration that an operator
	// sends, with what it is decoded to.
	configurationCost = 4
)

// metricsServer is the name of the only side server that a VM can do without.
const metricsServer = "metrics"

func serveSideServer(name string, l net.Listener, share policy.IntakeShare, h http.Handler, v *entryvm.VM) {
	s := &http.Server{
		Handler: h, ReadHeaderTimeout: sideReadHeaderTimeout, ReadTimeout: sideReadTimeout, IdleTimeout: sideIdleTimeout,
		MaxHeaderBytes: sideHeaderBytes,
		ErrorLog:       decision.NewServerLog(name),
	}
	port := intake.Port{Name: name, Share: share, HeadBytes: func() int { return sideHeaderBytes }}
	err := v.Intake().Serve(s, l, port, configurationCost)
	switch {
	case errors.Is(err, net.ErrClosed): // closed after Run
	case name == metricsServer:
		klog.Errorf("entry: stopped serving %s: %v", name, err)
	default:
		v.Fail(name, err)
	}
}

const settingsPollInterval = time.Second

// reloadSettings reads the settings file again on SIGHUP and whenever it has changed,
// and applies the seeds and the list address. A file with faults is reported and
// changes nothing.
func reloadSettings(ctx context.Context, hup <-chan os.Signal, path string, v *entryvm.VM, listAddr *atomic.Pointer[string]) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastStamp := statFile(path)
	for {
		trigger := "file changed"
		select {
		case <-ctx.Done():
			return
		case <-hup:
			trigger = "signal"
		case <-ticker.C:
			if statFile(path) == lastStamp {
				continue
			}
		}
		lastStamp = statFile(path)
		settings, err := platform.ReadSettings(path)
		if err != nil {
			klog.Errorf("entry: settings not reloaded, why=%q; the previous settings stay in force", trigger)
			logFaults(err)
			continue
		}
		v.SetSeeds(settings.VM.Seeds)
		listAddr.Store(&settings.ListAddr)
		klog.Infof("entry: settings reloaded why=%q seeds=%v list=%s", trigger, settings.VM.Seeds, settings.ListAddr)
	}
}

// fileStamp is the modification time and size of a file, by which a change is detected.
type fileStamp struct {
	modTime time.Time
	size    int64
}

func statFile(path string) fileStamp {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{} // probably being replaced; the next poll reads it
	}
	return fileStamp{info.ModTime(), info.Size()}
}
