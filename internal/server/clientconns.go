package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// pendingPoll is the time between two looks at the connections with a request.
	pendingPoll = 10 * time.Millisecond
	// firstRequestTime is how long a planned stop waits for the first request of a connection,
	// as http.Server.Shutdown does.
	firstRequestTime = 5 * time.Second
)

// clientConns are the open connections of clients. They replace http.Server.Shutdown in a
// planned stop, which closes the connection of each request that it reads after its begin, and
// of one that it has just read, without a response.
type clientConns struct {
	mu       sync.Mutex
	listener net.Listener
	conns    map[*clientConn]bool
	drains   bool
	// sweeps is set while the server closes its idle connections.
	sweeps bool
}

func newClientConns() *clientConns { return &clientConns{conns: map[*clientConn]bool{}} }

// wrap returns a listener whose connections are followed until they are closed.
func (s *clientConns) wrap(l net.Listener) net.Listener {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = &clientListener{l, s}
	if s.drains {
		_ = l.Close()
	}
	return s.listener
}

// observe implements http.Server.ConnState.
func (s *clientConns) observe(n net.Conn, state http.ConnState) {
	c, ok := n.(*clientConn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.idle = state == http.StateIdle || state == http.StateNew
	if state == http.StateIdle {
		c.busy = false
	}
}

// drain accepts no further connections, closes those that are idle, and lets the server close
// the others after their next response.
func (s *clientConns) drain(h *http.Server) {
	s.mu.Lock()
	if s.drains {
		s.mu.Unlock()
		return
	}
	s.drains, s.sweeps = true, true
	l := s.listener
	s.mu.Unlock()
	if l != nil {
		_ = l.Close()
	}
	h.SetKeepAlivesEnabled(false)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweeps = false
}

// await waits until no connection has a request or may still send its first one, or returns the
// error of the context.
func (s *clientConns) await(ctx context.Context) error {
	for s.pending(time.Now()) > 0 {
		select {
		case <-time.After(pendingPoll):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// pending returns the number of connections that a planned stop waits for.
func (s *clientConns) pending(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		if c.busy || !c.used && now.Sub(c.openedAt) < firstRequestTime {
			n++
		}
	}
	return n
}

// clientListener accepts connections of clients.
type clientListener struct {
	net.Listener
	conns *clientConns
}

// Accept implements net.Listener.
func (l *clientListener) Accept() (net.Conn, error) {
	n, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &clientConn{Conn: n, conns: l.conns, openedAt: time.Now()}
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	l.conns.conns[c] = true
	return c, nil
}
