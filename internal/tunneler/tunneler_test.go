package tunneler_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/assigner"
	"pimentorail.example/pimentorail/internal/connector"
	"pimentorail.example/pimentorail/internal/logger"
	"pimentorail.example/pimentorail/internal/seeder"
	"pimentorail.example/pimentorail/internal/tracker"
	"pimentorail.example/pimentorail/internal/tunneler"
)

func TestMain(m *testing.M) {
	seeder.Prepare()
	os.Exit(m.Run())
}

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
	conns     []net.Conn
	asked     int
}

// DialDirectly implements tunneler.Links.
func (n *node) DialDirectly(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	err := n.dialError
	n.mu.Unlock()
	if err != nil {
		return nil, err
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
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
	_ = n.listener.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
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
	defer s.conn.Close()
	s.node.service.ServeStream(s.conn)
}

// network is a zone of daemons and those of another zone. It implements tunneler.Peers.
type network struct{ zone, elsewhere []*node }

func peersOf(nodes []*node) []assigner.Peer {
	var list []assigner.Peer
	for _, n := range nodes {
		list = append(list, assigner.Peer{Name: n.name, Address: n.listener.Addr().String()})
	}
	return list
}

// Others implements tunneler.Peers.
func (n *network) Others() []assigner.Peer { return peersOf(n.zone) }

// Elsewhere implements tunneler.Peers.
func (n *network) Elsewhere(context.Context) []assigner.Peer { return peersOf(n.elsewhere) }

// OpenStream implements tunneler.Peers.
func (n *network) OpenStream(ctx context.Context, address, _ string) (net.Conn, error) {
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
	lines := logger.Start(t.Context(), io.Discard)
	for i := range zone + elsewhere {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		n := &node{name: "n" + strconv.Itoa(i), listener: l, tracker: tracker.New(tracker.Options{})}
		r := *f.replica
		n.tracker.Replace([]*tracker.Replica{&r}, time.Now())
		n.service = tunneler.NewService(n.tracker, n, lines)
		t.Cleanup(n.kill)
		go n.run()
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

func request(c net.Conn, path string, body []byte) (*http.Response, error) {
	q, err := http.NewRequest(http.MethodPost, "http://h"+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if err = q.Write(c); err != nil {
		return nil, err
	}
	return http.ReadResponse(bufio.NewReader(c), q)
}

// Bytes were changed, lost or delayed on their way through a peer.
func TestBytesPassUnchanged(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1, 0)
	c := f.dial(f.tunneler())
	for _, size := range []int{0, 1, 8 << 10, 8<<10 + 1, 300_000} {
		body := bytes.Repeat([]byte("0123456789abcdef\x00\xff"), size/18+1)[:size]
		r, err := request(c, "/echo", body)
		is.NoErr(err)
		got, err := io.ReadAll(r.Body)
		is.NoErr(err)
		is.True(bytes.Equal(got, body))
	}
	peer, id := c.Via()
	is.Equal(peer, "n0")
	is.True(strings.HasPrefix(id, "me."))
}

// A replica still worked on a request after its client had left.
func TestACanceledRequestEndsAtTheReplica(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1, 0)
	c := f.dial(f.tunneler())
	r, err := request(c, "/endless", nil)
	is.NoErr(err)
	_, err = io.ReadFull(r.Body, make([]byte, 20))
	is.NoErr(err)
	_ = c.Close()
	select {
	case <-f.gone:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the replica still works on the request")
	}
	for start := time.Now(); f.network.zone[0].service.Active() > 0; time.Sleep(time.Millisecond) {
		is.True(time.Since(start) < time.Second)
	}
}

// A response that ends with its connection looked complete when the peer was lost.
func TestALostPeerIsNoEndOfAResponse(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1, 0)
	u := f.tunneler()
	r, err := request(f.dial(u), "/until-close", nil)
	is.NoErr(err)
	whole, err := io.ReadAll(r.Body)
	is.NoErr(err)
	is.Equal(string(whole), "begin end")

	r, err = request(f.dial(u), "/until-close", nil)
	is.NoErr(err)
	_, err = io.ReadFull(r.Body, make([]byte, 6))
	is.NoErr(err)
	f.network.zone[0].kill()
	_, err = io.ReadAll(r.Body)
	is.True(err != nil)
}

// A zone that is cut off as a whole asked only its own daemons.
func TestPeersOfOtherZonesAreAsked(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 6, 3)
	for i, n := range f.network.zone {
		n.cut = i%2 == 0
		n.dialError = syscall.ECONNREFUSED
	}
	u := f.tunneler()
	used := map[string]int{}
	for range 60 {
		c := f.dial(u)
		peer, _ := c.Via()
		used[peer]++
		_ = c.Close()
	}
	is.Equal(len(used), 3) // They share the tunnels.
	for _, n := range used {
		is.True(n < 40)
	}
	is.True(f.network.zone[0].asked < 10) // A peer that is cut off is not asked each time.
}

