package messenger

import (
	"context"
	"maps"
	"net"
	"net/rpc"
	"slices"
	"sync"

	"gopkg.in/tomb.v2"
	"k8s.io/klog/v2"

	"pimentorail.example/pimentorail/internal/acceptor"
	"pimentorail.example/pimentorail/internal/supervisor"
)

// StreamHandler serves a connection that a peer opened with Pool.OpenStream. The connection is
// closed when ServeStream returns, or when the server stops.
type StreamHandler interface {
	ServeStream(c net.Conn)
}

// Server serves RPC services to peers that send the deployment's secret.
type Server struct {
	mu     sync.Mutex
	rpc    *rpc.Server
	secret string
	// streams are the handlers of connections that carry no RPC, by kind.
	streams map[string]StreamHandler
	conns   map[net.Conn]bool
	ln      net.Listener
	tomb    *tomb.Tomb
}

// NewServer returns a server without services that accepts peers with the secret.
func NewServer(secret string) *Server {
	return &Server{rpc: rpc.NewServer(), secret: secret, streams: map[string]StreamHandler{}, conns: map[net.Conn]bool{}}
}

// Register adds a service under a name.
func (s *Server) Register(name string, service any) error {
	return s.rpc.RegisterName(name, service)
}

// RegisterStream adds the handler of a kind of connections that carry no RPC; call it before
// Start.
func (s *Server) RegisterStream(kind string, h StreamHandler) { s.streams[kind] = h }

// Start accepts connections on a listener until the context ends.
func (s *Server) Start(ctx context.Context, l net.Listener) {
	s.ln = acceptor.Wrap(l, "peers", acceptor.KlogObserver("messenger"))
	s.tomb, _ = tomb.WithContext(ctx)
	s.tomb.Go(supervisor.Loop(s.tomb, "messenger: accept", s.run))
	s.tomb.Go(s.loop)
}

// Wait returns when the server has stopped.
func (s *Server) Wait() error { return s.tomb.Wait() }

// run accepts connections until the listener is closed.
func (s *Server) run() error {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return nil // The listener is closed.
		}
		peer := &session{server: s, conn: c}
		s.tomb.Go(supervisor.Task("messenger: connection of a peer", peer.run))
	}
}

// loop closes the listener and the connections when the server stops.
func (s *Server) loop() error {
	<-s.tomb.Dying()
	_ = s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
	return nil
}

// ServeConn checks the secret of a connection and serves its calls until it is closed.
func (s *Server) ServeConn(c net.Conn) {
	defer c.Close()
	kind, err := checkSecret(c, s.secret, append([]string{rpcKind}, slices.Collect(maps.Keys(s.streams))...))
	if err != nil {
		klog.Warningf("messenger: rejected connection from %v: %v", c.RemoteAddr(), err)
		return
	}
	if a, ok := c.(interface{ Admit() }); ok {
		a.Admit() // The connection is no longer one of a stranger.
	}
	if kind == rpcKind {
		newRPCSession(s.rpc, c).run()
		return
	}
	s.streams[kind].ServeStream(c)
}

// session is an accepted connection, registered with its server while it is served.
type session struct {
	server *Server
	conn   net.Conn
}

// register adds the connection to those that the server closes at its stop. It returns false if
// that has begun.
func (s *session) register() bool {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	if !s.server.tomb.Alive() {
		return false
	}
	s.server.conns[s.conn] = true
	return true
}

// forget removes the connection from those of the server.
func (s *session) forget() {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	delete(s.server.conns, s.conn)
}

func (s *session) run() error {
	if !s.register() {
		return s.conn.Close()
	}
	defer s.forget()
	s.server.ServeConn(s.conn)
	return nil
}
