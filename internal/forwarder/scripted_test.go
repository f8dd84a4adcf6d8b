package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pimentorail.example/pimentorail/internal/assigner"
	"pimentorail.example/pimentorail/internal/connector"
	"pimentorail.example/pimentorail/internal/logger"
	"pimentorail.example/pimentorail/internal/tracker"
	"pimentorail.example/pimentorail/internal/tunneler"
)

// ending is what a scripted replica does with its connection after a response.
type ending int

const (
	closes ending = iota
	resets
	keepsOpen
)

const (
	// pieceDelay is the time between two pieces of a scripted response.
	pieceDelay = 3 * time.Millisecond
	// scriptedStart is the start time of scripted replicas.
	scriptedStart = 7
)

// script is a response in pieces. The word $ID stands for the id of the request.
type script struct {
	pieces []string
	end    ending
}

// scriptedReplica answers requests with one script, byte by byte as it is written.
type scriptedReplica struct {
	listener net.Listener
	// peer reaches the replica in place of the daemon, whose link is cut; nil if it is not.
	peer *scriptedPeer

	mu     sync.Mutex
	script script
	// requests is the number of requests since the script is in use.
	requests int
}

func newScriptedReplica(t *testing.T) *scriptedReplica {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedReplica{listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go s.run()
	return s
}

func (s *scriptedReplica) use(next script) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.script, s.requests = next, 0
}

// reached reports whether a request has arrived since the script is in use.
func (s *scriptedReplica) reached() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests > 0
}

func (s *scriptedReplica) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.loop(c.(*net.TCPConn))
	}
}

func (s *scriptedReplica) loop(c *net.TCPConn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		if q.RequestURI == reportTarget {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", scriptedStart)
			continue
		}
		s.mu.Lock()
		next := s.script
		s.requests++
		s.mu.Unlock()
		for i, p := range next.pieces {
			if i > 0 {
				time.Sleep(pieceDelay)
			}
			_, _ = io.WriteString(c, strings.ReplaceAll(p, "$ID", q.Header.Get("Id")))
		}
		switch next.end {
		case resets:
			time.Sleep(pieceDelay) // A reset discards what the peer has not read.
			_ = c.SetLinger(0)
			return
		case closes:
			return
		}
	}
}

// scriptedPeer is a daemon that reaches a replica. It implements tunneler.Peers.
type scriptedPeer struct {
	service *tunneler.Service

	mu    sync.Mutex
	conns []net.Conn
}

// kill closes the connections of a peer, as the end of its process does.
func (p *scriptedPeer) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
}

// Others implements tunneler.Peers.
func (p *scriptedPeer) Others() []assigner.Peer {
	return []assigner.Peer{{Name: "peer", Address: "peer"}}
}

// Elsewhere implements tunneler.Peers.
func (p *scriptedPeer) Elsewhere(context.Context) []assigner.Peer { return nil }

// OpenStream implements tunneler.Peers.
func (p *scriptedPeer) OpenStream(context.Context, string, string) (net.Conn, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		return nil, err
	}
	served, err := l.Accept()
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.conns = append(p.conns, served)
	p.mu.Unlock()
	go p.service.ServeStream(served)
	return c, nil
}

// way is how a request reaches the replica.
type way int

const (
	// direct is a request that begins a stream, and resumed one that takes it up at another
	// daemon than the one at which it began.
	direct way = iota
	resumed
	// throughPeer and resumedThroughPeer are the same at a daemon whose link to the replica is
	// cut.
	throughPeer
	resumedThroughPeer
)

var wayNames = [...]string{"direct", "resumed at another daemon", "through a peer", "resumed through a peer"}

func (w way) String() string { return wayNames[w] }

func (w way) resumes() bool { return w == resumed || w == resumedThroughPeer }

// header returns the header of a request.
func (w way) header() []string {
	if w.resumes() {
		return []string{"Resumes", "began", "Last-Event", "3"}
	}
	return nil
}

// newScriptedFixture returns a fixture with one scripted replica. The stream "began" began at
// another daemon.
func newScriptedFixture(t *testing.T, w way) (*fixture, *scriptedReplica) {
	t.Helper()
	f, s := newFixture(t).applyRoutes(), newScriptedReplica(t)
	r := &tracker.Replica{ID: "0", Service: "s", Address: s.listener.Addr().String(), Slots: 4, Version: "v1", StartedMS: scriptedStart}
	if w == throughPeer || w == resumedThroughPeer {
		known := *r
		trackerOfPeer := tracker.New(tracker.Options{})
		trackerOfPeer.Replace([]*tracker.Replica{&known}, time.Now())
		lines := logger.Start(t.Context(), io.Discard)
		s.peer = &scriptedPeer{service: tunneler.NewService(trackerOfPeer, connector.New(), lines)}
		f.tunnels = tunneler.New("me", s.peer, lines)
		f.startForwarder(t.Context())
		r.Address = closedAddress(t)
	}
	f.tracker.Replace([]*tracker.Replica{r}, time.Now())
	f.recordAtOther("began", "v1")
	return f, s
}

// closedAddress returns an address at which nothing listens until the test ends.
func closedAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprint("127.0.0.1:", bound.(*syscall.SockaddrInet4).Port)
}
