package runner

import (
	"math/rand/v2"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/allocator"
	"pimentorail.example/pimentorail/internal/configurer"
	"pimentorail.example/pimentorail/internal/controller"
	"pimentorail.example/pimentorail/internal/declarer"
)

// peers returns the addresses of other daemons in random order.
func (d *Daemon) peers() []string {
	var addresses []string
	for _, m := range d.leaser.Members() {
		if m.Session != d.leaser.Session() {
			addresses = append(addresses, m.Address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}

// ready returns an error if the balancer should open no connections to this daemon.
func (d *Daemon) ready() error {
	if d.watcher.Snapshot().Version() == 0 {
		return errors.New("no declarations are in force")
	}
	if d.leaser.MapAge() > maxMapAge && !d.watcher.Confirmed() {
		return errors.New("neither store nor peers confirm the declarations")
	}
	return nil
}

// leaving reports whether a replica accepts no new calls: it is not declared, is draining,
// or its VM is leaving.
func (d *Daemon) leaving(id string) bool {
	_, r, ok := d.watcher.Snapshot().Replica(id)
	return !ok || r.Draining || d.lister.Leaving(r.Address)
}

// ownedEngines returns the addresses of the engine replicas in partitions that are assigned
// to this daemon.
func (d *Daemon) ownedEngines() []string {
	var addresses []string
	s := d.watcher.Snapshot()
	for _, id := range s.Replicas() {
		t, r, ok := s.Replica(id)
		if ok && t.Kind == declarer.Engine && d.leaser.Assigned(allocator.PartitionOf(id, d.leaser.Partitions())) {
			addresses = append(addresses, r.Address)
		}
	}
	return addresses
}

// declaredReplicas provides the declared limits of replicas and whether they are leaving.
type declaredReplicas struct {
	*configurer.Watcher
	leaving func(id string) bool
}

// Leaving implements allocator.Declarations.
func (c *declaredReplicas) Leaving(id string) bool { return c.leaving(id) }

// declaredEngines returns the owned engine replicas that have a declared state.
func (d *Daemon) declaredEngines() []controller.Engine {
	var list []controller.Engine
	s := d.watcher.Snapshot()
	for _, id := range s.Replicas() {
		t, r, ok := s.Replica(id)
		if !ok || t.Kind != declarer.Engine || (r.Role == "" && len(r.Loads) == 0) {
			continue
		}
		f, owned := d.leaser.Owns(allocator.PartitionOf(id, d.leaser.Partitions()))
		if owned {
			list = append(list, controller.Engine{
				Replica: id, Address: r.Address, Fence: f.Version, HonoursFence: t.HonoursFence,
				DesiredState: controller.State{Role: r.Role, Loads: r.Loads},
			})
		}
	}
	return list
}

// ownsEngine reports whether this daemon still owns an engine under the same fence.
func (d *Daemon) ownsEngine(e controller.Engine) bool {
	f, ok := d.leaser.Owns(allocator.PartitionOf(e.Replica, d.leaser.Partitions()))
	return ok && f.Version == e.Fence
}
