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
	Version uint64
	// Confirmed is set if the peer has confirmed its version at least once, and Age is how
	// long ago that last was.
	Confirmed bool
	Age       time.Duration
	Changes   []Change
}

// Service serves a Watcher over net/rpc.
type Service struct{ watcher *Watcher }

// NewService returns the RPC service of a watcher.
func NewService(w *Watcher) *Service { return &Service{watcher: w} }

// Since returns the recent changes after a version that this daemon has applied.
func (s *Service) Since(q *SinceRequest, r *SinceReply) error {
	w := s.watcher
	w.mu.Lock()
	defer w.mu.Unlock()
	r.Version = w.snapshot.version
	r.Confirmed = !w.confirmedAt.IsZero()
	r.Age = time.Since(w.confirmedAt)
	for _, c := range w.recentChanges {
		if c.Version > q.Version {
			r.Changes = append(r.Changes, c)
		}
	}
	return nil
}

// Caller makes remote procedure calls. messenger.Pool implements it.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// RemotePeers asks the daemons of a list for changes, one after another.
type RemotePeers struct {
	caller    Caller
	addresses func() []string
}

// NewRemotePeers returns peers that are called through c; addresses lists them.
func NewRemotePeers(c Caller, addresses func() []string) *RemotePeers {
	return &RemotePeers{caller: c, addresses: addresses}
}

// maxAskedPeers limits the calls of one Since.
const maxAskedPeers = 3

// Since implements Peers. It returns the reply with the highest confirmed version, or the
// most recently confirmed one of several.
func (p *RemotePeers) Since(ctx context.Context, version uint64) (SinceReply, error) {
	var best SinceReply
	found := false
	for i, a := range p.addresses() {
		if i >= maxAskedPeers {
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
