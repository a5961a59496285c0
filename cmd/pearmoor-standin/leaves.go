package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"pearmoor/internal/settings"
	"pearmoor/internal/standin"
)

const (
	leavesSetting     = "leaves"
	shutdownTimeout   = 10 * time.Second // how long requests in flight may take after SIGTERM
	readHeaderTimeout = 10 * time.Second
	outFileMode       = 0o644
)

type leavesOptions struct {
	tree, out       string
	host            string
	controlAddr     string
	readyFile       string
	shards          uint32
	documents       int
	seed            uint64
	queueLimit      int
	latency         time.Duration
	spread          float64
	stragglerShare  float64
	stragglerFactor float64
	coldStart       time.Duration
	coldFactor      float64
	connectCost     time.Duration
	behaviorJSON    string
}

// leavesCommand declares the leaves command and returns the function that runs it.
func leavesCommand(app *kingpin.Application) func(context.Context) error {
	var o leavesOptions
	defaults := standin.DefaultBehavior()
	c := app.Command("leaves", "Start every leaf that a settings tree declares, all in this process.").Default()
	c.Flag("tree", "Settings tree to read (YAML).").Required().StringVar(&o.tree)
	c.Flag("out", "Where to write the tree with the real addresses.").Required().StringVar(&o.out)
	c.Flag("listen", "IP number to listen on.").Default("127.0.0.1").StringVar(&o.host)
	c.Flag("control-addr", "Address of control and statistics.").Default("127.0.0.1:0").StringVar(&o.controlAddr)
	c.Flag("ready-file", "File that gets the control URL when all leaves listen.").StringVar(&o.readyFile)
	c.Flag("shards", "Shards of each service; 0 takes 2, or the number of leaves where it is above 2.").Default("0").Uint32Var(&o.shards)
	c.Flag("documents", "Documents of each service.").Default("32").IntVar(&o.documents)
	c.Flag("seed", "Seed of all random draws.").Default("1").Uint64Var(&o.seed)
	c.Flag("queue", "Requests that wait at a leaf; more are refused.").Default("64").IntVar(&o.queueLimit)
	c.Flag("latency", "Median time of a run.").Default(time.Duration(defaults.Latency).String()).DurationVar(&o.latency)
	c.Flag("spread", "Sigma of the lognormal factor on the latency; 0 is fixed.").Default("0").Float64Var(&o.spread)
	c.Flag("straggler-share", "Share of runs that straggle.").Default("0").Float64Var(&o.stragglerShare)
	c.Flag("straggler-factor", "How many times as long a straggler takes.").Default("20").Float64Var(&o.stragglerFactor)
	c.Flag("cold-start", "How long a leaf is cold after its start.").Default("0s").DurationVar(&o.coldStart)
	c.Flag("cold-factor", "How many times as long a run takes while cold.").Default("1").Float64Var(&o.coldFactor)
	c.Flag("connect-cost", "Time a new connection takes; negative takes the tree's.").Default("-1ns").DurationVar(&o.connectCost)
	c.Flag("set", "Further behavior of all leaves, as the JSON of POST /control's field set.").StringVar(&o.behaviorJSON)
	return func(ctx context.Context) error { return runLeaves(ctx, &o) }
}

