package tunneler_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pimentorail.example/pimentorail/internal/assigner"
	"pimentorail.example/pimentorail/internal/logger"
	"pimentorail.example/pimentorail/internal/tracker"
	"pimentorail.example/pimentorail/internal/tunneler"
)

// node is a daemon that serves tunnels. It implements tunneler.Links.
type node struct {
	name     string
	service  *tunneler.Service
	listener net.Listener
	tracker  *tracker.Tracker

	mu sync.Mutex
	// cut is set if the daemon knows that its links are cut, and dialError is the error of its
	// own attempts.
	cut       bool
	dialError error
	// frozen daemons accept connections and answer nothing, and killed ones accept none.
	frozen, killed bool
	conns          []net.Conn
	asked          int
}

// DialDirectly implements tunneler.Links.
func (n *node) DialDirectly(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	err := n.dialError
	n.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if n.listener == nil {
		c, replica := net.Pipe()
		n.keep(replica)
		return c, nil
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// keep keeps a connection until the daemon is killed.
func (n *node) keep(c net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = append(n.conns, c)
}

// accept serves a connection in memory.
func (n *node) accept() (net.Conn, error) {
	n.mu.Lock()
	killed := n.killed
	n.mu.Unlock()
	if killed {
		return nil, syscall.ECONNREFUSED
	}
	c, peer := net.Pipe()
	n.keep(peer)
	go (&served{n, peer}).run()
	return c, nil
}

// MayDial implements tunneler.Links.
func (n *node) MayDial(string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.cut
}

func (n *node) run() {
	for {
		c, err := n.listener.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		n.conns = append(n.conns, c)
		n.asked++
		n.mu.Unlock()
		go (&served{n, c}).run()
	}
}

// kill closes all connections of a daemon, as the end of its process does.
func (n *node) kill() {
	if n.listener != nil {
		_ = n.listener.Close()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.killed = true
	for _, c := range n.conns {
		_ = c.Close()
	}
}

// served is a connection of a peer.
type served struct {
	node *node
	conn net.Conn
}

func (s *served) run() {
	s.node.mu.Lock()
	frozen := s.node.frozen
	s.node.mu.Unlock()
	if frozen {
		return // The fixture closes the connection at its end.
	}
	defer s.conn.Close()
	s.node.service.ServeStream(s.conn)
}

// network is a zone of daemons and those of another zone. It implements tunneler.Peers.
type network struct{ zone, elsewhere []*node }

func peersOf(nodes []*node) []assigner.Peer {
	var list []assigner.Peer
	for _, n := range nodes {
		address := n.name
		if n.listener != nil {
			address = n.listener.Addr().String()
		}
		list = append(list, assigner.Peer{Name: n.name, Address: address})
	}
	return list
}

// Others implements tunneler.Peers.
func (n *network) Others() []assigner.Peer { return peersOf(n.zone) }

// Elsewhere implements tunneler.Peers.
func (n *network) Elsewhere(context.Context) []assigner.Peer { return peersOf(n.elsewhere) }

// OpenStream implements tunneler.Peers.
func (n *network) OpenStream(ctx context.Context, address, _ string) (net.Conn, error) {
	for _, m := range append(slices.Clone(n.zone), n.elsewhere...) {
		if m.listener == nil && m.name == address {
			return m.accept()
		}
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// fixture is a network before one replica.
type fixture struct {
	t       *testing.T
	network network
	replica *tracker.Replica
	gone    chan struct{}
}

func newFixture(t *testing.T, zone, elsewhere int) *fixture {
	t.Helper()
	f := &fixture{t: t, gone: make(chan struct{}, 16)}
	s := httptest.NewServer(http.HandlerFunc(f.serve))
	t.Cleanup(s.Close)
	f.replica = &tracker.Replica{ID: "r", Service: "s", Address: strings.TrimPrefix(s.URL, "http://"), StartedMS: 7, Slots: 4}
	return f.addNodes(zone, elsewhere, true)
}

// newMemoryFixture returns a fixture whose connections are pipes, for tests of time: another
// process may take the port of a killed daemon, and a socket waits for the processor.
func newMemoryFixture(t *testing.T, zone, elsewhere int) *fixture {
	t.Helper()
	f := &fixture{t: t, gone: make(chan struct{}, 16)}
	f.replica = &tracker.Replica{ID: "r", Service: "s", Address: "r", StartedMS: 7, Slots: 4}
	return f.addNodes(zone, elsewhere, false)
}

// addNodes adds daemons that listen at a port or in memory.
func (f *fixture) addNodes(zone, elsewhere int, ports bool) *fixture {
	f.t.Helper()
	lines := logger.Start(f.t.Context(), io.Discard)
	for i := range zone + elsewhere {
		n := &node{name: "n" + strconv.Itoa(i), tracker: tracker.New(tracker.Options{})}
		if ports {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				f.t.Fatal(err)
			}
			n.listener = l
		}
		r := *f.replica
		n.tracker.Replace([]*tracker.Replica{&r}, time.Now())
		n.service = tunneler.NewService(n.tracker, n, lines)
		f.t.Cleanup(n.kill)
		if ports {
			go n.run()
		}
		if i < zone {
			f.network.zone = append(f.network.zone, n)
		} else {
			f.network.elsewhere = append(f.network.elsewhere, n)
		}
	}
	return f
}

// serve answers as a replica does: with the body, with an endless stream, or with a body that
// ends with the connection.
func (f *fixture) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/endless":
		for {
			if _, err := io.WriteString(w, "data: x\n\n"); err != nil {
				break
			}
			_ = http.NewResponseController(w).Flush()
			select {
			case <-r.Context().Done():
				f.gone <- struct{}{}
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	case "/hasty": // It answers before it has read the request, and resets the connection.
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	case "/until-close":
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			f.t.Error(err)
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nbegin ")
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(c, "end")
		_ = c.Close()
	default:
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	}
}

func (f *fixture) tunneler() *tunneler.Tunneler {
	return tunneler.New("me", &f.network, logger.Start(f.t.Context(), io.Discard))
}

func (f *fixture) dial(u *tunneler.Tunneler) *tunneler.Conn {
	f.t.Helper()
	c, err := u.Dial(context.Background(), f.replica)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = c.Close() })
	return c.(*tunneler.Conn)
}
