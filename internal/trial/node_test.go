package trial_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"pimentorail.example/pimentorail/internal/allocator"
	"pimentorail.example/pimentorail/internal/conductor"
	"pimentorail.example/pimentorail/internal/configurer"
	"pimentorail.example/pimentorail/internal/declarer"
	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/journaler"
	"pimentorail.example/pimentorail/internal/leaser"
	"pimentorail.example/pimentorail/internal/limiter"
	"pimentorail.example/pimentorail/internal/lister"
	"pimentorail.example/pimentorail/internal/reaper"
	"pimentorail.example/pimentorail/internal/scheduler"
	"pimentorail.example/pimentorail/internal/sequencer"
)

const partitions = 8

// part is a part of a node.
type part interface {
	Start(ctx context.Context)
	Wait() error
}

// node is one daemon without its sockets.
type node struct {
	address   string
	leaser    *leaser.Leaser
	conductor *conductor.Conductor
	watcher   *configurer.Watcher
	services  map[string]any
	parts     []part
	gone      chan struct{}
	cancel    context.CancelFunc
}

// deployment is a few nodes over one store and one set of targets.
type deployment struct {
	network *network
	store   *emulator.Store
	targets *targets
	mu      sync.Mutex
	nodes   []*node
	made    int
}

func newDeployment(d *declarer.Declarations, nodes int) *deployment {
	w := &deployment{network: newNetwork(), store: emulator.NewStore(), targets: newTargets()}
	g := configurer.NewRegistry(w.store)
	s, err := g.Load(context.Background())
	if err == nil {
		_, err = g.Apply(context.Background(), s, d, "trial", "")
	}
	if err != nil {
		panic(err)
	}
	for range nodes {
		w.add()
	}
	return w
}

// asker asks account owners for slices.
type asker struct {
	wire   *wire
	leaser *leaser.Leaser
}

// Ask implements limiter.Asker.
func (a *asker) Ask(ctx context.Context, q limiter.AskRequest) (limiter.AskReply, error) {
	var r limiter.AskReply
	p, ok := a.leaser.Owner(limiter.PartitionOf(q.Account, partitions))
	if !ok {
		return r, fmt.Errorf("no owner")
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	err := a.wire.Call(ctx, p.Address, limiter.ServiceName+".Ask", &q, &r)
	if err == nil && r.Moved {
		err = fmt.Errorf("moved")
	}
	return r, err
}

// catalog is the replicas as declared.
type catalog struct {
	*configurer.Watcher
	leaving func(string) bool
}

// Leaving implements allocator.Catalog.
func (c *catalog) Leaving(id string) bool { return c.leaving(id) }

// add starts one more node.
func (w *deployment) add() *node {
	w.mu.Lock()
	w.made++
	made := w.made
	w.mu.Unlock()
	n := &node{address: fmt.Sprintf("node-%d", made), gone: make(chan struct{})}
	t := &table{w.network, n.address, w.store}
	link := &wire{w.network, n.address}
	reached := &reach{w.targets, w.network, n.address}
	var obs leaser.Observers
	n.leaser = leaser.New(leaser.Options{Table: t, Session: "s-" + n.address, Address: n.address, Zone: "z", Partitions: partitions, Observer: &obs})
	n.watcher = configurer.NewWatcher(configurer.NewRegistry(t), configurer.NewRemotePeers(link, n.peers), n.leaser)
	journal := journaler.New(journaler.Options{Table: t, Session: n.leaser.Session(), Interval: 5 * time.Millisecond})
	owner := sequencer.New(sequencer.Options{Ownership: n.leaser, Journal: journal, Table: t, Objects: w.store})
	vms := lister.New(w.store)
	leaving := func(id string) bool {
		_, r, ok := n.watcher.Snapshot().Replica(id)
		return !ok || r.Draining || vms.Leaving(r.Address)
	}
	replicas := allocator.New(allocator.Options{Ownership: n.leaser, Catalog: &catalog{n.watcher, leaving}, Order: scheduler.FairLeastAttained, AdmissionControl: true})
	accounts := limiter.NewOwner(n.leaser, n.watcher)
	obs = leaser.Observers{owner, replicas, accounts}
	slices := limiter.NewPool(&asker{link, n.leaser}, n.leaser.Session())
	n.conductor = conductor.New(conductor.Options{
		Caller: link, PartitionMap: n.leaser, Config: n.watcher, Limits: slices, Targets: reached, Leaving: leaving, Seed: uint64(made),
	})
	free := reaper.New(reaper.Options{Engines: reached, Addresses: func() []string {
		if n.leaser.Assigned(allocator.PartitionOf("chat/e1", partitions)) {
			return []string{enginePlace}
		}
		return nil
	}, Gone: n.conductor.Gone})
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.services = map[string]any{
		sequencer.ServiceName: sequencer.NewService(ctx, owner), allocator.ServiceName: allocator.NewService(ctx, replicas),
		limiter.ServiceName: limiter.NewService(accounts), configurer.ServiceName: configurer.NewService(n.watcher),
	}
	n.parts = []part{vms, n.watcher, journal, owner, replicas, slices, n.conductor, n.leaser, free}
	w.network.mu.Lock()
	w.network.nodes[n.address] = n
	w.network.mu.Unlock()
	for _, p := range n.parts {
		p.Start(ctx)
	}
	w.mu.Lock()
	w.nodes = append(w.nodes, n)
	w.mu.Unlock()
	return n
}

func (n *node) peers() []string {
	var list []string
	for _, m := range n.leaser.Members() {
		if m.Address != n.address {
			list = append(list, m.Address)
		}
	}
	return list
}

// alive returns the nodes that take callers.
func (w *deployment) alive() []*node {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*node
	for _, n := range w.nodes {
		select {
		case <-n.gone:
		default:
			list = append(list, n)
		}
	}
	return list
}

// leave takes a node out of the callers' reach; false means that it left before.
func (w *deployment) leave(n *node) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-n.gone:
		return false
	default:
		close(n.gone)
		return true
	}
}

// kill ends a node at once: nothing that it does afterwards has an effect.
func (w *deployment) kill(n *node) {
	w.network.kill(n.address)
	w.leave(n)
	n.cancel()
}

// stop is the planned stop of a node.
func (w *deployment) stop(n *node) error {
	if !w.leave(n) {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	err := n.leaser.Leave(ctx)
	for n.conductor.InFlight() > 0 && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	n.leaser.End(ctx)
	n.cancel()
	return err
}

// close ends everything and waits for it.
func (w *deployment) close() {
	w.network.heal()
	for _, n := range w.nodes {
		n.cancel()
	}
	for _, n := range w.nodes {
		for _, p := range n.parts {
			_ = p.Wait()
		}
	}
}