func runLeaves(ctx context.Context, o *leavesOptions) error {
	text, err := os.ReadFile(o.tree)
	if err != nil {
		return err
	}
	tree, err := settings.ParseFile(text)
	if err != nil {
		return errors.Wrapf(err, "tree %s", o.tree)
	}
	services, err := o.serviceSpecs(tree)
	if err != nil {
		return err
	}
	fleet, err := standin.StartFleet(standin.FleetConfig{
		Services:  services,
		Host:      o.host,
		Documents: o.documents,
		Seed:      o.seed,
	})
	if err != nil {
		return err
	}
	defer fleet.Close()
	lis, err := net.Listen("tcp", o.controlAddr)
	if err != nil {
		return errors.Wrap(err, "control-addr")
	}
	srv := &http.Server{Handler: fleet.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	defer srv.Close()
	serveErr := make(chan error, 1)
	go func() { serveErr <- srv.Serve(lis) }()

	if err := o.writeTreeAndReadyFile(tree, fleet, "http://"+lis.Addr().String()); err != nil {
		return err
	}
	klog.Infof("standin: %d leaves of %d services run; control at http://%s", len(fleet.Leaves()), len(services), lis.Addr())
	select {
	case err := <-serveErr:
		return errors.Wrap(err, "control")
	case <-ctx.Done():
	}
	klog.Infof("standin: stopping; waiting up to %v for requests in flight", shutdownTimeout)
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	fleet.Shutdown(shutdownCtx)
	return nil
}

// serviceSpecs returns a spec for each query service of the tree. Slots, connections
// and connect cost come from the tree, the rest of the behavior from the options.
func (o *leavesOptions) serviceSpecs(tree *settings.Tree) ([]standin.ServiceSpec, error) {
	var specs []standin.ServiceSpec
	for _, path := range tree.Services(settings.Root) {
		e, ok := tree.Effective(path)
		if !ok {
			return nil, errors.Newf("service %s has no effective settings", path)
		}
		b, err := o.behavior(e)
		if err != nil {
			return nil, errors.Wrapf(err, "service %s", path)
		}
		spec := standin.ServiceSpec{Path: path, Behavior: b, Shards: o.shards}
		for _, l := range e.Leaves {
			spec.Leaves = append(spec.Leaves, l.Name)
		}
		specs = append(specs, spec)
	}
	if len(specs) == 0 {
		return nil, errors.Newf("tree %s declares no service with leaves; state %q at a node", o.tree, leavesSetting)
	}
	return specs, nil
}

// behavior returns the behavior of the leaves of a service; --set is applied last.
func (o *leavesOptions) behavior(e *settings.Effective) (standin.Behavior, error) {
	b := standin.DefaultBehavior()
	b.Slots = e.LeafSlots
	b.Connections = e.LeafConnections
	b.ConnectCost = standin.Duration(e.ConnectCost)
	if o.connectCost >= 0 {
		b.ConnectCost = standin.Duration(o.connectCost)
	}
	b.Queue = o.queueLimit
	b.Latency = standin.Duration(o.latency)
	b.Spread = o.spread
	b.StragglerShare, b.StragglerFactor = o.stragglerShare, o.stragglerFactor
	b.ColdStart, b.ColdFactor = standin.Duration(o.coldStart), o.coldFactor
	if o.behaviorJSON == "" {
		return b, b.Validate()
	}
	return b.Update([]byte(o.behaviorJSON))
}

// writeTreeAndReadyFile writes the tree with the actual addresses of the leaves and
// then the ready file, so that the tree is complete when the ready file exists.
func (o *leavesOptions) writeTreeAndReadyFile(tree *settings.Tree, fleet *standin.Fleet, controlURL string) error {
	var edits []settings.Edit
	for _, path := range tree.Services(settings.Root) {
		e, _ := tree.Effective(path)
		leaves := make([]settings.Leaf, len(e.Leaves))
		for i, l := range e.Leaves {
			leaves[i] = l
			leaves[i].Addr = fleet.Addr(path, l.Name)
		}
		edits = append(edits, settings.Edit{Path: path, Name: leavesSetting, Value: settings.FormatLeaves(leaves), Op: settings.Set})
	}
	resolved, err := tree.Apply(1, edits)
	if err != nil {
		return err
	}
	if err := replaceFile(o.out, resolved.ExportFile()); err != nil {
		return err
	}
	if o.readyFile == "" {
		return nil
	}
	return replaceFile(o.readyFile, []byte(controlURL+"\n"))
}

// replaceFile writes a file atomically: readers see either the old or the new content.
func replaceFile(path string, data []byte) error {
	tmp, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(tmp.Name())
	_, err = tmp.Write(data)
	err = errors.CombineErrors(err, tmp.Chmod(outFileMode))
	err = errors.CombineErrors(err, tmp.Close())
	if err != nil {
		return err
	}
	return os.Rename(tmp.Name(), path)
}
