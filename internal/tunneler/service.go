package tunneler

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/logger"
	"pimentorail.example/pimentorail/internal/tracker"
)

const (
	// maxTunnels bounds the tunnels that this daemon serves, and with them their memory.
	maxTunnels = 512
	// drainPoll is the time between two looks at the number of tunnels.
	drainPoll = 20 * time.Millisecond
)

// Links reaches replicas directly.
type Links interface {
	// DialDirectly opens a connection to a replica.
	DialDirectly(ctx context.Context, instance, address string) (net.Conn, error)
	// MayDial reports whether the link to a replica is not known to be cut, or is to be probed.
	MayDial(instance string) bool
}

// Service serves the tunnels of peers. It implements messenger.StreamHandler.
type Service struct {
	tracker *tracker.Tracker
	links   Links
	logger  *logger.Logger

	mu      sync.Mutex
	tunnels map[*tunnel]bool
	leaving bool
}

// NewService returns a service without tunnels.
func NewService(t *tracker.Tracker, links Links, l *logger.Logger) *Service {
	return &Service{tracker: t, links: links, logger: l, tunnels: map[*tunnel]bool{}}
}

// Active returns the number of tunnels.
func (s *Service) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tunnels)
}

// Leave opens no further tunnels, and tells the peers to send nothing more on the open ones.
func (s *Service) Leave() {
	s.mu.Lock()
	s.leaving = true
	var list []*tunnel
	for t := range s.tunnels {
		list = append(list, t)
	}
	s.mu.Unlock()
	for _, t := range list {
		t.writeHead(leavingFrame)
	}
}

// Drain waits until all tunnels have ended or the context ends.
func (s *Service) Drain(ctx context.Context) {
	for s.Active() > 0 {
		select {
		case <-time.After(drainPoll):
		case <-ctx.Done():
			return
		}
	}
}

// ServeStream implements messenger.StreamHandler.
func (s *Service) ServeStream(c net.Conn) {
	_ = c.SetDeadline(time.Now().Add(askTimeout))
	r := bufio.NewReaderSize(c, maxHeaderBytes)
	h, err := readHeader(r)
	if err != nil {
		s.logger.Event("tunneler", "header unreadable").Err(err).End()
		return
	}
	t := &tunnel{peer: c, reader: r}
	defer s.close(t)
	result := s.connect(t, h)
	s.logger.Event("tunneler", "asked by a peer").Str("tunnel", h.ID).Str("replica", h.Replica).Str("status", result.String()).End()
	if _, err := c.Write([]byte{byte(result)}); err != nil || result != connected {
		return
	}
	_ = c.SetDeadline(time.Time{})
	t.run()
}

// connect dials the replica of a tunnel.
func (s *Service) connect(t *tunnel, h header) status {
	r := s.tracker.Find(h.Replica)
	if r == nil || r.StartedMS != h.StartedMS {
		return unknown
	}
	if !s.links.MayDial(r.Instance()) {
		return cutOff
	}
	if !s.add(t) {
		return busy
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	c, err := s.links.DialDirectly(ctx, r.Instance(), r.Address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return refused
	case err != nil:
		return unreached
	}
	t.replica = c
	return connected
}

// add counts a tunnel, and returns false if there may be no further one.
func (s *Service) add(t *tunnel) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving || len(s.tunnels) >= maxTunnels {
		return false
	}
	s.tunnels[t] = true
	return true
}

// close closes the connections of a tunnel and stops to count it.
func (s *Service) close(t *tunnel) {
	s.mu.Lock()
	delete(s.tunnels, t)
	s.mu.Unlock()
	_ = t.peer.Close()
	if t.replica != nil {
		_ = t.replica.Close()
	}
}
