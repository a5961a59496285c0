package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
	"storj.io/drpc/drpcmux"

	"pearmoor/internal/admit"
	"pearmoor/internal/control"
	"pearmoor/internal/directory"
	"pearmoor/internal/entry"
	"pearmoor/internal/intake"
	"pearmoor/internal/link/leaf"
	"pearmoor/internal/link/peer"
	"pearmoor/internal/link/wire"
	"pearmoor/internal/policy"
	"pearmoor/internal/quarantine"
	"pearmoor/internal/query"
	"pearmoor/internal/relay"
	"pearmoor/internal/vm"
	"pearmoor/internal/work"
)

// Daemon is one pearmoord process.
type Daemon struct {
	conf      Config
	self      vm.Identity
	listeners listeners
	peerTLS   *peer.Reloader // nil: plain text between daemons
	lifecycle lifecycle

	// Heartbeats and queries use separate connections, so that a slow query can't
	// delay a heartbeat until the daemon's lease expires.
	controlConns *peer.Pool
	queryConns   *peer.Pool

	control    *control.Node // nil: not a control VM
	client     *relay.Client // nil: does not serve callers
	engine     *query.Engine
	quarantine *quarantine.Registry
	entry      *entry.Server
	intake     *intake.Intake
	sender     *leaf.Sender
	prober     *leaf.Prober
	shares     *shareManager
	gates      *admit.Gates
	listExpiry directory.ListExpiry
}

