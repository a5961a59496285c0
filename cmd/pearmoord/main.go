// Command pearmoord is the pearmoor daemon. It runs as an entry VM that serves callers,
// as a control VM that stores the replicated state on its disk, or as both.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"k8s.io/klog/v2"

	"pearmoor/internal/contract"
	"pearmoor/internal/daemon"
	"pearmoor/internal/relay"
)

// version is set by the linker: -ldflags "-X main.version=…".
var version = "development"

const (
	exitOK      = 0
	exitFailure = 1 // an error at start or while running
	exitUsage   = 2 // invalid flags or environment variables
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	conf, verbosity, err := parseFlags(args)
	if err != nil {
		fmt.Fprintf(os.Stderr, "pearmoord: %v; try --help\n", err)
		return exitUsage
	}
	if err := conf.Validate(); err != nil {
		reportFaults(err)
		return exitUsage
	}
	initLog(verbosity)
	defer klog.Flush()

	stop, abort, release := shutdownContexts()
	defer release()
	d, err := daemon.New(*conf)
	if err != nil {
		klog.Errorf("daemon: did not start: %v", err)
		return exitFailure
	}
	if err := d.Run(stop, abort); err != nil {
		klog.Errorf("daemon: stopped: %v", err)
		return exitFailure
	}
	return exitOK
}

// parseFlags reads the flags and their PEARMOOR_ environment variables.
func parseFlags(args []string) (*daemon.Config, int, error) {
	app := kingpin.New("pearmoord", "The pearmoor daemon. Every flag has an environment variable: --peer-listen is PEARMOOR_PEER_LISTEN.")
	app.DefaultEnvars()
	app.Version(version)
	app.HelpFlag.Short('h')
	conf := &daemon.Config{}
	identityFlags(app, conf)
	callerFlags(app, conf)
	peerFlags(app, conf)
	targetFlags(app, conf)
	controlFlags(app, conf)
	verbosity := app.Flag("verbosity", "Log level; 0 is for operators, 4 for developers.").Envar("PEARMOOR_VERBOSITY").Default("0").Int()
	_, err := app.Parse(args)
	conf.ControlAddrs = splitCommaLists(conf.ControlAddrs)
	return conf, *verbosity, err
}

