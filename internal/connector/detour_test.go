package connector_test

import (
	"context"
	"io"
	"net"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/connector"
)

// silentReplica accepts connections, answers the first requests on each, and then stays silent.
type silentReplica struct {
	listener net.Listener
	silent   atomic.Bool
}

func newSilentReplica(t *testing.T) *silentReplica {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &silentReplica{listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go s.run()
	return s
}

func (s *silentReplica) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.loop(c)
	}
}

func (s *silentReplica) loop(c net.Conn) {
	defer c.Close()
	buffer := make([]byte, 4096)
	for {
		if _, err := c.Read(buffer); err != nil {
			return
		}
		if !s.silent.Load() {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=9\r\n\r\nok")
		}
	}
}

// peer opens connections to a replica, and counts them.
type peer struct {
	address string
	// err is returned without an address.
	err    error
	opened atomic.Int64
}

func (p *peer) dial(ctx context.Context) (net.Conn, error) {
	p.opened.Add(1)
	if p.address == "" {
		return nil, p.err
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", p.address)
}

func exchange(c *connector.Connector, instance, address string, p *peer, timeout time.Duration) (string, error) {
	e, err := c.Do(context.Background(), &connector.Call{
		Instance: instance, Address: address, Method: "GET", Target: "/", Host: "h", Deadline: time.Now().Add(timeout), Detour: p.dial,
	})
	if err != nil {
		return "", err
	}
	defer e.Close()
	b, err := io.ReadAll(e)
	return string(b), err
}

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// hangingAddress returns an address to which connections are never established: the kernel
// drops the packets that open them, since the backlog is full.
func hangingAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(name.(*syscall.SockaddrInet4).Port))
	for range 3 {
		if c, err := net.DialTimeout("tcp", address, 50*time.Millisecond); err == nil {
			t.Cleanup(func() { _ = c.Close() })
		}
	}
	return address
}

// A request waited for a link that was known to be cut, though no peer could help.
func TestARequestFailsAtOnceIfNoPeerCanHelp(t *testing.T) {
	is := is.New(t)
	r := newSilentReplica(t)
	p := &peer{address: r.listener.Addr().String()}
	c := connector.New()
	defer c.Close()
	address := hangingAddress(t)
	for _, instance := range []string{"a", "b", "c"} {
		_, err := exchange(c, instance, address, p, time.Second)
		is.NoErr(err)
	}
	for _, reason := range []error{errors.New("the peer is cut off"), connector.ErrUnreached} {
		p = &peer{err: reason}
		time.Sleep(connector.ProbePeriod) // One of the requests is a probe.
		c.Close()                         // Nor is there a connection left.
		for range 3 {
			start := time.Now()
			_, err := exchange(c, "a", address, p, 3*time.Second)
			var e *connector.Error
			is.True(errors.As(err, &e))
			is.True(!e.Sent)
			is.True(time.Since(start) < 300*time.Millisecond)
		}
	}
}

// A request failed though a peer reached its replica.
func TestARefusedConnectionIsOpenedThroughAPeer(t *testing.T) {
	is := is.New(t)
	r := newSilentReplica(t)
	p := &peer{address: r.listener.Addr().String()}
	c := connector.New()
	defer c.Close()
	for range 3 {
		body, err := exchange(c, "a", closedAddress(t), p, time.Second)
		is.NoErr(err)
		is.Equal(body, "ok")
	}
	is.Equal(p.opened.Load(), int64(1)) // The connection is kept.
	is.True(c.IsCut("a"))
	_, all := c.CutOff()
	is.True(!all) // One link says nothing about the others.
}

// A replica that is down cost a call to peers for each request, and its error was hidden.
func TestAReplicaThatIsDownIsAskedForOnce(t *testing.T) {
	is := is.New(t)
	p := &peer{err: connector.ErrUnreached}
	c := connector.New()
	defer c.Close()
	address := closedAddress(t)
	for range 5 {
		_, err := exchange(c, "a", address, p, time.Second)
		var e *connector.Error
		is.True(errors.As(err, &e))
		is.True(!e.Sent)
	}
	is.Equal(p.opened.Load(), int64(1))
	is.True(!c.IsCut("a"))
}

