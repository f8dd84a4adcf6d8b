package configurer

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ServiceName is the name of the configuration's RPC service.
const ServiceName = "Configurer"

// SinceRequest asks a peer for the changes after a version.
type SinceRequest struct{ Version uint64 }

// SinceReply carries a peer's version, how long ago it confirmed it, and the changes.
type SinceReply struct {
	Version   uint64
	Confirmed bool
	Age       time.Duration
	Changes   []Change
}

// Service serves a Watcher by net/rpc.
type Service struct{ watcher *Watcher }

// NewService returns the RPC service of a watcher.
func NewService(w *Watcher) *Service { return &Service{watcher: w} }

// Since serves the changes that this daemon knows after a version.
func (s *Service) Since(q *SinceRequest, r *SinceReply) error {
	w := s.watcher
	w.mu.Lock()
	defer w.mu.Unlock()
	r.Version = w.snapshot.version
	r.Confirmed = !w.confirmed.IsZero()
	r.Age = time.Since(w.confirmed)
	for _, c := range w.recent {
		if c.Version > q.Version {
			r.Changes = append(r.Changes, c)
		}
	}
	return nil
}

// Caller makes remote procedure calls; a linker.Pool is one.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// RemotePeers asks the members of a list in turn.
type RemotePeers struct {
	caller    Caller
	addresses func() []string
}

// NewRemotePeers returns peers over a caller; addresses lists them.
func NewRemotePeers(c Caller, addresses func() []string) *RemotePeers {
	return &RemotePeers{caller: c, addresses: addresses}
}

const askedPeers = 3

// Since implements Peers: of a few peers, the one with the highest version answers.
func (p *RemotePeers) Since(ctx context.Context, version uint64) (SinceReply, error) {
	var best SinceReply
	found := false
	for i, a := range p.addresses() {
		if i >= askedPeers {
			break
		}
		var r SinceReply
		err := p.caller.Call(ctx, a, ServiceName+".Since", &SinceRequest{Version: version}, &r)
		if err != nil || !r.Confirmed {
			continue
		}
		if !found || r.Version > best.Version || (r.Version == best.Version && r.Age < best.Age) {
			best, found = r, true
		}
	}
	if !found {
		return best, errors.New("configurer: no peer confirms a version")
	}
	return best, nil
}
