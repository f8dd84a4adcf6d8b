package simulator_test

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

// component is a component of a node that runs in the background.
type component interface {
	Start(ctx context.Context)
	Wait() error
}

// node is a simulated daemon: the parts of a daemon of package runner without their
// sockets. Nodes call each other and the store through the deployment's network.
type node struct {
	address    string
	leaser     *leaser.Leaser
	conductor  *conductor.Conductor
	watcher    *configurer.Watcher
	services   map[string]any
	components []component
	departed   chan struct{}
	cancel     context.CancelFunc
}

// deployment is a set of nodes that share one store and one set of targets.
type deployment struct {
	network    *network
	store      *emulator.Store
	targets    *targets
	mu         sync.Mutex
	nodes      []*node
	lastNumber int
}

func newDeployment(d *declarer.Declarations, nodes int) *deployment {
	dp := &deployment{network: newNetwork(), store: emulator.NewStore(), targets: newTargets()}
	rg := configurer.NewRepository(dp.store)
	s, err := rg.Load(context.Background())
	if err == nil {
		_, err = rg.Apply(context.Background(), s, d, "trial", "")
	}
	if err != nil {
		panic(err)
	}
	for range nodes {
		dp.addNode()
	}
	return dp
}

// sliceClient requests slices from the owners of accounts.
type sliceClient struct {
	nodeCaller *nodeCaller
	leaser     *leaser.Leaser
}

// Ask implements limiter.Asker.
func (c *sliceClient) Ask(ctx context.Context, q limiter.AskRequest) (limiter.AskReply, error) {
	var r limiter.AskReply
	p, ok := c.leaser.Owner(limiter.PartitionOf(q.Account, partitions))
	if !ok {
		return r, fmt.Errorf("account has no owner")
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	err := c.nodeCaller.Call(ctx, p.Address, limiter.ServiceName+".Ask", &q, &r)
	if err == nil && r.Moved {
		err = fmt.Errorf("account moved to another owner")
	}
	return r, err
}

// catalog provides the declared replicas.
type catalog struct {
	*configurer.Watcher
	leaving func(string) bool
}

// Leaving implements allocator.Declarations.
func (c *catalog) Leaving(id string) bool { return c.leaving(id) }

// addNode starts another node.
func (dp *deployment) addNode() *node {
	dp.mu.Lock()
	dp.lastNumber++
	number := dp.lastNumber
	dp.mu.Unlock()
	n := &node{address: fmt.Sprintf("node-%d", number), departed: make(chan struct{})}
	t := &nodeTable{dp.network, n.address, dp.store}
	caller := &nodeCaller{dp.network, n.address}
	targets := &nodeTargets{dp.targets, dp.network, n.address}
	var obs leaser.Observers
	n.leaser = leaser.New(leaser.Options{Table: t, Session: "s-" + n.address, Address: n.address, Zone: "z", Partitions: partitions, Observer: &obs})
	n.watcher = configurer.NewWatcher(configurer.NewRepository(t), configurer.NewRemotePeers(caller, n.peers), n.leaser)
	journal := journaler.New(journaler.Options{Table: t, Session: n.leaser.Session(), Interval: 5 * time.Millisecond})
	owner := sequencer.New(sequencer.Options{Ownership: n.leaser, Journal: journal, Table: t, Objects: dp.store})
	vms := lister.New(dp.store)
	leaving := func(id string) bool {
		_, r, ok := n.watcher.Snapshot().Replica(id)
		return !ok || r.Draining || vms.Leaving(r.Address)
	}
	replicas := allocator.New(allocator.Options{Ownership: n.leaser, Declarations: &catalog{n.watcher, leaving}, Order: scheduler.FairLeastAttained, AdmissionControl: true})
	accounts := limiter.NewOwner(n.leaser, n.watcher)
	obs = leaser.Observers{owner, replicas, accounts}
	slices := limiter.NewPool(&sliceClient{caller, n.leaser}, n.leaser.Session())
	n.conductor = conductor.New(conductor.Options{
		Caller: caller, PartitionMap: n.leaser, Config: n.watcher, Limits: slices, Targets: targets, Leaving: leaving, Seed: uint64(number),
	})
	engineReaper := reaper.New(reaper.Options{Engines: targets, Addresses: func() []string {
		if n.leaser.Assigned(allocator.PartitionOf("chat/e1", partitions)) {
			return []string{engineEndpoint}
		}
		return nil
	}, Gone: n.conductor.Gone})
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.services = map[string]any{
		sequencer.ServiceName: sequencer.NewService(ctx, owner), allocator.ServiceName: allocator.NewService(ctx, replicas),
		limiter.ServiceName: limiter.NewService(accounts), configurer.ServiceName: configurer.NewService(n.watcher),
	}
	n.components = []component{vms, n.watcher, journal, owner, replicas, slices, n.conductor, n.leaser, engineReaper}
	dp.network.mu.Lock()
	dp.network.nodes[n.address] = n
	dp.network.mu.Unlock()
	for _, p := range n.components {
		p.Start(ctx)
	}
	dp.mu.Lock()
	dp.nodes = append(dp.nodes, n)
	dp.mu.Unlock()
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

// reachableNodes returns the nodes that accept calls from clients.
func (dp *deployment) reachableNodes() []*node {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	var list []*node
	for _, n := range dp.nodes {
		select {
		case <-n.departed:
		default:
			list = append(list, n)
		}
	}
	return list
}

// markDeparted makes a node unreachable for clients. It returns false if the node already
// is.
func (dp *deployment) markDeparted(n *node) bool {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	select {
	case <-n.departed:
		return false
	default:
		close(n.departed)
		return true
	}
}

// killNode kills a node at once: nothing that it does afterwards has an effect.
func (dp *deployment) killNode(n *node) {
	dp.network.kill(n.address)
	dp.markDeparted(n)
	n.cancel()
}

// stopNode stops a node as planned: it hands over its leases and finishes its calls.
func (dp *deployment) stopNode(n *node) error {
	if !dp.markDeparted(n) {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	err := n.leaser.Leave(ctx)
	for n.conductor.InFlight() > 0 && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	n.leaser.Deregister(ctx)
	n.cancel()
	return err
}

// close stops all nodes and waits until they have stopped.
func (dp *deployment) close() {
	dp.network.heal()
	for _, n := range dp.nodes {
		n.cancel()
	}
	for _, n := range dp.nodes {
		for _, p := range n.components {
			_ = p.Wait()
		}
	}
}
