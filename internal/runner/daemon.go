package runner

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"
	"k8s.io/klog/v2"

	"pimentorail.example/pimentorail/internal/allocator"
	"pimentorail.example/pimentorail/internal/conductor"
	"pimentorail.example/pimentorail/internal/configurer"
	"pimentorail.example/pimentorail/internal/controller"
	"pimentorail.example/pimentorail/internal/dispatcher"
	"pimentorail.example/pimentorail/internal/journaler"
	"pimentorail.example/pimentorail/internal/leaser"
	"pimentorail.example/pimentorail/internal/limiter"
	"pimentorail.example/pimentorail/internal/linker"
	"pimentorail.example/pimentorail/internal/listener"
	"pimentorail.example/pimentorail/internal/lister"
	"pimentorail.example/pimentorail/internal/reaper"
	"pimentorail.example/pimentorail/internal/router"
	"pimentorail.example/pimentorail/internal/scheduler"
	"pimentorail.example/pimentorail/internal/sequencer"
	"pimentorail.example/pimentorail/internal/storer"
)

const (
	askTimeout        = 2 * time.Second
	staleMap          = 30 * time.Second
	lameDuck          = time.Second
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	activePoll        = 50 * time.Millisecond
)

// part is a part of a daemon that runs until its context ends.
type part interface {
	Start(ctx context.Context)
	Wait() error
}

// Daemon is one running daemon.
type Daemon struct {
	settings   Settings
	store      *storer.Client
	pool       *linker.Pool
	server     *linker.Server
	observers  leaser.Observers
	leaser     *leaser.Leaser
	journal    *journaler.Journaler
	programs   *sequencer.Owner
	replicas   *allocator.Owner
	accounts   *limiter.Owner
	watcher    *configurer.Watcher
	lister     *lister.Lister
	slices     *limiter.Pool
	dispatcher *dispatcher.Dispatcher
	conductor  *conductor.Conductor
	listener   *listener.Listener
	reaper     *reaper.Reaper
	controller *controller.Controller
	metrics    *metrics
	http       *http.Server
	cancel     context.CancelFunc
	tomb       *tomb.Tomb
}

// New wires a daemon; nothing runs yet.
func New(s Settings) *Daemon {
	d := &Daemon{settings: s, metrics: newMetrics()}
	d.wireStore()
	d.wireOwners()
	d.wireEntry()
	return d
}

func (d *Daemon) wireStore() {
	s := d.settings
	session := uuid.NewString()
	d.store = storer.Dial(s.Platform)
	d.pool = linker.NewPool(linker.DialTCP, s.Secret)
	d.server = linker.NewServer(s.Secret)
	d.lister = lister.New(d.store)
	d.journal = journaler.New(journaler.Options{Table: d.store, Session: session, Interval: s.journalInterval()})
	d.leaser = leaser.New(leaser.Options{
		Table: d.store, Session: session, Address: s.RPC, Zone: s.Zone, Partitions: s.Partitions, Observer: &d.observers,
	})
	d.watcher = configurer.NewWatcher(configurer.NewRegistry(d.store), configurer.NewRemotePeers(d.pool, d.peers), d.leaser)
}

func (d *Daemon) wireOwners() {
	d.programs = sequencer.New(sequencer.Options{Ownership: d.leaser, Journal: d.journal, Table: d.store, Objects: d.store})
	d.replicas = allocator.New(allocator.Options{
		Ownership: d.leaser, Catalog: &catalog{d.watcher, d.leaving}, Order: d.order(),
		FixedWindows: d.settings.Policies.FixedWindow, AdmissionControl: !d.settings.Policies.NoAdmission,
	})
	d.accounts = limiter.NewOwner(d.leaser, d.watcher)
	d.observers = leaser.Observers{d.programs, d.replicas, d.accounts}
}

