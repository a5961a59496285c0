package cli

import (
	"context"
	"io"
	"os"
	"os/user"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
)

const (
	defaultTimeout = 15 * time.Second
	defaultWait    = 10 * time.Second
)

// globalFlags are the flags that every command takes.
type globalFlags struct {
	control   []string
	ca        string
	cert      string
	key       string
	plaintext bool
	operator  string
	timeout   time.Duration
	output    string
}

// app holds the flags, streams and control client of one run of the tool.
type app struct {
	globalFlags
	ctx    context.Context
	in     io.Reader
	out    io.Writer
	errOut io.Writer
	client *controlClient
}

// Run runs the command line args and returns the exit code.
func Run(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer, version string) int {
	a := &app{ctx: ctx, in: in, out: out, errOut: errOut}
	terminateCode, parsed := -1, false
	k := kingpin.New("pearmoor", "Edits the tree of settings of a pearmoor tier, and shows what is in force.")
	k.Version(version).UsageWriter(out).ErrorWriter(errOut).DefaultEnvars()
	k.Terminate(func(code int) { terminateCode = code })
	k.HelpFlag.Short('h').NoEnvar()
	k.VersionFlag.NoEnvar()
	k.Action(func(*kingpin.ParseContext) error { // runs before the action of the command
		if terminateCode >= 0 {
			// kingpin continues with the command after Terminate returns, so
			// "set ... --help" would make the change.
			return errTerminated
		}
		parsed = true
		return nil
	})
	a.declareGlobals(k)
	a.declareCommands(k)
	_, err := k.Parse(args)
	defer a.close()
	switch {
	case terminateCode >= 0: // help, version or a completion script was printed
		return terminateCode
	case err == nil:
		return ExitOK
	case !parsed || errors.Is(err, errUsage):
		_, _ = io.WriteString(errOut, "pearmoor: "+err.Error()+"; try --help\n")
		return ExitUsage
	}
	a.reportError(err)
	return exitCode(err)
}

// errTerminated stops kingpin from running the command after it printed the help
// text, the version or a completion.
var errTerminated = errors.New("terminated")

// errUsage marks a usage error that kingpin's parser can't detect, such as an
// invalid combination of flags.
var errUsage = errors.New("usage")

// usageError returns an error that is marked with errUsage.
func usageError(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), errUsage)
}

func (a *app) declareGlobals(k *kingpin.Application) {
	k.Flag("control", "Peer addresses of control VMs, host:port, separated by commas; any of them will do.").
		Default("127.0.0.1:7401").SetValue((*commaList)(&a.control))
	k.Flag("tls-ca", "PEM file of the authority that the tier's certificates come from.").StringVar(&a.ca)
	k.Flag("tls-cert", "PEM file of the operator's certificate. Its name goes into the audit trail.").StringVar(&a.cert)
	k.Flag("tls-key", "PEM file of the certificate's key.").StringVar(&a.key)
	k.Flag("plaintext-peers", "Use no TLS; works with loopback addresses only.").BoolVar(&a.plaintext)
	k.Flag("operator-name", "The operator's name where no certificate says it.").Default(currentUser()).StringVar(&a.operator)
	k.Flag("timeout", "How long to try to get an answer.").Default(defaultTimeout.String()).DurationVar(&a.timeout)
	k.Flag("output", "text for people, json for programs.").Default(outputText).EnumVar(&a.output, outputText, outputJSON)
}

func (a *app) declareCommands(k *kingpin.Application) {
	a.declareGet(k)
	a.declareEdit(k)
	a.declarePlan(k)
	a.declareExplain(k)
	a.declareTrail(k)
	a.declareQuarantine(k)
	a.declareEvacuate(k)
	a.declareOrganisation(k)
	a.declareDiff(k)
	a.declareRevert(k)
	a.declareFile(k)
	a.declareStatus(k)
	a.declareGroup(k)
	a.declareQuery(k)
	a.declareReady(k)
	a.declareDomains(k)
	a.declareCerts(k)
	a.declareLoad(k)
	a.declareTrace(k)
}

func (a *app) close() {
	if a.client != nil {
		a.client.close()
	}
}

// currentUser returns the name of the operating system's user.
func currentUser() string {
	if u, err := user.Current(); err == nil && u.Username != "" {
		return u.Username
	}
	return os.Getenv("USER")
}
