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

	"pimentorail.example/pimentorail/internal/acceptor"
	"pimentorail.example/pimentorail/internal/allocator"
	"pimentorail.example/pimentorail/internal/conductor"
	"pimentorail.example/pimentorail/internal/configurer"
	"pimentorail.example/pimentorail/internal/controller"
	"pimentorail.example/pimentorail/internal/dispatcher"
	"pimentorail.example/pimentorail/internal/journaler"
	"pimentorail.example/pimentorail/internal/leaser"
	"pimentorail.example/pimentorail/internal/limiter"
	"pimentorail.example/pimentorail/internal/listener"
	"pimentorail.example/pimentorail/internal/lister"
	"pimentorail.example/pimentorail/internal/messenger"
	"pimentorail.example/pimentorail/internal/reaper"
	"pimentorail.example/pimentorail/internal/router"
	"pimentorail.example/pimentorail/internal/scheduler"
	"pimentorail.example/pimentorail/internal/screener"
	"pimentorail.example/pimentorail/internal/sequencer"
	"pimentorail.example/pimentorail/internal/storer"
)

const (
	askTimeout = 2 * time.Second
	maxMapAge  = 30 * time.Second
	// shutdownDelay gives the balancer time to notice that the daemon is unready.
	shutdownDelay      = time.Second
	readHeaderTimeout  = 10 * time.Second
	idleTimeout        = 2 * time.Minute
	maxHeaderBytes     = 64 << 10
	inFlightPollPeriod = 50 * time.Millisecond
)

// component is a part of a daemon that runs until its context ends.
type component interface {
	Start(ctx context.Context)
	Wait() error
}

// Daemon is one process that runs the calls of callers and owns partitions of programs,
// replicas and accounts.
type Daemon struct {
	settings   Settings
	store      *storer.Client
	pool       *messenger.Pool
	rpcServer  *messenger.Server
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
	screener   *screener.Screener
	httpServer *http.Server
	// rpcListener and httpListener are open once Listen has returned.
	rpcListener, httpListener net.Listener
	cancel                    context.CancelFunc
	tomb                      *tomb.Tomb
}

// New returns a daemon that is not started yet.
func New(s Settings) *Daemon {
	d := &Daemon{settings: s, metrics: newMetrics(), screener: screener.New(s.memoryBytes())}
	d.wireStore()
	d.wireOwners()
	d.wireEntry()
	return d
}

func (d *Daemon) wireStore() {
	s := d.settings
	session := uuid.NewString()
	d.store = storer.NewClient(s.Platform)
	d.pool = messenger.NewPool(messenger.DialTCP, s.Secret)
	d.rpcServer = messenger.NewServer(s.Secret)
	d.lister = lister.New(d.store)
	d.journal = journaler.New(journaler.Options{Table: d.store, Session: session, Interval: s.journalInterval()})
	d.leaser = leaser.New(leaser.Options{
		Table: d.store, Session: session, Address: s.RPC, Zone: s.Zone, Partitions: s.Partitions, Observer: &d.observers,
	})
	d.watcher = configurer.NewWatcher(configurer.NewRepository(d.store), configurer.NewRemotePeers(d.pool, d.peers), d.leaser)
}