func (d *Daemon) wireEntry() {
	d.dispatcher = dispatcher.New()
	d.slices = limiter.NewPool(&asker{d.pool, d.leaser}, d.leaser.Session())
	d.conductor = conductor.New(conductor.Options{
		Caller: d.pool, PartitionMap: d.leaser, Config: d.watcher, Limits: d.slices, Targets: d.dispatcher,
		Leaving: d.leaving, Routing: router.Policy(d.settings.Policies.Routing), Seed: rand.Uint64(),
	})
	d.listener = listener.New(listener.Options{
		Conductor: d.conductor, Config: d.watcher, Scope: d.metrics.Scope(), Ready: d.ready, Metrics: d.metrics.Handler(),
	})
	d.reaper = reaper.New(reaper.Options{Engines: d.dispatcher, Addresses: d.ownedEngines, Gone: d.conductor.Gone})
	d.controller = controller.New(controller.Options{Engines: d.dispatcher, Owned: d.declaredEngines, Owns: d.ownsEngine})
	d.http = &http.Server{Handler: d.listener.Handler(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
}

func (d *Daemon) order() scheduler.Order {
	if d.settings.Policies.Order == "" {
		return scheduler.FairLeastAttained
	}
	return scheduler.Order(d.settings.Policies.Order)
}

func (d *Daemon) parts() []part {
	return []part{d.watcher, d.lister, d.journal, d.programs, d.replicas, d.slices, d.conductor, d.leaser, d.reaper, d.controller}
}

// Start listens and runs until Stop or until the context ends.
func (d *Daemon) Start(ctx context.Context) error {
	if err := d.register(ctx); err != nil {
		return err
	}
	daemons, err := net.Listen("tcp", d.settings.RPC)
	if err != nil {
		return errors.Wrap(err, "rpc-address")
	}
	callers, err := net.Listen("tcp", d.settings.HTTP)
	if err != nil {
		_ = daemons.Close()
		return errors.Wrap(err, "http-address")
	}
	ctx, d.cancel = context.WithCancel(ctx)
	d.server.Start(ctx, daemons)
	for _, p := range d.parts() {
		p.Start(ctx)
	}
	d.metrics.watch(ctx, d)
	d.tomb, _ = tomb.WithContext(ctx)
	f := &front{server: d.http, listener: callers}
	d.tomb.Go(f.run)
	klog.Infof("runner: started, callers at %s, daemons at %s, zone %s.", d.settings.HTTP, d.settings.RPC, d.settings.Zone)
	return nil
}

// register adds the services for other daemons.
func (d *Daemon) register(ctx context.Context) error {
	services := []service{
		{sequencer.ServiceName, sequencer.NewService(ctx, d.programs)},
		{allocator.ServiceName, allocator.NewService(ctx, d.replicas)},
		{limiter.ServiceName, limiter.NewService(d.accounts)},
		{configurer.ServiceName, configurer.NewService(d.watcher)},
	}
	for _, s := range services {
		if err := d.server.Register(s.name, s.receiver); err != nil {
			return errors.Wrap(err, s.name)
		}
	}
	return nil
}

// service is an RPC service under its name.
type service struct {
	name     string
	receiver any
}

// Stop is the planned stop: partitions are handed over, requests in flight
// finish, the member row goes, and the daemon ends.
func (d *Daemon) Stop(ctx context.Context) error {
	klog.Info("runner: stopping.")
	ctx, cancel := context.WithTimeout(ctx, d.settings.stopLimit())
	defer cancel()
	d.listener.Stop()
	pause(ctx, lameDuck)
	left := d.leaser.Leave(ctx)
	err := d.http.Shutdown(ctx)
	for d.conductor.InFlight() > 0 && ctx.Err() == nil {
		pause(ctx, activePoll)
	}
	if left == nil {
		left = err
	}
	d.leaser.End(ctx)
	d.Kill()
	klog.Info("runner: stopped.")
	return errors.Wrap(left, "planned stop")
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// Kill ends the daemon at once.
func (d *Daemon) Kill() {
	d.cancel()
	_ = d.http.Close()
	for _, p := range d.parts() {
		_ = p.Wait()
	}
	_ = d.server.Wait()
	_ = d.tomb.Wait()
	d.pool.Close()
	d.store.Close()
	d.dispatcher.Close()
}

// front serves callers.
type front struct {
	server   *http.Server
	listener net.Listener
}

func (f *front) run() error {
	if err := f.server.Serve(f.listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve callers")
	}
	return nil
}