// Connections that were open when their link was cut stayed in use, and each request on them
// waited until its time was over.
func TestASilentConnectionIsChecked(t *testing.T) {
	is := is.New(t)
	direct, far := newSilentReplica(t), newSilentReplica(t)
	p := &peer{address: far.listener.Addr().String()}
	c := connector.New()
	defer c.Close()
	address := direct.listener.Addr().String()
	_, err := exchange(c, "a", address, p, time.Second)
	is.NoErr(err)
	direct.silent.Store(true)
	_ = direct.listener.Close() // New connections fail, and the open one is silent.
	_, err = exchange(c, "a", address, p, 700*time.Millisecond)
	is.True(err != nil) // It was sent, so it is not sent again.
	is.True(c.IsCut("a"))
	start := time.Now()
	body, err := exchange(c, "a", address, p, time.Second)
	is.NoErr(err)
	is.Equal(body, "ok")
	is.True(time.Since(start) < 200*time.Millisecond)
	is.Equal(p.opened.Load(), int64(1)) // The check's connection was kept.
}

// A replica that only was slow lost its connections, or was reached through a peer from then on.
func TestASlowReplicaIsNotACutLink(t *testing.T) {
	is := is.New(t)
	r := newSilentReplica(t)
	p := &peer{address: r.listener.Addr().String()}
	c := connector.New()
	defer c.Close()
	address := r.listener.Addr().String()
	r.silent.Store(true)
	_, err := exchange(c, "a", address, p, 500*time.Millisecond)
	is.True(err != nil)
	is.True(!c.IsCut("a"))
	r.silent.Store(false)
	_, err = exchange(c, "a", address, p, time.Second)
	is.NoErr(err)
	is.Equal(p.opened.Load(), int64(0))
}

// A link that worked again was not noticed while peers served its requests.
func TestAHealedLinkIsNoticed(t *testing.T) {
	is := is.New(t)
	far := newSilentReplica(t)
	p := &peer{address: far.listener.Addr().String()}
	c := connector.New()
	defer c.Close()
	address := closedAddress(t)
	_, err := exchange(c, "a", address, p, time.Second)
	is.NoErr(err)
	l, err := net.Listen("tcp", address)
	is.NoErr(err)
	healed := &silentReplica{listener: l}
	defer l.Close()
	go healed.run()
	for start := time.Now(); c.IsCut("a"); time.Sleep(20 * time.Millisecond) {
		is.True(time.Since(start) < time.Second)
		_, err = exchange(c, "a", address, p, time.Second)
		is.NoErr(err)
	}
}

// Peers whose links had been cut before said so for ever, because they had no requests that
// would have shown that the links were whole again; and a daemon that they could not help took
// that for a failure of the replica.
func TestPeersWithoutRequestsTryTheirLinks(t *testing.T) {
	is := is.New(t)
	r := newSilentReplica(t)
	address := r.listener.Addr().String()
	c := connector.New()
	defer c.Close()
	_, err := exchange(c, "a", closedAddress(t), &peer{address: address}, time.Second)
	is.NoErr(err)
	is.True(c.IsCut("a"))
	is.True(!c.MayDial("a"))
	time.Sleep(connector.ProbePeriod)
	is.True(c.MayDial("a"))
	n, err := c.DialDirectly(context.Background(), "a", address)
	is.NoErr(err)
	_ = n.Close()
	is.True(!c.IsCut("a"))

	p := &peer{err: errors.New("the peer is cut off")}
	for range 2 {
		_, err = exchange(c, "b", closedAddress(t), p, time.Second)
		is.True(err != nil)
	}
	is.Equal(p.opened.Load(), int64(2)) // It is asked again: nothing is known of the replica.
}