// envVar returns the name of a flag's environment variable.
func envVar(flag string) string {
	return "PEARMOOR_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

func stringFlag(app *kingpin.Application, dst *string, name, help string) {
	app.Flag(name, help).Envar(envVar(name)).StringVar(dst)
}

func identityFlags(app *kingpin.Application, c *daemon.Config) {
	stringFlag(app, &c.Name, "name", "This VM's name, unique in the tier.")
	stringFlag(app, &c.Domain, "domain", "This VM's failure domain.")
	stringFlag(app, &c.Region, "region", "This VM's region.")
	stringFlag(app, &c.ReadyFile, "ready-file", "Write the bound addresses here as JSON once the daemon serves.")
	app.Flag("memory-mb", "Memory of this VM in MiB, a share of which clients may use; 0: 256.").Envar(envVar("memory-mb")).Default("0").Int64Var(&c.MemoryMB)
	app.Flag("max-descriptors", "Limit on open files of this process, half of which clients may use; 0: 4096.").Envar(envVar("max-descriptors")).Default("0").IntVar(&c.MaxDescriptors)
	app.Flag("operator-listen", "host:port of metrics, health and readiness.").Envar(envVar("operator-listen")).Default("127.0.0.1:7402").StringVar(&c.OperatorListen)
}

func callerFlags(app *kingpin.Application, c *daemon.Config) {
	app.Flag("entry", "Serve callers; --no-entry on a VM set aside for control.").Envar(envVar("entry")).Default("true").BoolVar(&c.ServeCallers)
	app.Flag("caller-listen", "host:port callers connect to.").Envar(envVar("caller-listen")).Default("127.0.0.1:7400").StringVar(&c.CallerListen)
	stringFlag(app, &c.CallerURL, "caller-url", "Base URL told to callers; default: http(s)://CALLER-LISTEN.")
	stringFlag(app, &c.CallerCert, "caller-cert", "PEM certificate for callers; without it callers use plain HTTP.")
	stringFlag(app, &c.CallerKey, "caller-key", "PEM key of --caller-cert.")
}

func peerFlags(app *kingpin.Application, c *daemon.Config) {
	app.Flag("peer-listen", "host:port for other daemons and operators.").Envar(envVar("peer-listen")).Default("127.0.0.1:7401").StringVar(&c.PeerListen)
	stringFlag(app, &c.PeerAddr, "peer-address", "host:port told to other daemons; default: PEER-LISTEN.")
	stringFlag(app, &c.PeerCA, "peer-ca", "PEM authority of daemons and operators.")
	stringFlag(app, &c.PeerCert, "peer-cert", "PEM certificate of this VM; its name must be --name.")
	stringFlag(app, &c.PeerKey, "peer-key", "PEM key of --peer-cert.")
	app.Flag("plaintext-peers", "No TLS between daemons; loopback addresses only.").Envar(envVar("plaintext-peers")).BoolVar(&c.PlaintextPeers)
	app.Flag("sync-every", "Heartbeat interval.").Envar(envVar("sync-every")).Default("1s").DurationVar(&c.SyncInterval)
	app.Flag("relay-above", "A tier of more daemons than this has relays.").Envar(envVar("relay-above")).Default(fmt.Sprint(relay.DefaultMaxDirect)).IntVar(&c.RelayThreshold)
	app.Flag("relay-fanout", "Daemons below one relay.").Envar(envVar("relay-fanout")).Default(fmt.Sprint(relay.DefaultFanout)).IntVar(&c.RelayFanout)
}

func targetFlags(app *kingpin.Application, c *daemon.Config) {
	stringFlag(app, &c.LeafCA, "leaf-ca", "PEM authority of leaves that use TLS; default: the system's.")
	stringFlag(app, &c.PlatformURL, "platform-url", "Base URL of the platform's VM list; empty: none.")
	app.Flag("platform-every", "How often the platform's VM list is read.").Envar(envVar("platform-every")).Default("1s").DurationVar(&c.PlatformInterval)
}

func controlFlags(app *kingpin.Application, c *daemon.Config) {
	app.Flag("control", "Peer addresses of the control VMs, separated by commas; may be repeated.").Envar(envVar("control")).StringsVar(&c.ControlAddrs)
	app.Flag("control-id", "Makes this a control VM with this id, which is never used again.").Envar(envVar("control-id")).Uint64Var(&c.ControlID)
	stringFlag(app, &c.DataDir, "data-dir", "Data folder of a control VM.")
	app.Flag("bootstrap", "Found a new control group; once in a tier's life.").Envar(envVar("bootstrap")).BoolVar(&c.Bootstrap)
	app.Flag("bootstrap-voter", "id=host:port of a first voter, with --bootstrap; repeat for each.").Envar(envVar("bootstrap-voter")).StringsVar(&c.BootstrapVoters)
}

func splitCommaLists(values []string) []string {
	var out []string
	for _, v := range values {
		for _, part := range strings.Split(v, ",") {
			if part = strings.TrimSpace(part); part != "" {
				out = append(out, part)
			}
		}
	}
	return out
}

func reportFaults(err error) {
	faults, ok := err.(contract.Faults)
	if !ok {
		fmt.Fprintf(os.Stderr, "pearmoord: %v\n", err)
		return
	}
	fmt.Fprintf(os.Stderr, "pearmoord: %d settings are wrong:\n", len(faults))
	for _, f := range faults {
		fmt.Fprintf(os.Stderr, "  %s\n", f)
	}
}

func initLog(verbosity int) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	flags.Set("logtostderr", "true")
	flags.Set("v", fmt.Sprint(verbosity))
}

// shutdownContexts returns a context that is canceled by the first SIGTERM or SIGINT,
// which starts a graceful shutdown, and one that is canceled by the second, which
// aborts it.
func shutdownContexts() (stop, abort context.Context, release func()) {
	stop, cancelStop := context.WithCancel(context.Background())
	abort, cancelAbort := context.WithCancel(context.Background())
	ch := make(chan os.Signal, 2)
	signal.Notify(ch, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-ch
		cancelStop()
		<-ch
		cancelAbort()
	}()
	return stop, abort, func() { signal.Stop(ch); cancelStop(); cancelAbort() }
}
