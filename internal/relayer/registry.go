package relayer

import (
	"sync"
	"time"
)

// registry holds this daemon's contact with the registry of replicas.
type registry struct {
	mu      sync.Mutex
	contact contact
}

// RegistryRead records that the registry of replicas was read.
func (x *Relayer) RegistryRead() {
	direct := x.direct.OutageDuration() == 0
	x.registry.mu.Lock()
	defer x.registry.mu.Unlock()
	x.registry.contact.read(time.Now(), direct)
}

// RegistryLost records that the registry of replicas could not be read.
func (x *Relayer) RegistryLost() {
	x.registry.mu.Lock()
	defer x.registry.mu.Unlock()
	x.registry.contact.lose()
}

// RegistryContact tells a peer for how long this daemon has read the registry of replicas.
func (s *Service) RegistryContact(_ ContactRequest, r *ContactReply) error {
	s.registry.mu.Lock()
	defer s.registry.mu.Unlock()
	*r = s.registry.contact.reply(time.Now())
	return nil
}