// The own zone's peers were passed over for others, whose bytes are dear.
func TestPeersOfTheZoneAreAskedFirst(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 2, 2)
	u := f.tunneler()
	for range 20 {
		_ = f.dial(u).Close()
	}
	is.Equal(f.network.elsewhere[0].asked+f.network.elsewhere[1].asked, 0)
}

// A replica that crashed was taken for one behind a cut link, or the other way round.
func TestEndedReplicasAreToldFromCutLinks(t *testing.T) {
	for name, row := range map[string]struct {
		cut   bool
		err   error
		ended bool
	}{
		"reached":                 {false, nil, false},
		"refused":                 {false, syscall.ECONNREFUSED, true},
		"silent":                  {false, syscall.ETIMEDOUT, false},
		"all peers are cut off":   {true, nil, false},
		"an error that says less": {false, errors.New("no route"), false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, 2, 1)
			for _, n := range append(f.network.zone, f.network.elsewhere...) {
				n.cut, n.dialError = row.cut, row.err
			}
			u := f.tunneler()
			is.Equal(u.Ended(context.Background(), f.replica), row.ended)
			_, err := u.Dial(context.Background(), f.replica)
			is.Equal(err == nil, row.err == nil && !row.cut)
			// Only peers that tried say something about the replica.
			is.Equal(errors.Is(err, connector.ErrUnreached), row.err != nil)
		})
	}
}

// A peer dialed whatever address it was told, or an earlier start of the replica.
func TestOnlyKnownReplicasAreDialed(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1, 0)
	for _, r := range []tracker.Replica{
		{ID: "other", Address: f.replica.Address, StartedMS: 7},
		{ID: "r", Address: f.replica.Address, StartedMS: 6},
	} {
		_, err := f.tunneler().Dial(context.Background(), &r)
		is.True(errors.Is(err, tunneler.ErrNoPeer))
	}
}

// A stopping daemon cut the requests that its peers sent through it.
func TestAStoppingPeerFinishesItsTunnels(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1, 0)
	u := f.tunneler()
	busy, idle := f.dial(u), f.dial(u)
	r, err := request(busy, "/until-close", nil)
	is.NoErr(err)
	s := f.network.zone[0].service
	s.Leave()
	_, err = u.Dial(context.Background(), f.replica)
	is.True(errors.Is(err, tunneler.ErrNoPeer))
	whole, err := io.ReadAll(r.Body)
	is.NoErr(err)
	is.Equal(string(whole), "begin end")
	is.True(!busy.Reusable())
	raw, err := idle.SyscallConn()
	is.NoErr(err)
	pending := false
	is.NoErr(raw.Read(func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		pending = n > 0 && err == nil
		return true
	}))
	is.True(pending) // An idle connection shows that it must not be used.
	_ = idle.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	s.Drain(ctx)
	is.Equal(s.Active(), 0)
}

// A header from another writer brought the daemon down.
func FuzzHeader(f *testing.F) {
	f.Add([]byte(`{"id":"x","replica":"r","started-ms":7}` + "\n"))
	f.Add([]byte("{}\n"))
	f.Add([]byte("\xff\x00"))
	t := tracker.New(tracker.Options{})
	f.Fuzz(func(_ *testing.T, data []byte) {
		s := tunneler.NewService(t, &node{cut: true}, logger.Start(context.Background(), io.Discard))
		near, far := net.Pipe()
		go (&writer{far, data}).run()
		s.ServeStream(near)
		_ = near.Close()
	})
}

// writer writes to a connection and closes it.
type writer struct {
	conn net.Conn
	data []byte
}

func (w *writer) run() {
	_, _ = w.conn.Write(w.data)
	_ = w.conn.Close()
}