// New binds the daemon's ports and creates its components. Run starts them.
func New(conf Config) (*Daemon, error) {
	d := &Daemon{conf: conf}
	var err error
	if d.listeners, err = conf.listen(); err != nil {
		return nil, err
	}
	if err = d.assemble(); err != nil {
		d.listeners.close()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) assemble() error {
	c := &d.conf
	d.intake = intake.New(policy.NewIntakeLimits(c.MemoryMB<<20, c.MaxDescriptors), nil)
	d.self = vm.Identity{
		Name:        c.Name,
		Incarnation: vm.NewIncarnation(0),
		Domain:      c.Domain,
		Region:      c.Region,
		PeerAddr:    c.peerAddr(d.listeners),
		CallerAddr:  c.callerURL(d.listeners),
	}
	if err := d.openPeers(); err != nil {
		return err
	}
	if err := d.openControl(); err != nil {
		return err
	}
	if !c.ServeCallers {
		return nil
	}
	return d.openEntry()
}

func (d *Daemon) openPeers() error {
	if !d.conf.PlaintextPeers {
		files := peer.Files{CA: d.conf.PeerCA, Cert: d.conf.PeerCert, Key: d.conf.PeerKey}
		r, err := files.Load()
		if err != nil {
			return err
		}
		if r.Identity().Name != d.conf.Name {
			return errors.Newf("--peer-cert names %q, --name is %q: give each VM its own certificate", r.Identity().Name, d.conf.Name)
		}
		d.peerTLS = r
	}
	d.controlConns = peer.NewPool(d.clientTLS())
	d.queryConns = peer.NewPool(d.clientTLS())
	return nil
}

func (d *Daemon) clientTLS() *tls.Config {
	if d.peerTLS == nil {
		return nil
	}
	return d.peerTLS.ClientConfig()
}

func (d *Daemon) serverTLS() *tls.Config {
	if d.peerTLS == nil {
		return nil
	}
	return d.peerTLS.ServerConfig()
}

func (d *Daemon) openControl() error {
	c := &d.conf
	if !c.IsControl() {
		return nil
	}
	voters, _ := c.voters() // Validate has reported the faults
	node, err := control.Open(control.Config{
		ID:        c.ControlID,
		Name:      c.Name,
		DataDir:   c.DataDir,
		PeerAddr:  d.self.PeerAddr,
		Bootstrap: c.Bootstrap,
		Voters:    voters,
		Conns:     d.controlConns,
	})
	if err != nil {
		return err
	}
	d.control = node
	return nil
}

// controlAddrs returns the peer addresses of the control VMs, this VM first if it is
// one of them.
func (d *Daemon) controlAddrs() []string {
	if d.control == nil {
		return d.conf.ControlAddrs
	}
	return append([]string{d.self.PeerAddr}, d.conf.ControlAddrs...)
}

func (d *Daemon) openEntry() error {
	leafTLS, err := d.leafTLS()
	if err != nil {
		return err
	}
	d.client = relay.NewClient(relay.Config{
		Self:      d.self,
		Control:   d.controlAddrs(),
		Conns:     d.controlConns,
		Clock:     vm.Now,
		Interval:  d.conf.SyncInterval,
		Group:     d.diskGroup(),
		MaxDirect: d.conf.RelayThreshold,
		Fanout:    d.conf.RelayFanout,
	})
	d.gates = admit.NewGates(vm.Now)
	d.sender = leaf.NewSender(leaf.Config{Clock: vm.Now, TLS: leafTLS})
	d.prober = leaf.NewProber(leaf.ProberConfig{
		Sender: d.sender, Gates: d.gates, PlatformURL: d.conf.PlatformURL, Clock: vm.Now,
	})
	d.shares = &shareManager{
		self: d.self, source: d.client, gates: d.gates, sender: d.sender, prober: d.prober, ack: d.client.Ack,
		listExpiry: &d.listExpiry,
	}
	d.quarantine = quarantine.NewRegistry(vm.Now, &quarantine.RemoteLeader{
		Conns:        d.queryConns,
		ControlAddrs: func() []string { return append(d.client.ControlVMs(), d.controlAddrs()...) },
		Group:        func() vm.GroupID { return d.client.Current().Group },
	})
	d.engine = query.New(query.Config{
		Self: d.self, Source: d.client, Gates: d.gates, Sender: d.sender,
		Catalog: d.prober, Conns: d.queryConns, Clock: vm.Now, Quarantine: d.quarantine,
	})
	d.entry, err = entry.New(entry.Config{
		Self: d.self, Engine: d.engine, Source: d.client, Clock: vm.Now,
		Draining: func() bool { return d.lifecycle.get() == phaseDraining }, Intake: d.intake,
	})
	return err
}

func (d *Daemon) leafTLS() (*tls.Config, error) {
	if d.conf.LeafCA == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(d.conf.LeafCA)
	if err != nil {
		return nil, errors.Wrap(err, "--leaf-ca")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("--leaf-ca %s holds no PEM certificate", d.conf.LeafCA)
	}
	return &tls.Config{RootCAs: pool}, nil
}

func (d *Daemon) register(mux *drpcmux.Mux) error {
	if d.control != nil {
		if err := d.control.Register(mux); err != nil {
			return err
		}
	} else if err := wire.DRPCRegisterSpread(mux, d.client.Server()); err != nil {
		return err
	}
	if d.engine == nil {
		return nil
	}
	return wire.DRPCRegisterHome(mux, d.engine.Home())
}

// diskGroup returns the control group of this VM's disk, or the zero value if it is not known.
func (d *Daemon) diskGroup() vm.GroupID {
	if d.control == nil {
		return ""
	}
	return d.control.GroupID()
}

// Run serves until shutdown is done or a part of the daemon fails, then drains; when abort is
// done, it stops without waiting further. It returns nil after a planned stop, and otherwise the
// error of the part.
func (d *Daemon) Run(shutdown, abort context.Context) error {
	mux := drpcmux.New()
	if err := d.register(mux); err != nil {
		return err
	}
	// The peer, operator and control servers run until the drain has ended: a draining
	// daemon still renews its lease and answers other daemons.
	ctx, cancel := context.WithCancel(context.WithoutCancel(shutdown))
	defer cancel()
	parts := work.NewParts("daemon")
	d.startServers(parts, ctx, mux)
	callerCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	d.startEntry(parts, ctx, callerCtx)
	if err := d.conf.writeReadyFile(d.listeners); err != nil {
		return err
	}
	d.lifecycle.set(phaseServing)
	klog.Infof("daemon: %s serves; callers %s, peers %s, operators %s",
		d.self.Name, d.self.CallerAddr, d.self.PeerAddr, d.listeners.operator.Addr())
	waitCtx, limits := context.WithoutCancel(shutdown), plannedDrain
	select {
	case <-shutdown.Done():
	case <-parts.Failed():
		limits = failureDrain
		var cancelWait context.CancelFunc
		waitCtx, cancelWait = context.WithTimeout(waitCtx, limits.total()+failureStopTimeout)
		defer cancelWait()
	}
	parts.Stop()
	d.drain(abort, limits, stopCallers)
	cancel()
	err := parts.Wait(waitCtx)
	d.close()
	klog.Infof("daemon: %s has stopped", d.self.Name)
	return err
}

func (d *Daemon) startServers(parts *work.Parts, ctx context.Context, mux *drpcmux.Mux) {
	parts.Go("peers", func() error { return peer.Serve(ctx, d.listeners.peer, mux, d.serverTLS()) })
	operator := newOperatorServer(d.ready, func() any { return d.status() })
	parts.Go("operators", func() error { return operator.serve(ctx, d.listeners.operator, d.intake) })
	if d.control != nil {
		parts.Go("control VM", func() error { return d.control.Run(ctx) })
	}
}

func (d *Daemon) startEntry(parts *work.Parts, ctx, callerCtx context.Context) {
	if d.entry == nil {
		return
	}
	d.client.SetPhase(vm.Serving)
	parts.Go("relay client", func() error { return ignoreAfterCancel(ctx, d.client.Run(ctx)) })
	parts.Go("prober", func() error { return ignoreAfterCancel(ctx, d.prober.Run(ctx)) })
	for name, run := range map[string]func(context.Context){
		"shares": d.shares.run, "quarantine": d.quarantine.Run, "stalls": d.gates.WatchStalls,
	} {
		parts.Go(name, func() error { run(ctx); return nil })
	}
	parts.Go("callers", func() error { return d.entry.Serve(callerCtx, d.listeners.caller, d.callerTLS()) })
}

// ignoreAfterCancel returns err, or nil if ctx is done: an error after cancellation is
// part of the shutdown.
func ignoreAfterCancel(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (d *Daemon) callerTLS() *tls.Config {
	if d.conf.CallerCert == "" {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, err := tls.LoadX509KeyPair(d.conf.CallerCert, d.conf.CallerKey)
			return &cert, errors.Wrap(err, "--caller-cert")
		},
	}
}

func (d *Daemon) close() {
	if d.sender != nil {
		d.sender.Close()
	}
	d.queryConns.Close()
	d.controlConns.Close()
	d.listeners.close()
}

// ready reports whether this daemon accepts new requests, and its state or the reason
// why not.
func (d *Daemon) ready() (bool, string) {
	if phase := d.lifecycle.get(); phase != phaseServing {
		return false, phase.String()
	}
	if d.client == nil {
		return true, "control only"
	}
	v := d.client.Current()
	if v.Tree == nil || v.Settled == nil {
		return false, "unconfirmed: no configuration was learned yet"
	}
	if m, ok := v.Settled.Find(d.self.Name); !ok || !m.SameIncarnation(d.self) {
		return false, "joining: the agreed membership does not hold this daemon yet"
	}
	if remaining := v.LeaseEnd.Sub(vm.Now()); remaining <= 0 {
		return false, "unconfirmed: the daemon lease ran out " + (-remaining).Round(time.Millisecond).String() + " ago"
	}
	return true, phaseServing.String()
}