func (d *Daemon) wireOwners() {
	d.programs = sequencer.New(sequencer.Options{Ownership: d.leaser, Journal: d.journal, Table: d.store, Objects: d.store})
	d.replicas = allocator.New(allocator.Options{
		Ownership: d.leaser, Declarations: &declaredReplicas{d.watcher, d.leaving}, Order: d.order(),
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
	d.httpServer = &http.Server{Handler: d.listener.Handler(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	d.screener.Guard(d.httpServer)
}

func (d *Daemon) order() scheduler.Order {
	if d.settings.Policies.Order == "" {
		return scheduler.FairLeastAttained
	}
	return scheduler.Order(d.settings.Policies.Order)
}

func (d *Daemon) components() []component {
	return []component{d.watcher, d.lister, d.journal, d.programs, d.replicas, d.slices, d.conductor, d.leaser, d.reaper, d.controller}
}

// Listen opens the listeners, each as soon as its port is free. It returns context.Canceled
// if the context ends meanwhile.
func (d *Daemon) Listen(ctx context.Context) error {
	a := acceptor.New(ctx, listen, acceptor.KlogObserver("runner"))
	rpcListener, err := a.Open(ctx, "daemons", d.settings.RPC)
	if err != nil {
		return errors.WithMessage(err, "rpc-address")
	}
	httpListener, err := a.Open(ctx, "callers", d.settings.HTTP)
	if err != nil {
		_ = rpcListener.Close()
		return errors.WithMessage(err, "http-address")
	}
	d.rpcListener, d.httpListener = d.screener.Wrap(rpcListener), d.screener.Wrap(httpListener)
	return nil
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	var c net.ListenConfig
	return c.Listen(ctx, "tcp", address)
}

// Start starts the daemon, which runs until Stop or Kill, or until the context ends. It calls
// Listen unless that was done before.
func (d *Daemon) Start(ctx context.Context) error {
	if d.rpcListener == nil {
		if err := d.Listen(ctx); err != nil {
			return err
		}
	}
	if err := d.registerServices(ctx); err != nil {
		_, _ = d.rpcListener.Close(), d.httpListener.Close()
		return err
	}
	ctx, d.cancel = context.WithCancel(ctx)
	d.rpcServer.Start(ctx, d.rpcListener)
	for _, p := range d.components() {
		p.Start(ctx)
	}
	d.metrics.start(ctx, d)
	d.tomb, _ = tomb.WithContext(ctx)
	a := &acceptLoop{server: d.httpServer, listener: d.httpListener}
	d.tomb.Go(a.run)
	klog.Infof("runner: started, callers at %s, daemons at %s, zone %s.", d.settings.HTTP, d.settings.RPC, d.settings.Zone)
	return nil
}

// registerServices registers the RPC services for other daemons.
func (d *Daemon) registerServices(ctx context.Context) error {
	services := []rpcService{
		{sequencer.ServiceName, sequencer.NewService(ctx, d.programs)},
		{allocator.ServiceName, allocator.NewService(ctx, d.replicas)},
		{limiter.ServiceName, limiter.NewService(d.accounts)},
		{configurer.ServiceName, configurer.NewService(d.watcher)},
	}
	for _, s := range services {
		if err := d.rpcServer.Register(s.name, s.receiver); err != nil {
			return errors.Wrap(err, s.name)
		}
	}
	return nil
}

// rpcService is the receiver of an RPC service with its registered name.
type rpcService struct {
	name     string
	receiver any
}

// Stop performs a planned stop: it hands over the partitions, waits for the requests in
// flight, deletes the member row and ends the daemon.
func (d *Daemon) Stop(ctx context.Context) error {
	klog.Info("runner: stopping.")
	ctx, cancel := context.WithTimeout(ctx, d.settings.stopLimit())
	defer cancel()
	d.listener.Stop()
	sleep(ctx, shutdownDelay)
	leaveErr := d.leaser.Leave(ctx)
	err := d.httpServer.Shutdown(ctx)
	for d.conductor.InFlight() > 0 && ctx.Err() == nil {
		sleep(ctx, inFlightPollPeriod)
	}
	if leaveErr == nil {
		leaveErr = err
	}
	d.leaser.Deregister(ctx)
	d.Kill()
	klog.Info("runner: stopped.")
	return errors.Wrap(leaveErr, "planned stop")
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// Kill ends the daemon at once, without the steps of a planned stop.
func (d *Daemon) Kill() {
	d.cancel()
	_ = d.httpServer.Close()
	for _, p := range d.components() {
		_ = p.Wait()
	}
	_ = d.rpcServer.Wait()
	_ = d.tomb.Wait()
	d.pool.Close()
	d.store.Close()
}

// acceptLoop runs the HTTP server for callers on one listener.
type acceptLoop struct {
	server   *http.Server
	listener net.Listener
}

func (a *acceptLoop) run() error {
	if err := a.server.Serve(a.listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve callers")
	}
	return nil
}
