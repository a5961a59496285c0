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
	"pearmoor/platform"
)

// version is set by the linker: -ldflags "-X main.version=…".
var version = "development"

const (
	exitOK    = 0
	exitFault = 1
	exitUsage = 2
)

// options are the command-line options: the path of the settings file, and what the
// file does not configure.
type flags struct {
	settings string
	metrics  string
	peers    string
	gcShare  int
}

func main() { os.Exit(run(os.Args[1:])) }

func parse(args []string) (flags, error) {
	var f flags
	app := kingpin.New("pearmoor-entry", "One VM of a pearmoor tier on a platform that supplies its settings file.")
	app.Version(version)
	app.Flag("settings", "The platform's settings file.").Envar(platform.SettingsVariable).Required().StringVar(&f.settings)
	app.Flag("metrics-port", "Port of the metrics, on the VM's own address; 0 is none.").Envar("PEARMOOR_METRICS_PORT").Default("9464").StringVar(&f.metrics)
	app.Flag("peers-listen", "Address to take other daemons' connections at, as IP:PORT, where it is not the one they are told of, as behind a forwarder.").Envar("PEARMOOR_PEERS_LISTEN").StringVar(&f.peers)
	app.Flag("gc-percent", "Garbage collection target, in percent of the live heap. A low one costs processor time and keeps the process small.").Envar("PEARMOOR_GC_PERCENT").Default("50").IntVar(&f.gcShare)
	_, err := app.Parse(args)
	return f, err
}

func run(args []string) int {
	f, err := parse(args)
	if err != nil {
		fmt.Fprintf(os.Stderr, "pearmoor-entry: %v; try --help\n", err)
		return exitUsage
	}
	out := decision.New(os.Stdout)
	defer out.Close()
	if err := out.TakeKlog(); err != nil {
		fmt.Fprintf(os.Stderr, "pearmoor-entry: %v\n", err)
		return exitFault
	}
	debug.SetGCPercent(f.gcShare)
	set, err := platform.ReadSettings(f.settings)
	if err != nil {
		report(err)
		return exitUsage
	}
	klog.Infof("entry: start version=%s vm=%s domain=%s disk=%q first_start=%v seeds=%v", version, set.VM.Name, set.VM.Domain, set.VM.DataDir, set.VM.FirstStart, set.VM.Seeds)
	if err := serve(f, set, out); err != nil {
		klog.Errorf("entry: stopped: %v", err)
		return exitFault
	}
	klog.Infof("entry: stop vm=%s", set.VM.Name)
	return exitOK
}

// logFaults logs err, or each fault of a contract.Faults on its own line.
func report(err error) {
	var faults contract.Faults
	if !errors.As(err, &faults) {
		klog.Errorf("entry: %v", err)
		return
	}
	for _, fault := range faults {
		klog.Errorf("entry: setting %s", fault)
	}
}

func serve(f flags, set *platform.Settings, out *decision.Log) error {
	var listAddr atomic.Pointer[string]
	listAddr.Store(&set.ListAddr)
	conf := set.VM
	conf.Source = platform.NewList(func() string { return *listAddr.Load() })
	conf.Dialect, conf.Log = platform.Dialect(), out
	v, err := entryvm.New(conf)
	if err != nil {
		return err
	}
	lis, closeAll, err := listen(f, set, v)
	if err != nil {
		return err
	}
	defer closeAll()
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	// SIGHUP may arrive while the VM drains. Without a handler it would end the
	// process and lose every request in flight.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go reload(stop, hup, f.settings, v, &listAddr)
	return v.Run(stop, lis)
}

// listen binds every address that the VM serves, and starts the side servers. These
// run until closeAll is called, because readiness must be served while the VM drains.
func listen(f flags, set *platform.Settings, v *entryvm.VM) (entryvm.Listeners, func(), error) {
	var open []net.Listener
	closeAll := func() {
		for _, l := range open {
			_ = l.Close()
		}
	}
	bind := func(what, addr string) (net.Listener, error) {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			closeAll()
			return nil, errors.Wrapf(err, "entry: %s", what)
		}
		open = append(open, l)
		return l, nil
	}
	var out entryvm.Listeners
	var err error
	peers := set.VM.PeerAddr
	if f.peers != "" {
		peers = f.peers
	}
	if out.Peers, err = bind("peers", peers); err != nil {
		return out, nil, err
	}
	if set.Callers != "" {
		if out.Callers, err = bind("callers", set.Callers); err != nil {
			return out, nil, err
		}
	}
	host, _, _ := net.SplitHostPort(set.VM.PeerAddr) // can't fail: ReadSettings joined it from an IP and a port
	sides := []struct {
		what, addr string
		handler    http.Handler
	}{
		{"readiness", set.Readiness, platform.ReadinessHandler(v)},
		{"operators", set.Operators, platform.OperatorHandler(v, set.Operators)},
		{"directory", set.Directory, platform.DirectoryHandler(v)},
		{"metrics", metricsAddr(host, f.metrics), entryvm.MetricsHandler()},
	}
	for _, s := range sides {
		if s.addr == "" {
			continue
		}
		l, err := bind(s.what, s.addr)
		if err != nil {
			return out, nil, err
		}
		go serveSide(s.what, l, s.handler)
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
	sideHeaderTimeout = 5 * time.Second
	sideIdleTimeout   = 30 * time.Second
)

func serveSide(what string, l net.Listener, h http.Handler) {
	s := &http.Server{
		Handler: h, ReadHeaderTimeout: sideHeaderTimeout, IdleTimeout: sideIdleTimeout,
		ErrorLog: decision.ServerLog(what),
	}
	if err := s.Serve(l); err != nil && !errors.Is(err, net.ErrClosed) {
		klog.Errorf("entry: stopped serving %s: %v", what, err)
	}
}

const reloadEvery = time.Second

// reloadSettings reads the settings file again on SIGHUP and whenever it has changed,
// and applies the seeds and the list address. A file with faults is reported and
// changes nothing.
func reload(ctx context.Context, hup <-chan os.Signal, path string, v *entryvm.VM, listAddr *atomic.Pointer[string]) {
	ticker := time.NewTicker(reloadEvery)
	defer ticker.Stop()
	last := modified(path)
	for {
		why := "file changed"
		select {
		case <-ctx.Done():
			return
		case <-hup:
			why = "signal"
		case <-ticker.C:
			if modified(path) == last {
				continue
			}
		}
		last = modified(path)
		set, err := platform.ReadSettings(path)
		if err != nil {
			klog.Errorf("entry: settings not reloaded, why=%q; the previous settings stay in force", why)
			report(err)
			continue
		}
		v.SetSeeds(set.VM.Seeds)
		listAddr.Store(&set.ListAddr)
		klog.Infof("entry: settings reloaded why=%q seeds=%v list=%s", why, set.VM.Seeds, set.ListAddr)
	}
}

// fileStamp is the modification time and size of a file, by which a change is detected.
type stamp struct {
	at   time.Time
	size int64
}

func modified(path string) stamp {
	info, err := os.Stat(path)
	if err != nil {
		return stamp{} // probably being replaced; the next poll reads it
	}
	return stamp{info.ModTime(), info.Size()}
}
